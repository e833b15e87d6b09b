// Guards against acting on what has lapsed: a late report of a target that is gone, a request that
// waited beyond its deadline while the process was suspended, a grant of a former quota owner, a
// repeat that was charged and not sent, and shares of a fleet whose size is not known yet.
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/mesh/local_target.h"
#include "decisions/mesh/quota_pool.h"
#include "decisions/mesh/repeat_budget.h"
#include "decisions/mesh/route_table.h"
#include "decisions/mesh/target_registration.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetHeartbeat
MakeHeartbeat(std::uint64_t aSequence,
              std::optional<std::uint64_t> aStartedAtMs,
              std::uint32_t aSlots = 1)
{
  return TargetHeartbeat({ .instance = "i1",
                           .host = "10.0.0.1",
                           .port = 80,
                           .service = "fleet",
                           .state = TargetState::kReady,
                           .slots = aSlots,
                           .sequence = aSequence,
                           .startedAtMs = aStartedAtMs });
}

TEST(TargetRegistration, LateReportDoesNotRenewALapsedRegistration)
{
  using Verdict = TargetRegistration::Verdict;
  TargetRegistration registration;
  const Time now{ seconds(1) };
  EXPECT_EQ(registration.Receive(MakeHeartbeat(5, 1000), now), Verdict::kChanged);
  const Time later = now + TargetRegistration::kLeaseDuration;
  ASSERT_TRUE(registration.Expire(later));
  EXPECT_EQ(registration.Receive(MakeHeartbeat(4, 1000), later), Verdict::kStale);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(9, 900), later), Verdict::kStale);
  EXPECT_EQ(registration.State(), TargetState::kNone);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(6, 1000), later), Verdict::kChanged);
}

TEST(TargetRegistration, RestartedTargetWithoutStartTimeRegistersAfterALapse)
{
  TargetRegistration registration;
  const Time now{ seconds(1) };
  registration.Receive(MakeHeartbeat(5, std::nullopt), now);
  ASSERT_TRUE(registration.Expire(now + TargetRegistration::kLeaseDuration));
  EXPECT_EQ(registration.Receive(MakeHeartbeat(1, std::nullopt), now + seconds(20)),
            TargetRegistration::Verdict::kChanged);
}

// Guards against requests at a target that is gone, after a late report of which the start or the
// sequence number is 0.
TEST(TargetRegistration, ZeroIsAStartAndASequenceNumber)
{
  using Verdict = TargetRegistration::Verdict;
  TargetRegistration registration;
  const Time now{ seconds(1) };
  EXPECT_EQ(registration.Receive(MakeHeartbeat(0, 0), now), Verdict::kChanged);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(0, 0), now), Verdict::kStale);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(1, 0), now), Verdict::kRenewed);
  const Time later = now + TargetRegistration::kLeaseDuration;
  ASSERT_TRUE(registration.Expire(later));
  EXPECT_EQ(registration.Receive(MakeHeartbeat(0, 0), later), Verdict::kStale);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(9, std::nullopt), later), Verdict::kStale);
  EXPECT_EQ(registration.State(), TargetState::kNone);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(2, 0), later), Verdict::kChanged);
  EXPECT_TRUE(
    registration.Receive(TargetDeregistered({ .instance = "i1", .startedAtMs = 0 }), later));
  EXPECT_EQ(registration.Receive(MakeHeartbeat(3, 0), later), Verdict::kStale);
  EXPECT_EQ(registration.Receive(MakeHeartbeat(0, 1), later), Verdict::kChanged);
}

// Guards against requests at a target that has left: its sign-off arrives before its first report,
// because the node has just started, and a late report follows.
TEST(TargetRegistration, LateReportAfterASignOffOfAnUnknownInstanceIsStale)
{
  constexpr std::uint64_t kStart = 1000;
  constexpr std::uint64_t kReceived = 5000;
  const Time now{ seconds(1) };
  for (const std::optional<std::uint64_t>& stated :
       { std::optional<std::uint64_t>(kStart), std::optional<std::uint64_t>() }) {
    SCOPED_TRACE(stated ? "start stated" : "start not stated");
    using Verdict = TargetRegistration::Verdict;
    TargetRegistration registration;
    EXPECT_FALSE(registration.Receive(
      TargetDeregistered({ .instance = "i1", .startedAtMs = stated, .receivedAtMs = kReceived }),
      now));
    EXPECT_EQ(registration.Receive(MakeHeartbeat(7, kStart), now + seconds(4)), Verdict::kStale);
    EXPECT_EQ(registration.State(), TargetState::kNone);
    // The next start of the same instance is used.
    EXPECT_EQ(registration.Receive(MakeHeartbeat(1, kReceived + 1), now + seconds(5)),
              Verdict::kChanged);
  }
}

// Guards against two sign-offs of which only the last is remembered.
TEST(TargetRegistration, LateReportsOfSeveralEndedInstancesAreStale)
{
  TargetRegistration registration;
  const Time now{ seconds(1) };
  for (const std::uint64_t start : { 1000U, 2000U, 3000U }) {
    registration.Receive(
      TargetDeregistered({ .instance = "i" + std::to_string(start), .startedAtMs = start }), now);
  }
  for (const std::uint64_t start : { 1000U, 2000U, 3000U }) {
    TargetHeartbeat::Fields late = MakeHeartbeat(7, start).ToFields();
    late.instance = "i" + std::to_string(start);
    EXPECT_EQ(registration.Receive(TargetHeartbeat(late), now + seconds(1)),
              TargetRegistration::Verdict::kStale);
  }
}

// Guards against a late sign-off of an earlier start that takes out the running one.
TEST(TargetRegistration, LateSignOffOfAnEarlierStartKeepsTheCurrentOne)
{
  TargetRegistration registration;
  const Time now{ seconds(1) };
  registration.Receive(MakeHeartbeat(1, 2000), now);
  EXPECT_FALSE(
    registration.Receive(TargetDeregistered({ .instance = "i1", .startedAtMs = 1000 }), now));
  EXPECT_EQ(registration.State(), TargetState::kReady);
  EXPECT_TRUE(
    registration.Receive(TargetDeregistered({ .instance = "i1", .startedAtMs = 2000 }), now));
  EXPECT_EQ(registration.State(), TargetState::kDraining);
}

TEST(LocalTarget, RequestThatExpiredWhileSuspendedDoesNotRun)
{
  LocalTarget target;
  Effects effects;
  const Time now{ seconds(1) };
  target.Receive(MakeHeartbeat(1, 1), now, effects);
  const HopContext context({ .routeName = "r", .service = "fleet", .rank = 1000 });
  for (const std::uint64_t exchange : { 1U, 2U }) {
    target.Offer({ .exchange = exchange,
                   .requestId = "r" + std::to_string(exchange),
                   .context = context,
                   .deadline = now + seconds(2) },
                 now,
                 effects);
  }
  effects.clear();
  // The process was suspended for five seconds; the answer to the first request comes before any
  // timer.
  target.Receive(SendEnded({ .exchange = 1,
                             .attempt = 1,
                             .outcome = TargetReplied({ .status = 200, .genuine = true }) }),
                 now + seconds(5),
                 effects);
  std::size_t refused = 0;
  for (const Effect& effect : effects) {
    EXPECT_FALSE(std::holds_alternative<CallTarget>(effect));
    if (const RejectRequest* rejection = std::get_if<RejectRequest>(&effect)) {
      ++refused;
      EXPECT_EQ(rejection->Exchange(), 2U);
      EXPECT_EQ(rejection->Run(), RunState::kNotRun);
    }
  }
  EXPECT_EQ(refused, 1U);
}

TEST(RepeatBudget, ReturnedTokenCanBeTakenAgain)
{
  RepeatBudget budget({ .fleetRatio = 0.2, .fleetExtra = 0 });
  budget.SetNodeCount(10);
  budget.NoteRequest("fleet");
  ASSERT_TRUE(budget.TryTake("fleet"));
  EXPECT_FALSE(budget.TryTake("fleet"));
  budget.Return("fleet");
  EXPECT_TRUE(budget.TryTake("fleet"));
  budget.Return("fleet");
  budget.Return("fleet");
  EXPECT_TRUE(budget.TryTake("fleet"));
  EXPECT_FALSE(budget.TryTake("fleet")) << "returning must not exceed the capacity";
}

PeerAddress
AddressOf(const std::string& aNode)
{
  return PeerAddress({ .node = aNode, .host = aNode, .callPort = 1, .controlPort = 2 });
}

Member
MemberOf(const std::string& aNode, const std::string& aDomain = "ikeja")
{
  return Member({ .address = AddressOf(aNode),
                  .incarnation = 1,
                  .domain = aDomain,
                  .region = "lagos",
                  .state = NodeState::kAlive });
}

MeshConfiguration
ConfigurationWithRate(double aRate)
{
  return MeshConfiguration(
    { .version = 1,
      .organisations = { MeshOrganisation({ .name = "north", .rate = aRate, .burst = aRate }) } });
}

TEST(QuotaPool, NodesThatRestartTogetherBeforeTheRegisterIsKnownKeepTheQuota)
{
  // With an assumed fleet of 16 nodes, 300 isolated ones took 19 times the quota.
  constexpr double kRate = 40;
  const RouteTable table(ConfigurationWithRate(kRate));
  for (const int nodes : { 100, 300 }) {
    SCOPED_TRACE(nodes);
    std::size_t admitted = 0;
    for (int node = 0; node < nodes; ++node) {
      const std::string name = "n" + std::to_string(node);
      QuotaPool pool(AddressOf(name));
      const Time start{ seconds(1) };
      pool.SetMembers({ { name, MemberOf(name) } }, start);
      pool.Configure(table, start);
      pool.SetMembers({ { name, MemberOf(name) } }, start);
      std::uint64_t exchange = 0;
      for (Time now = start; now < start + seconds(5); now += milliseconds(50)) {
        const bool taken = pool.Acquire(++exchange, "north", now) == QuotaPool::Verdict::kAdmitted;
        admitted += taken ? 1 : 0;
      }
    }
    EXPECT_LE(admitted, (kRate * 5 + kRate) * 1.1 + 20);
  }
}

TEST(QuotaPool, GrantOfAFormerOwnerIsVoid)
{
  const RouteTable table(ConfigurationWithRate(40));
  const Time now{ seconds(10) };
  QuotaPool pool(AddressOf("a"));
  QuotaPool::Members members{ { "a", MemberOf("a") } };
  for (int index = 0; index < 20; ++index) {
    const std::string name = "n" + std::to_string(index);
    members[name] = MemberOf(name);
  }
  pool.NotePeerMessage(now);
  pool.Configure(table, now);
  pool.SetMembers(members, now);
  ASSERT_EQ(pool.Acquire(1, "north", now), QuotaPool::Verdict::kPending);
  Effects effects;
  pool.Poll(now, effects);
  ASSERT_FALSE(effects.empty());
  const SendPeer& draw = std::get<SendPeer>(effects.front());
  const std::string owner = draw.To().Node();
  // The owner dies; its grant arrives after another node has taken over.
  Member::Fields dead = members.at(owner).ToFields();
  dead.state = NodeState::kDead;
  members[owner] = Member(dead);
  pool.SetMembers(members, now);
  pool.Receive(QuotaGrant({ .sender = owner,
                            .sequence = std::get<QuotaDraw>(draw.Message()).Sequence(),
                            .allowances = { QuotaAllowance(
                              { .organisation = "north", .tokens = 50, .credit = 50 }) } }),
               now);
  EXPECT_TRUE(pool.TakeDecisions().empty());
  EXPECT_EQ(pool.Acquire(2, "north", now), QuotaPool::Verdict::kPending);
}

} // namespace
} // namespace jackdawwind
