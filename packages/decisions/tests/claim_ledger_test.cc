// Guards against a call with an idempotency key that runs twice, and against a key that stays
// claimed although its call did not run.
#include "decisions/claims/claim_ledger.h"

#include <optional>

#include <gtest/gtest.h>

#include "decisions/tests/fake_log.h"
#include "decisions/tests/test_seed.h"
#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = std::chrono::hours(1);

/// A claim ledger with its node's connection to the fake log.
struct FakeNode
{
  explicit FakeNode(const std::string& aOwner)
    : ledger(ClaimLedger::Options{ .owner = aOwner }, tickets)
  {
    this->ledger.Configure(1, kWindow);
  }

  void Poll(Time aNow) { this->ledger.Poll(aNow, this->effects); }

  std::vector<AppendLog> TakeAppends()
  {
    std::vector<AppendLog> appends;
    for (const Effect& effect : std::exchange(this->effects, {})) {
      if (const AppendLog* append = std::get_if<AppendLog>(&effect)) {
        appends.push_back(*append);
      } else if (const FollowLog* follow = std::get_if<FollowLog>(&effect)) {
        this->position = follow->From();
      }
    }
    return appends;
  }

  void ReadFrom(FakeLog& aLog, std::uint64_t aLimit = 1000)
  {
    if (this->position) {
      const LogRead read = aLog.Read("claims-0", *this->position, aLimit);
      this->position = read.Next();
      this->ledger.Receive(read);
    }
  }

  TicketSource tickets;
  Effects effects;
  ClaimLedger ledger;
  std::optional<std::uint64_t> position;
};

ClaimRequest
Request(std::uint64_t aExchange, const std::string& aKey, Time aNow, const char* aFingerprint = "f")
{
  return ClaimRequest{ aExchange, "north", aKey, aFingerprint, aNow + seconds(2) };
}

/// Applies and confirms all appends of the node, then lets it read the log.
void
AppendAndRead(FakeNode& aNode, FakeLog& aLog, Time aNow)
{
  aNode.Poll(aNow);
  for (const AppendLog& append : aNode.TakeAppends()) {
    const std::uint64_t first = aLog.Append(append.Stream(), append.Records());
    aNode.ledger.Receive(
      LogAppended({ .ticket = append.Ticket(), .outcome = Appended({ .firstOffset = first }) }),
      aNow);
  }
  aNode.ReadFrom(aLog);
}

TEST(ClaimLedger, FirstClaimInLogOrderWinsAcrossNodes)
{
  FakeLog log;
  FakeNode first("a");
  FakeNode second("b");
  first.ledger.Request(Request(1, "k", Time{}), Time{}, first.effects);
  second.ledger.Request(Request(2, "k", Time{}), Time{}, second.effects);
  AppendAndRead(second, log, Time{});
  AppendAndRead(first, log, Time{});
  EXPECT_EQ(second.ledger.TakeDecisions(),
            (std::vector<ClaimDecision>{ { 2, ResultCode::kOk, RunState::kNotRun } }));
  EXPECT_EQ(
    first.ledger.TakeDecisions(),
    (std::vector<ClaimDecision>{ { 1, ResultCode::kDuplicateRequest, RunState::kUnknown } }));
}

TEST(ClaimLedger, DecidesRepeatByOutcomeOfFirstCall)
{
  struct Case
  {
    const char* name;
    std::function<void(ClaimLedger&)> finish;
    const char* fingerprint;
    ClaimDecision expected;
  };
  const Case cases[] = {
    { "answered",
      [](ClaimLedger& aLedger) { aLedger.Complete(1, 200); },
      "f",
      { 2, ResultCode::kDuplicateRequest, RunState::kRan } },
    { "may have run",
      [](ClaimLedger& aLedger) { aLedger.KeepClaimed(1); },
      "f",
      { 2, ResultCode::kDuplicateRequest, RunState::kUnknown } },
    { "known not to have run",
      [](ClaimLedger& aLedger) { aLedger.Release(1); },
      "f",
      { 2, ResultCode::kOk, RunState::kNotRun } },
    { "another request",
      [](ClaimLedger& aLedger) { aLedger.Complete(1, 200); },
      "g",
      { 2, ResultCode::kIdempotencyKeyReused, RunState::kNotRun } },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    FakeLog log;
    FakeNode node("a");
    Time now{};
    node.ledger.Request(Request(1, "k", now), now, node.effects);
    AppendAndRead(node, log, now);
    ASSERT_EQ(node.ledger.TakeDecisions().size(), 1U);
    testCase.finish(node.ledger);
    now += seconds(1);
    AppendAndRead(node, log, now);
    node.ledger.Request(Request(2, "k", now, testCase.fingerprint), now, node.effects);
    now += seconds(1);
    AppendAndRead(node, log, now);
    EXPECT_EQ(node.ledger.TakeDecisions(), std::vector<ClaimDecision>{ testCase.expected });
  }
}

TEST(ClaimLedger, RepeatsAppendWhoseAnswerWasLost)
{
  FakeLog log;
  FakeNode node("a");
  Time now{};
  node.ledger.Request(Request(1, "k", now), now, node.effects);
  for (const AppendLog& append : node.TakeAppends()) {
    log.Append(append.Stream(), append.Records());
    node.ledger.Receive(LogAppended({ .ticket = append.Ticket(), .outcome = AppendUnknown() }),
                        now);
  }
  now += milliseconds(150);
  AppendAndRead(node, log, now);
  EXPECT_EQ(log.End("claims-0"), 2U);
  EXPECT_EQ(node.ledger.TakeDecisions(),
            (std::vector<ClaimDecision>{ { 1, ResultCode::kOk, RunState::kNotRun } }));
  node.ledger.KeepClaimed(1);
  node.ReadFrom(log);
  now += seconds(1);
  AppendAndRead(node, log, now);
  EXPECT_EQ(log.End("claims-0"), 2U) << "the second record of the claim must not release the key";
}

TEST(ClaimLedger, RefusesCallAsNotRunWithoutLogAndReleasesItsLateClaim)
{
  FakeLog log;
  FakeNode node("a");
  Time now{};
  node.ledger.Request(Request(1, "k", now), now, node.effects);
  const std::vector<AppendLog> appends = node.TakeAppends();
  ASSERT_EQ(appends.size(), 1U);
  now += seconds(2);
  node.Poll(now);
  EXPECT_EQ(node.ledger.TakeDecisions(),
            (std::vector<ClaimDecision>{ { 1, ResultCode::kClaimUnsettled, RunState::kNotRun } }));
  log.Append(appends[0].Stream(), appends[0].Records());
  node.ledger.Receive(LogAppended({ .ticket = appends[0].Ticket(), .outcome = AppendUnknown() }),
                      now);
  node.ReadFrom(log);
  now += seconds(3);
  AppendAndRead(node, log, now);
  node.ledger.Request(Request(2, "k", now), now, node.effects);
  now += seconds(1);
  AppendAndRead(node, log, now);
  EXPECT_EQ(node.ledger.TakeDecisions(),
            (std::vector<ClaimDecision>{ { 2, ResultCode::kOk, RunState::kNotRun } }));
}

/// Simulates nodes with random repeats, lost, rejected and delayed appends, and restarts; counts
/// how often the call of each key runs.
class ClaimSimulation
{
public:
  explicit ClaimSimulation(std::uint64_t aSeed)
    : random(aSeed)
  {
    for (int index = 0; index < 3; ++index) {
      this->nodes.push_back(std::make_unique<FakeNode>("n" + std::to_string(index)));
    }
  }

  void Run()
  {
    for (int step = 0; step < 400; ++step) {
      this->now += milliseconds(20);
      for (std::unique_ptr<FakeNode>& node : this->nodes) {
        this->Step(node);
      }
      this->ApplyDelayedAppend();
    }
  }

  const std::map<std::string, int>& Runs() const { return this->runs; }

private:
  void Step(std::unique_ptr<FakeNode>& aNode)
  {
    if (this->random.Below(200) == 0) {
      aNode = std::make_unique<FakeNode>("restart" + std::to_string(++this->restarts));
    }
    if (this->random.Below(3) == 0) {
      const std::string key = "k" + std::to_string(this->random.Below(40));
      this->keys[++this->lastExchange] = key;
      aNode->ledger.Request(Request(this->lastExchange, key, this->now), this->now, aNode->effects);
    }
    aNode->Poll(this->now);
    for (const AppendLog& append : aNode->TakeAppends()) {
      this->Append(*aNode, append);
    }
    if (this->random.Below(2) == 0) {
      aNode->ReadFrom(this->log, 1 + this->random.Below(5));
    }
    this->Decide(aNode->ledger);
  }

  void Append(FakeNode& aNode, const AppendLog& aAppend)
  {
    AppendOutcome outcome = Appended();
    switch (this->random.Below(5)) {
      case 0:
        outcome = AppendRejected();
        break;
      case 1:
        this->delayedAppends.push_back(aAppend);
        outcome = AppendUnknown();
        break;
      case 2:
        this->log.Append(aAppend.Stream(), aAppend.Records());
        outcome = AppendUnknown();
        break;
      default:
        this->log.Append(aAppend.Stream(), aAppend.Records());
    }
    aNode.ledger.Receive(LogAppended({ .ticket = aAppend.Ticket(), .outcome = outcome }),
                         this->now);
  }

  void ApplyDelayedAppend()
  {
    if (!this->delayedAppends.empty() && this->random.Below(10) == 0) {
      this->log.Append(this->delayedAppends.front().Stream(),
                       this->delayedAppends.front().Records());
      this->delayedAppends.erase(this->delayedAppends.begin());
    }
  }

  void Decide(ClaimLedger& aLedger)
  {
    for (const ClaimDecision& decision : aLedger.TakeDecisions()) {
      if (decision.code != ResultCode::kOk) {
        continue;
      }
      if (this->random.Below(2) == 0) {
        aLedger.Release(decision.exchange);
        continue;
      }
      ++this->runs[this->keys[decision.exchange]];
      if (this->random.Below(2) == 0) {
        aLedger.Complete(decision.exchange, 200);
      } else {
        aLedger.KeepClaimed(decision.exchange);
      }
    }
  }

  Random random;
  FakeLog log;
  std::vector<std::unique_ptr<FakeNode>> nodes;
  std::vector<AppendLog> delayedAppends;
  std::map<std::uint64_t, std::string> keys;
  std::map<std::string, int> runs;
  Time now{};
  std::uint64_t lastExchange = 0;
  int restarts = 0;
};

TEST(ClaimLedger, RunsNoKeyTwiceUnderLossDelayAndRestarts)
{
  for (const std::uint64_t seed : TestSeeds(60)) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    ClaimSimulation simulation(seed);
    simulation.Run();
    EXPECT_GT(simulation.Runs().size(), 10U);
    for (const std::pair<const std::string, int>& entry : simulation.Runs()) {
      EXPECT_EQ(entry.second, 1) << entry.first;
    }
  }
}

} // namespace
} // namespace jackdawwind
