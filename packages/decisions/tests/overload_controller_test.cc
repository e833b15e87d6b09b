// Guards against admission control that loses calls, exceeds its concurrency limit, rejects calls
// with the wrong code, or sheds the wrong calls.
#include "decisions/overload/admission_controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>

#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 4;
/// Queue capacity of a target with few slots.
constexpr std::size_t kQueueLength = 16;

PendingCall
Call(std::uint64_t aExchange, Importance aImportance, Time aNow, Duration aRemaining = seconds(10))
{
  return { .exchange = aExchange,
           .organisation = aExchange % 3 == 0 ? "north" : "south",
           .importance = aImportance,
           .priority = 100,
           .arrived = aNow,
           .deadline = aNow + aRemaining };
}

TargetOutcome
Answer(std::uint32_t aStatus)
{
  return TargetAnswered({ .status = aStatus });
}

AdmissionController
MakeController(PolicyKind aKind)
{
  AdmissionController controller;
  controller.Configure(Policy({ .kind = aKind }), kSlots, { { "north", 2 } });
  controller.SetTargetState(TargetState::kStarting, Time{});
  controller.SetTargetState(TargetState::kReady, Time{});
  return controller;
}

/// Tracks queued and running calls and checks the invariants of AdmissionController on each
/// verdict.
class VerdictChecker
{
public:
  explicit VerdictChecker(AdmissionController& aController)
    : controller(aController)
  {
  }

  void Offered(const PendingCall& aCall) { this->waiting[aCall.exchange] = aCall; }
  void Abandoned(std::uint64_t aExchange) { this->waiting.erase(aExchange); }

  void Check(const AdmissionVerdicts& aVerdicts, bool aIdle, Time aNow)
  {
    for (const AdmissionVerdict& verdict : aVerdicts) {
      const std::uint64_t exchange =
        std::visit([](const auto& aKind) { return aKind.exchange; }, verdict);
      const std::map<std::uint64_t, PendingCall>::iterator found = this->waiting.find(exchange);
      ASSERT_NE(found, this->waiting.end())
        << "duplicate or unexpected verdict for exchange " << exchange;
      if (std::holds_alternative<StartCall>(verdict)) {
        EXPECT_LT(aNow, found->second.deadline);
        this->running.insert(exchange);
        EXPECT_LE(this->running.size(), this->controller.Status().Limit());
      } else {
        EXPECT_TRUE(!aIdle || found->second.deadline <= aNow)
          << "idle target rejected exchange " << exchange;
      }
      this->waiting.erase(found);
    }
    EXPECT_EQ(this->controller.Status().Running(), this->running.size());
    EXPECT_EQ(this->controller.Status().Queued(), this->waiting.size());
    EXPECT_LE(this->waiting.size(), kQueueLength);
  }

  std::map<std::uint64_t, PendingCall> waiting;
  std::set<std::uint64_t> running;

private:
  AdmissionController& controller;
};

void
RunRandomCalls(PolicyKind aKind, std::uint64_t aSeed)
{
  SCOPED_TRACE("seed " + std::to_string(aSeed) + ", policy " + std::string(ToText(aKind)));
  const std::array<TargetOutcome, 5> outcomes = {
    Answer(200), Answer(503), ConnectFailed(), Lost(), TimedOut()
  };
  Random random(aSeed);
  AdmissionController controller = MakeController(aKind);
  VerdictChecker checker(controller);
  Time now{};
  for (std::uint64_t step = 1; step <= 3000 && !testing::Test::HasFailure(); ++step) {
    now += Duration(random.Below(4000));
    const bool idle = checker.running.empty();
    const std::uint64_t action = random.Below(10);
    if (action < 5) {
      PendingCall call =
        Call(step, static_cast<Importance>(random.Below(4)), now, milliseconds(random.Below(60)));
      call.priority = static_cast<std::uint32_t>(random.Below(256));
      checker.Offered(call);
      checker.Check(controller.Offer(call, now), idle, now);
    } else if (action < 8 && !checker.running.empty()) {
      const std::uint64_t exchange = *checker.running.begin();
      checker.running.erase(exchange);
      const TargetOutcome& outcome = outcomes[random.Below(8) == 0 ? random.Below(5) : 0];
      checker.Check(controller.Finish(exchange, outcome, now), false, now);
    } else if (action < 9 && !checker.waiting.empty()) {
      const std::uint64_t exchange = checker.waiting.begin()->first;
      controller.Abandon(exchange);
      checker.Abandoned(exchange);
    } else {
      checker.Check(controller.Poll(now), false, now);
    }
  }
  while (controller.NextWake() != Time::max() && !testing::Test::HasFailure()) {
    now = std::max(now, controller.NextWake());
    checker.Check(controller.Poll(now), false, now);
  }
  EXPECT_TRUE(checker.waiting.empty());
}

TEST(AdmissionController, KeepsItsInvariantsForRandomCalls)
{
  const std::uint64_t base = std::random_device()();
  std::printf("seed %llu\n", static_cast<unsigned long long>(base));
  for (std::uint64_t seed = base; seed < base + 20; ++seed) {
    RunRandomCalls(PolicyKind::kGoodput, seed);
    RunRandomCalls(PolicyKind::kFairness, seed);
  }
}

TEST(AdmissionController, AFullQueueShedsTheLowestRank)
{
  struct Case
  {
    Importance queued;
    Importance offered;
    std::uint64_t shed;
  };
  // Exchanges 1 to 16 fill the queue; then exchange 17 is offered.
  const Case cases[] = {
    { Importance::kNormal, Importance::kBulk, 17 },
    { Importance::kNormal, Importance::kCritical, 16 },
    { Importance::kCritical, Importance::kCritical, 17 },
  };
  for (const Case& testCase : cases) {
    AdmissionController controller = MakeController(PolicyKind::kGoodput);
    controller.Offer(Call(100, Importance::kNormal, Time{}), Time{});
    for (std::uint64_t exchange = 1; exchange <= kQueueLength; ++exchange) {
      EXPECT_TRUE(controller.Offer(Call(exchange, testCase.queued, Time{}), Time{}).empty());
    }
    const AdmissionVerdicts expected = { RejectCall{ .exchange = testCase.shed } };
    EXPECT_EQ(controller.Offer(Call(17, testCase.offered, Time{}), Time{}), expected)
      << testCase.queued << " queued, " << testCase.offered << " offered";
  }
}

TEST(AdmissionController, RejectsWithTheCodeOfTheCause)
{
  struct Case
  {
    int remainingMs;
    int polledAfterMs;
    ResultCode code;
    TargetState state;
  };
  // The expected service time is 20 ms, all slots are busy, and the queue timeout is 500 ms.
  const Case cases[] = {
    { 0, 0, ResultCode::kDeadlineTooShort, TargetState::kReady },
    { 19, 0, ResultCode::kDeadlineTooShort, TargetState::kReady },
    { 50, 31, ResultCode::kDeadlineTooShort, TargetState::kReady },
    { 50, 50, ResultCode::kQueueExpired, TargetState::kReady },
    { 10000, 500, ResultCode::kShedAtTarget, TargetState::kReady },
    { 10000, 0, ResultCode::kTargetDraining, TargetState::kDraining },
    { 10000, 0, ResultCode::kNoTarget, TargetState::kNone },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testing::Message() << testCase.code << " after " << testCase.polledAfterMs);
    AdmissionController controller = MakeController(PolicyKind::kGoodput);
    controller.Offer(Call(1, Importance::kNormal, Time{}), Time{});
    Time now = Time{} + milliseconds(20);
    controller.Finish(1, Answer(200), now);
    for (std::uint64_t exchange = 2; controller.Status().Queued() == 0; ++exchange) {
      controller.Offer(Call(exchange + 10, Importance::kCritical, now), now);
    }
    const PendingCall call = Call(1, Importance::kNormal, now, milliseconds(testCase.remainingMs));
    AdmissionVerdicts verdicts = controller.Offer(call, now);
    controller.SetTargetState(testCase.state, now);
    now += milliseconds(testCase.polledAfterMs);
    const AdmissionVerdicts polled = controller.Poll(now);
    verdicts.insert(verdicts.end(), polled.begin(), polled.end());
    const AdmissionVerdict expected = RejectCall{ .exchange = 1,
                                                  .code = testCase.code,
                                                  .queued = milliseconds(testCase.polledAfterMs) };
    EXPECT_EQ(std::count(verdicts.begin(), verdicts.end(), expected), 1);
  }
}

TEST(AdmissionController, LowersTheLimitWhenTheTargetRefuses)
{
  struct Case
  {
    TargetOutcome outcome;
    bool lowers;
  };
  const Case cases[] = {
    { Answer(200), false },    { Answer(500), false }, { Lost(), false },
    { Answer(503), true },     { Answer(429), true },  { TimedOut(), true },
    { ConnectFailed(), true },
  };
  for (const Case& testCase : cases) {
    AdmissionController controller;
    controller.Configure(Policy(), 100, {});
    controller.SetTargetState(TargetState::kStarting, Time{});
    controller.SetTargetState(TargetState::kReady, Time{});
    const std::uint32_t before = controller.Status().Limit();
    for (std::uint64_t exchange = 0; exchange < 3; ++exchange) {
      controller.Offer(Call(exchange, Importance::kNormal, Time{}), Time{});
      controller.Finish(exchange, testCase.outcome, Time{} + milliseconds(1));
    }
    EXPECT_EQ(controller.Status().Limit() < before, testCase.lowers);
  }
}

TEST(AdmissionController, RejectsWithoutQueueingBelowTheLevel)
{
  AdmissionController controller = MakeController(PolicyKind::kGoodput);
  Time now{};
  std::uint64_t exchange = 1;
  controller.Offer(Call(exchange, Importance::kNormal, now), now);
  for (; controller.Status().Queued() < kQueueLength - 1; now += milliseconds(20)) {
    controller.Offer(Call(++exchange, Importance::kCritical, now), now);
  }
  EXPECT_GT(controller.Level(), 0U);
  const AdmissionVerdicts expected = { RejectCall{ .exchange = 100 } };
  EXPECT_EQ(controller.Offer(Call(100, Importance::kBulk, now), now), expected);
  for (std::uint64_t round = 0; round < kQueueLength; ++round) {
    for (std::uint64_t ended = 1; ended <= exchange; ++ended) {
      controller.Finish(ended, Answer(200), now);
    }
  }
  ASSERT_EQ(controller.Load(), 0U);
  for (int step = 0; step < 100 && controller.NextWake() != Time::max(); ++step) {
    now = controller.NextWake();
    controller.Poll(now);
  }
  EXPECT_EQ(controller.Level(), 0U);
}

/// Runs a load of four times the target's capacity; returns the number of starts by organisation
/// and importance class.
std::map<std::pair<std::string, Importance>, int>
StartsUnderOverload(PolicyKind aKind, const std::array<Importance, 2>& aClasses)
{
  AdmissionController controller = MakeController(aKind);
  std::map<std::uint64_t, PendingCall> offered;
  std::multimap<Time, std::uint64_t> ends;
  std::map<std::pair<std::string, Importance>, int> starts;
  const auto take = [&](const AdmissionVerdicts& aVerdicts, Time aNow) {
    for (const AdmissionVerdict& verdict : aVerdicts) {
      if (const StartCall* start = std::get_if<StartCall>(&verdict)) {
        const PendingCall& call = offered[start->exchange];
        ++starts[{ call.organisation, call.importance }];
        ends.emplace(aNow + milliseconds(20), start->exchange);
      }
    }
  };
  Random random(7);
  std::uint64_t exchange = 0;
  for (Time now{}; now < Time{} + seconds(20); now += Duration(1250)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const std::uint64_t ended = ends.begin()->second;
      ends.erase(ends.begin());
      take(controller.Finish(ended, Answer(200), now), now);
    }
    PendingCall call = Call(++exchange, aClasses[random.Below(2)], now, seconds(1));
    call.priority = static_cast<std::uint32_t>(random.Below(256));
    offered[exchange] = call;
    take(controller.Offer(call, now), now);
  }
  return starts;
}

TEST(AdmissionController, FairnessSharesAreProportionalToWeights)
{
  // One third of the calls is from north, which has twice the weight of south.
  const Importance normal = Importance::kNormal;
  std::map<std::pair<std::string, Importance>, int> starts =
    StartsUnderOverload(PolicyKind::kFairness, { normal, normal });
  const double north = starts[{ "north", normal }];
  const double south = starts[{ "south", normal }];
  EXPECT_NEAR(north / south, 2, 0.2);
}

TEST(AdmissionController, ShedsCriticalCallsLast)
{
  // The critical calls alone are twice the target's capacity.
  for (const PolicyKind kind : { PolicyKind::kGoodput, PolicyKind::kFairness }) {
    std::map<std::pair<std::string, Importance>, int> starts =
      StartsUnderOverload(kind, { Importance::kCritical, Importance::kBulk });
    const int critical =
      starts[{ "north", Importance::kCritical }] + starts[{ "south", Importance::kCritical }];
    const int bulk =
      starts[{ "north", Importance::kBulk }] + starts[{ "south", Importance::kBulk }];
    EXPECT_GT(critical, 3500);
    EXPECT_LT(bulk, critical / 50);
  }
}

} // namespace
} // namespace jackdawwind
