// Guards an organisation's quota over the whole fleet: cuts, kills and starts must not let its
// requests pass more often than the quota and its tolerance allow, and while nothing fails the
// quota can be used up.
#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/mesh/fleet_share.h"
#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 40;
constexpr Duration kWindow = seconds(5);
/// Tolerance of the operator: a tenth more, and 20 requests.
constexpr double kMostPerWindow = (kRate * 5 + kRate) * 1.1 + 20;

const std::vector<std::string> kNodes{ "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4" };

/// Eight hosts of one service, so that a node of any part of a cut fleet can serve.
void
StartServingFleet(FakeMesh& aMesh, double aRate = kRate)
{
  for (const std::string& node : kNodes) {
    const bool near = node.front() == 'a';
    aMesh.AddHost({ node, near ? "ikeja" : "sharada", near ? "lagos" : "kano", "fleet" }, 50);
  }
  aMesh.Advance(seconds(1));
  aMesh.Configure(MakeConfiguration(1, { "north-key" }, aRate));
  aMesh.Advance(seconds(4));
}

/// Every node is offered more than its part of three times the quota.
void
Offer(FakeMesh& aMesh, Duration aTime, Duration aGap = milliseconds(66))
{
  const Time end = aMesh.Now() + aTime;
  while (aMesh.Now() < end) {
    for (const std::string& node : kNodes) {
      aMesh.Request(node, "api", "/fleet/1", "north-key");
    }
    aMesh.Advance(aGap);
  }
}

std::size_t
MostInAWindow(const FakeMesh& aMesh)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aMesh.Runs().size(); ++last) {
    while (aMesh.Runs()[last].at - aMesh.Runs()[first].at >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

TEST(MeshQuota, IsUsedUpWhileNothingFails)
{
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  Offer(mesh, seconds(10));
  EXPECT_GE(mesh.Runs().size(), kRate * 10 * 0.95);
  EXPECT_LE(MostInAWindow(mesh), kMostPerWindow);
}

/// One request a second from every node in turn, far below the quota.
void
OfferLittle(FakeMesh& aMesh, int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    aMesh.Request(
      kNodes[static_cast<std::size_t>(index) % kNodes.size()], "api", "/fleet/1", "north-key");
    aMesh.Advance(milliseconds(125));
  }
}

TEST(MeshQuota, AnOrganisationFarBelowItsQuotaNeedsNoDrawForEachRequest)
{
  // Guards against control traffic that grows with the requests: 8 a second of a quota of 40.
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  OfferLittle(mesh, 40);
  const std::size_t before = mesh.Draws();
  const std::size_t runs = mesh.Runs().size();
  OfferLittle(mesh, 160);
  EXPECT_EQ(mesh.Runs().size() - runs, 160U);
  // Each of the seven other nodes reports every three seconds for 20 seconds, or every second
  // request when its credit is two.
  EXPECT_LE(mesh.Draws() - before, 7U * 11);
}

TEST(MeshQuota, ReportedRequestsDoNotEmptyAFullBucketLater)
{
  // Guards against refusals within the quota at the start of a burst: what was let in on credit
  // before it had been paid by tokens that overflowed meanwhile.
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  for (int index = 0; index < 240; ++index) {
    mesh.Request(
      kNodes[static_cast<std::size_t>(index) % kNodes.size()], "api", "/fleet/1", "north-key");
    mesh.Advance(milliseconds(42));
  }
  const std::size_t before = mesh.Runs().size();
  EXPECT_EQ(before, 240U);
  Offer(mesh, seconds(2));
  // The burst and two seconds of the rate.
  EXPECT_GE(mesh.Runs().size() - before, (kRate + 2 * kRate) * 0.9);
}

TEST(MeshQuota, HoldsWhenEveryNodeUsesItsCreditAtOnce)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    FakeMesh mesh(seed);
    StartServingFleet(mesh);
    OfferLittle(mesh, 60);
    Offer(mesh, seconds(10));
    EXPECT_LE(MostInAWindow(mesh), kMostPerWindow);
  }
}

TEST(MeshQuota, TheQuietTimeBeforeASurgeDoesNotPayForIt)
{
  // Guards against requests of a surge that are paid by tokens which overflowed before it: the more
  // nodes report, the more of them were used (902 of 898 allowed on a day of the users' bench).
  constexpr double kLargeRate = 200;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    FakeMesh mesh(seed);
    StartServingFleet(mesh, kLargeRate);
    Offer(mesh, seconds(4), milliseconds(130));
    Offer(mesh, seconds(8), milliseconds(13));
    EXPECT_LE(MostInAWindow(mesh), (kLargeRate * 5 + kLargeRate) * 1.1 + 20);
    EXPECT_GE(mesh.Runs().size(), kLargeRate * 8 * 0.95);
  }
}

TEST(MeshQuota, HoldsInEveryKindOfCut)
{
  struct Case
  {
    const char* name;
    std::function<void(FakeMesh&)> begin;
    std::function<void(FakeMesh&)> end;
  };
  const std::vector<Case> cases{
    { "half from half",
      [](FakeMesh& aMesh) {
        aMesh.Split({ "b1", "b2", "b3", "b4" });
      },
      [](FakeMesh& aMesh) { aMesh.Split({}); } },
    { "three from five",
      [](FakeMesh& aMesh) {
        aMesh.Split({ "a1", "b1", "b2" });
      },
      [](FakeMesh& aMesh) { aMesh.Split({}); } },
    { "each from all others",
      [](FakeMesh& aMesh) {
        for (const std::string& node : kNodes) {
          aMesh.Cut(node, true);
        }
      },
      [](FakeMesh& aMesh) {
        for (const std::string& node : kNodes) {
          aMesh.Cut(node, false);
        }
      } },
    { "two single ones",
      [](FakeMesh& aMesh) {
        aMesh.Cut("a1", true);
        aMesh.Cut("b4", true);
      },
      [](FakeMesh& aMesh) {
        aMesh.Cut("a1", false);
        aMesh.Cut("b4", false);
      } },
    { "restart of all",
      [](FakeMesh& aMesh) {
        for (const std::string& node : kNodes) {
          aMesh.Restart(node);
        }
        aMesh.Advance(milliseconds(300));
        aMesh.Configure(MakeConfiguration(1, { "north-key" }, kRate));
      },
      [](FakeMesh&) {} },
  };
  for (const Case& testCase : cases) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE(std::string(testCase.name) + " seed " + std::to_string(seed));
      FakeMesh mesh(seed);
      StartServingFleet(mesh);
      Offer(mesh, seconds(6));
      testCase.begin(mesh);
      Offer(mesh, seconds(12));
      testCase.end(mesh);
      Offer(mesh, seconds(6));
      EXPECT_LE(MostInAWindow(mesh), kMostPerWindow);
    }
  }
}

TEST(MeshQuota, ComesBackAfterTheCut)
{
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  mesh.Split({ "b1", "b2", "b3", "b4" });
  Offer(mesh, seconds(12));
  mesh.Split({});
  Offer(mesh, seconds(8));
  const std::size_t before = mesh.Runs().size();
  Offer(mesh, seconds(5));
  EXPECT_GE(mesh.Runs().size() - before, kRate * 5 * 0.9);
}

/// Members in a state each.
FleetShare::Members
MakeMembers(const std::vector<NodeState>& aStates)
{
  FleetShare::Members members;
  for (const NodeState state : aStates) {
    const std::string node = "n" + std::to_string(members.size());
    members.emplace(node, Member({ .address = PeerAddress({ .node = node }), .state = state }));
  }
  return members;
}

TEST(FleetShare, FollowsTheNodesInSight)
{
  constexpr NodeState kAlive = NodeState::kAlive;
  constexpr NodeState kDead = NodeState::kDead;
  constexpr NodeState kLeaving = NodeState::kLeaving;
  struct Case
  {
    const char* name;
    std::vector<NodeState> states;
    double share;
  };
  const std::vector<Case> cases{
    { "all alive", { kAlive, kAlive, kAlive, kAlive }, 1.0 },
    { "one of four dead", { kAlive, kAlive, kAlive, kDead }, 0.85 },
    { "half dead", { kAlive, kAlive, kDead, kDead }, 0.5 },
    { "minority", { kAlive, kDead, kDead, kDead }, 0.25 },
    { "one signed off", { kAlive, kAlive, kAlive, kLeaving }, 1.0 },
    { "a suspect is not in sight", { kAlive, kAlive, kAlive, NodeState::kSuspect }, 0.85 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    FleetShare share;
    share.SetRegistered({ "n0", "n1", "n2", "n3" });
    share.Update(MakeMembers(testCase.states), Time(seconds(100)));
    EXPECT_DOUBLE_EQ(share.Share(Time(seconds(100))), testCase.share);
  }
}

TEST(FleetShare, ForgetsTheDeadAndThoseThatSignedOff)
{
  FleetShare share;
  share.SetRegistered({ "n0", "n1", "n2" });
  const Time start{ seconds(100) };
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead, NodeState::kLeaving }), start);
  EXPECT_EQ(share.Expected(), 2U);
  // The one that left is found dead later; it is still not expected.
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead, NodeState::kDead }),
               start + seconds(5));
  EXPECT_EQ(share.Expected(), 2U);
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead, NodeState::kDead }),
               start + FleetShare::kCutTime);
  EXPECT_EQ(share.Expected(), 1U);
}

TEST(FleetShare, ANodeBackFromTheDeadCountsWhenAllHaveHeardOfIt)
{
  FleetShare share;
  share.SetRegistered({ "n0", "n1" });
  const Time start{ seconds(100) };
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead }), start);
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kAlive }), start + seconds(1));
  EXPECT_DOUBLE_EQ(share.Share(start + seconds(2)), 0.5);
  EXPECT_DOUBLE_EQ(share.Share(start + seconds(1) + FleetShare::kMergeTime), 1.0);
}

TEST(FleetShare, ANodeThatHearsNothingIsAlone)
{
  FleetShare share;
  const Time start{ seconds(100) };
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kAlive }), start);
  share.NotePeerMessage(start);
  EXPECT_FALSE(share.IsAlone(start + seconds(2)));
  EXPECT_TRUE(share.IsAlone(start + seconds(3)));
}

} // namespace
} // namespace jackdawwind
