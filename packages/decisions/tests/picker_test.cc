// Guards against attempts that leave their domain without need, go to targets that would shed them,
// or concentrate on nodes that fail fast.
#include "decisions/routing/picker.h"

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kRank = 500;
const Time kStart{ seconds(100) };

struct Candidate
{
  std::string node;
  std::string domain = "ikeja";
  std::string region = "lagos";
  NodeState state = NodeState::kAlive;
  TargetState target = TargetState::kReady;
  std::string service = "fleet";
};

std::map<std::string, Member>
MakeMembers(const std::vector<Candidate>& aCandidates)
{
  std::map<std::string, Member> members;
  for (const Candidate& candidate : aCandidates) {
    members[candidate.node] = Member({ .address = PeerAddress({ .node = candidate.node }),
                                       .domain = candidate.domain,
                                       .region = candidate.region,
                                       .service = candidate.service,
                                       .targetState = candidate.target,
                                       .state = candidate.state });
  }
  return members;
}

AttemptOutcome
AnswerWithLevel(std::uint32_t aLevel, std::uint32_t aLoad = 0)
{
  return Answered({ .status = 200, .code = ResultCode::kOk, .level = aLevel, .load = aLoad });
}

/// Distinct results of 200 picks: node ids, "no target" or "shed".
std::set<std::string>
PickMany(Picker& aPicker, const PickRequest& aRequest, const std::vector<Candidate>& aCandidates)
{
  const std::map<std::string, Member> members = MakeMembers(aCandidates);
  std::set<std::string> picked;
  constexpr int kPicks = 200;
  for (int index = 0; index < kPicks; ++index) {
    const std::variant<PeerAddress, ResultCode> pick = aPicker.Pick(aRequest, members, kStart);
    if (const PeerAddress* address = std::get_if<PeerAddress>(&pick)) {
      picked.insert(address->Node());
    } else {
      picked.insert(std::get<ResultCode>(pick) == ResultCode::kNoTarget ? "no target" : "shed");
    }
  }
  return picked;
}

TEST(Picker, ChoosesTheBestCandidateClassInTheNearestLocality)
{
  struct Case
  {
    const char* name;
    std::vector<Candidate> candidates;
    /// Nodes that answered with a level above the rank.
    std::vector<std::string> shedding;
    /// Nodes that failed three times.
    std::vector<std::string> failing;
    std::set<std::string> tried;
    std::set<std::string> expected;
  };
  const Candidate near{ .node = "near" };
  const Candidate near2{ .node = "near2" };
  const Candidate region{ .node = "region", .domain = "apapa" };
  const Candidate far{ .node = "far", .domain = "bompai", .region = "kano" };
  const Candidate suspect{ .node = "suspect", .state = NodeState::kSuspect };
  const Candidate leaving{ .node = "leaving", .state = NodeState::kLeaving };
  const Candidate dead{ .node = "dead", .state = NodeState::kDead };
  const Candidate draining{ .node = "draining", .target = TargetState::kDraining };
  const Candidate starting{ .node = "starting", .target = TargetState::kStarting };
  const Candidate other{ .node = "other", .service = "hires" };
  const Case cases[] = {
    { "no members", {}, {}, {}, {}, { "no target" } },
    { "none ready", { leaving, dead, draining, starting, other }, {}, {}, {}, { "no target" } },
    { "own domain", { near, near2, region, far }, {}, {}, {}, { "near", "near2" } },
    { "own region", { region, far }, {}, {}, {}, { "region" } },
    { "other region", { far }, {}, {}, {}, { "far" } },
    { "own domain sheds", { near, region, far }, { "near" }, {}, {}, { "region" } },
    { "region sheds", { near, region, far }, { "near", "region" }, {}, {}, { "far" } },
    { "all shed", { near, far }, { "near", "far" }, {}, {}, { "shed" } },
    { "suspect skipped", { suspect, far }, {}, {}, {}, { "far" } },
    { "suspect not used when the alive node sheds",
      { suspect, far },
      { "far" },
      {},
      {},
      { "shed" } },
    { "only a suspect", { suspect, dead }, {}, {}, {}, { "suspect" } },
    { "failing skipped", { near, far }, {}, { "near" }, {}, { "far" } },
    { "only a failing node", { near }, {}, { "near" }, {}, { "near" } },
    { "failing preferred to suspect", { near, suspect }, {}, { "near" }, {}, { "near" } },
    { "tried skipped", { near, far }, {}, {}, { "near" }, { "far" } },
    { "only a tried node", { near }, {}, {}, { "near" }, { "near" } },
    { "tried used when the other sheds", { near, far }, { "far" }, {}, { "near" }, { "near" } },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    Picker picker({ .domain = "ikeja", .region = "lagos" }, 1);
    for (const std::string& node : testCase.shedding) {
      picker.NoteEnded(node, AnswerWithLevel(kRank + 1), kStart);
    }
    for (const std::string& node : testCase.failing) {
      for (int failure = 0; failure < 3; ++failure) {
        picker.NoteEnded(node, Lost(), kStart);
      }
    }
    const PickRequest request{ .service = "fleet", .rank = kRank, .tried = testCase.tried };
    EXPECT_EQ(PickMany(picker, request, testCase.candidates), testCase.expected);
  }
}

TEST(Picker, ChoosesTheLessLoadedOfTwoCandidates)
{
  const std::vector<Candidate> candidates = { { .node = "idle" }, { .node = "busy" } };
  const PickRequest request{ .service = "fleet", .rank = kRank, .tried = {} };
  Picker inFlight({ .domain = "ikeja", .region = "lagos" }, 1);
  inFlight.NoteSent("busy");
  EXPECT_EQ(PickMany(inFlight, request, candidates), std::set<std::string>{ "idle" });
  inFlight.NoteCancelled("busy");
  EXPECT_EQ(PickMany(inFlight, request, candidates).size(), 2U);

  Picker reported({ .domain = "ikeja", .region = "lagos" }, 1);
  reported.NoteEnded("busy", AnswerWithLevel(0, 7), kStart);
  EXPECT_EQ(PickMany(reported, request, candidates), std::set<std::string>{ "idle" });
}

TEST(Picker, DoublesTheExclusionOfAFailingNodeUpToTheMaximum)
{
  struct Case
  {
    const char* name;
    AttemptOutcome outcome;
    bool failure;
  };
  const Case cases[] = {
    { "connect failed", ConnectFailed(), true },
    { "lost", Lost(), true },
    { "timed out", TimedOut(), true },
    { "target gone", Answered({ .code = ResultCode::kConnectFailed }), true },
    { "target draining", Answered({ .code = ResultCode::kTargetDraining }), true },
    { "shed", Answered({ .code = ResultCode::kShedAtTarget }), false },
    { "answer", AnswerWithLevel(0), false },
  };
  const std::map<std::string, Member> members =
    MakeMembers({ { .node = "a" }, { .node = "b", .domain = "bompai", .region = "kano" } });
  const PickRequest request{ .service = "fleet", .rank = kRank, .tried = {} };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    Picker picker({ .domain = "ikeja", .region = "lagos" }, 1);
    const auto picks = [&](Time aNow) {
      return std::get<PeerAddress>(picker.Pick(request, members, aNow)).Node();
    };
    Time now = kStart;
    picker.NoteEnded("a", testCase.outcome, now);
    picker.NoteEnded("a", testCase.outcome, now);
    EXPECT_EQ(picks(now), "a");
    picker.NoteEnded("a", testCase.outcome, now);
    EXPECT_EQ(picks(now), testCase.failure ? "b" : "a");
    if (!testCase.failure) {
      continue;
    }
    // Failures of attempts sent before the exclusion do not extend it.
    picker.NoteEnded("a", testCase.outcome, now);
    for (const seconds exclusion :
         { seconds(1), seconds(2), seconds(4), seconds(8), seconds(10), seconds(10) }) {
      SCOPED_TRACE(exclusion.count());
      EXPECT_EQ(picks(now + exclusion - milliseconds(1)), "b");
      now += exclusion;
      EXPECT_EQ(picks(now), "a");
      picker.NoteEnded("a", testCase.outcome, now);
    }
    picker.NoteEnded("a", AnswerWithLevel(0), now);
    EXPECT_EQ(picks(now), "a");
    picker.NoteEnded("a", testCase.outcome, now);
    EXPECT_EQ(picks(now), "a");
  }
}

} // namespace
} // namespace jackdawwind
