// Tests the quota of an organisation over the whole fleet. Guards against more admitted requests
// than the quota and its tolerance allow during partitions and restarts, and against a quota that
// cannot be fully used without failures.
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
/// Rate and burst of one window, plus the tolerance that operators accept: 10 % and 20 requests.
constexpr double kMaxRunsPerWindow = (kRate * 5 + kRate) * 1.1 + 20;

const std::vector<std::string> kNodes{ "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4" };

/// Starts eight hosts of one service, so that every side of a partition has a target.
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

/// Sends requests to all nodes at equal intervals: with the default interval, at three times the
/// quota.
void
OfferLoad(FakeMesh& aMesh, Duration aTime, Duration aGap = milliseconds(66))
{
  const Time end = aMesh.Now() + aTime;
  while (aMesh.Now() < end) {
    for (const std::string& node : kNodes) {
      aMesh.Request(node, "api", "/fleet/1", "north-key");
    }
    aMesh.Advance(aGap);
  }
}

/// Largest number of runs within any kWindow.
std::size_t
MaxRunsInWindow(const FakeMesh& aMesh)
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

TEST(MeshQuota, CanBeFullyUsedWithoutFailures)
{
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  OfferLoad(mesh, seconds(10));
  EXPECT_GE(mesh.Runs().size(), kRate * 10 * 0.95);
  EXPECT_LE(MaxRunsInWindow(mesh), kMaxRunsPerWindow);
}

/// Sends one request a second to each node in turn, far below the quota.
void
OfferLightLoad(FakeMesh& aMesh, int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    aMesh.Request(
      kNodes[static_cast<std::size_t>(index) % kNodes.size()], "api", "/fleet/1", "north-key");
    aMesh.Advance(milliseconds(125));
  }
}

TEST(MeshQuota, LowUsageNeedsNoDrawPerRequest)
{
  // Guards against control traffic that grows with the request rate; offers 8 requests a second of
  // a quota of 40.
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  OfferLightLoad(mesh, 40);
  const std::size_t before = mesh.Draws();
  const std::size_t runs = mesh.Runs().size();
  OfferLightLoad(mesh, 160);
  EXPECT_EQ(mesh.Runs().size() - runs, 160U);
  // Each of the seven nodes besides the owner reports every three seconds for 20 seconds, or after
  // every second request if its credit is two.
  EXPECT_LE(mesh.Draws() - before, 7U * 11);
}

TEST(MeshQuota, ReportedRequestsAreChargedToOverflowFirst)
{
  // Guards against rejections within the quota at the start of a burst. Requests that were admitted
  // on credit before the burst must be charged to the tokens that overflowed at that time.
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  for (int index = 0; index < 240; ++index) {
    mesh.Request(
      kNodes[static_cast<std::size_t>(index) % kNodes.size()], "api", "/fleet/1", "north-key");
    mesh.Advance(milliseconds(42));
  }
  const std::size_t before = mesh.Runs().size();
  EXPECT_EQ(before, 240U);
  OfferLoad(mesh, seconds(2));
  // The burst and two seconds of the rate.
  EXPECT_GE(mesh.Runs().size() - before, (kRate + 2 * kRate) * 0.9);
}

TEST(MeshQuota, HoldsWhenAllCreditIsUsedAtOnce)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    FakeMesh mesh(seed);
    StartServingFleet(mesh);
    OfferLightLoad(mesh, 60);
    OfferLoad(mesh, seconds(10));
    EXPECT_LE(MaxRunsInWindow(mesh), kMaxRunsPerWindow);
  }
}

TEST(MeshQuota, OverflowBeforeASurgeIsNotChargedForIt)
{
  // Guards against charging the requests of a surge to tokens that overflowed before it. The number
  // of such tokens used grew with the number of reporting nodes: a load test saw 902 runs where 898
  // are allowed.
  constexpr double kLargeRate = 200;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    FakeMesh mesh(seed);
    StartServingFleet(mesh, kLargeRate);
    OfferLoad(mesh, seconds(4), milliseconds(130));
    OfferLoad(mesh, seconds(8), milliseconds(13));
    EXPECT_LE(MaxRunsInWindow(mesh), (kLargeRate * 5 + kLargeRate) * 1.1 + 20);
    EXPECT_GE(mesh.Runs().size(), kLargeRate * 8 * 0.95);
  }
}

TEST(MeshQuota, HoldsDuringPartitionsAndRestarts)
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
        aMesh.Partition({ "b1", "b2", "b3", "b4" });
      },
      [](FakeMesh& aMesh) { aMesh.Partition({}); } },
    { "three from five",
      [](FakeMesh& aMesh) {
        aMesh.Partition({ "a1", "b1", "b2" });
      },
      [](FakeMesh& aMesh) { aMesh.Partition({}); } },
    { "each from all others",
      [](FakeMesh& aMesh) {
        for (const std::string& node : kNodes) {
          aMesh.SetIsolated(node, true);
        }
      },
      [](FakeMesh& aMesh) {
        for (const std::string& node : kNodes) {
          aMesh.SetIsolated(node, false);
        }
      } },
    { "two isolated nodes",
      [](FakeMesh& aMesh) {
        aMesh.SetIsolated("a1", true);
        aMesh.SetIsolated("b4", true);
      },
      [](FakeMesh& aMesh) {
        aMesh.SetIsolated("a1", false);
        aMesh.SetIsolated("b4", false);
      } },
    { "restart of all nodes",
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
      OfferLoad(mesh, seconds(6));
      testCase.begin(mesh);
      OfferLoad(mesh, seconds(12));
      testCase.end(mesh);
      OfferLoad(mesh, seconds(6));
      EXPECT_LE(MaxRunsInWindow(mesh), kMaxRunsPerWindow);
    }
  }
}

/// Stops nodes as a supervisor does: they drain, exit and start again.
void
StopAndStart(FakeMesh& aMesh, const std::vector<std::string>& aNodes, Duration aGap)
{
  // A node exits 2.5 s after the stop request, if it is idle.
  constexpr Duration kStopTime = seconds(3);
  const Time start = aMesh.Now();
  std::size_t drained = 0;
  std::size_t restarted = 0;
  while (restarted < aNodes.size()) {
    const Duration elapsed = aMesh.Now() - start;
    while (drained < aNodes.size() && elapsed >= aGap * static_cast<int>(drained)) {
      aMesh.Drain(aNodes[drained++]);
    }
    while (restarted < drained && elapsed >= aGap * static_cast<int>(restarted) + kStopTime) {
      aMesh.Restart(aNodes[restarted]);
      aMesh.ConfigureOnly({ aNodes[restarted++] }, MakeConfiguration(1, { "north-key" }, kRate));
    }
    OfferLoad(aMesh, milliseconds(66));
  }
}

// Guards against two nodes that grant the same quota while its owner stops, alone or with others.
TEST(MeshQuota, HoldsWhileNodesStop)
{
  struct Case
  {
    std::string name;
    std::vector<std::string> nodes;
    Duration gap;
  };
  std::vector<Case> cases{
    { "all at once", kNodes, Duration::zero() },
    { "in turn, overlapping", kNodes, milliseconds(1300) },
    { "in turn", kNodes, milliseconds(3500) },
    { "in quick succession", kNodes, milliseconds(100) },
    { "half at once", { "a1", "a2", "a3", "a4" }, Duration::zero() },
    { "other half at once", { "b1", "b2", "b3", "b4" }, Duration::zero() },
    { "all but one", { "a1", "a2", "a3", "a4", "b1", "b2", "b3" }, milliseconds(20) },
  };
  for (const std::string& node : kNodes) {
    cases.push_back({ node, { node }, Duration::zero() });
  }
  for (const Case& testCase : cases) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      SCOPED_TRACE(testCase.name + " seed " + std::to_string(seed));
      FakeMesh mesh(seed);
      StartServingFleet(mesh);
      // Most of the quota unused, so that the burst is saved.
      OfferLightLoad(mesh, 24);
      OfferLoad(mesh, seconds(1));
      StopAndStart(mesh, testCase.nodes, testCase.gap);
      OfferLoad(mesh, seconds(6));
      EXPECT_LE(MaxRunsInWindow(mesh), kMaxRunsPerWindow);
    }
  }
}

// Guards against a quota that cannot be used while its owner stops.
TEST(MeshQuota, CanBeUsedWhileANodeStops)
{
  for (const std::string& node : kNodes) {
    SCOPED_TRACE(node);
    FakeMesh mesh(1);
    StartServingFleet(mesh);
    OfferLoad(mesh, seconds(5));
    const std::size_t before = mesh.Runs().size();
    mesh.Drain(node);
    OfferLoad(mesh, seconds(2));
    EXPECT_GE(mesh.Runs().size() - before, kRate * 2 * 0.85);
  }
}

TEST(MeshQuota, RecoversAfterAPartition)
{
  FakeMesh mesh(1);
  StartServingFleet(mesh);
  mesh.Partition({ "b1", "b2", "b3", "b4" });
  OfferLoad(mesh, seconds(12));
  mesh.Partition({});
  OfferLoad(mesh, seconds(8));
  const std::size_t before = mesh.Runs().size();
  OfferLoad(mesh, seconds(5));
  EXPECT_GE(mesh.Runs().size() - before, kRate * 5 * 0.9);
}

/// Creates one member for each state.
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

TEST(FleetShare, FollowsTheVisibleNodes)
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
    { "one left cleanly", { kAlive, kAlive, kAlive, kLeaving }, 1.0 },
    { "a suspect is not visible", { kAlive, kAlive, kAlive, NodeState::kSuspect }, 0.85 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    FleetShare share;
    share.SetRegistered({ "n0", "n1", "n2", "n3" });
    share.Update(MakeMembers(testCase.states), Time(seconds(100)));
    EXPECT_DOUBLE_EQ(share.Share(Time(seconds(100))), testCase.share);
  }
}

TEST(FleetShare, DropsDeadAndDepartedNodes)
{
  FleetShare share;
  share.SetRegistered({ "n0", "n1", "n2" });
  const Time start{ seconds(100) };
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead, NodeState::kLeaving }), start);
  EXPECT_EQ(share.Expected(), 2U);
  // The node that left is declared dead later; it is still not expected.
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead, NodeState::kDead }),
               start + seconds(5));
  EXPECT_EQ(share.Expected(), 2U);
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead, NodeState::kDead }),
               start + FleetShare::kDeadNodeExpiry);
  EXPECT_EQ(share.Expected(), 1U);
}

TEST(FleetShare, RecoveredNodeCountsAfterHealTime)
{
  FleetShare share;
  share.SetRegistered({ "n0", "n1" });
  const Time start{ seconds(100) };
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kDead }), start);
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kAlive }), start + seconds(1));
  EXPECT_DOUBLE_EQ(share.Share(start + seconds(2)), 0.5);
  EXPECT_DOUBLE_EQ(share.Share(start + seconds(1) + FleetShare::kHealTime), 1.0);
}

TEST(FleetShare, IsIsolatedWithoutMessages)
{
  FleetShare share;
  const Time start{ seconds(100) };
  share.Update(MakeMembers({ NodeState::kAlive, NodeState::kAlive }), start);
  share.NotePeerMessage(start);
  EXPECT_FALSE(share.IsIsolated(start + seconds(2)));
  EXPECT_TRUE(share.IsIsolated(start + seconds(3)));
}

} // namespace
} // namespace jackdawwind
