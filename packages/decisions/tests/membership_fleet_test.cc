// Guards against member tables that do not converge, running nodes that stay dead in a table, dead
// nodes that reappear, and suspended processes that declare others dead when they resume.
#include "decisions/tests/membership_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kDomains = 4;
const char* const kDomainNames[kDomains] = { "ikeja", "apapa", "sharada", "bompai" };

/// Seeds of randomised runs: JACKDAW_SEED alone, or a few fixed ones.
std::vector<std::uint64_t>
Seeds()
{
  if (const char* given = std::getenv("JACKDAW_SEED")) {
    return { std::strtoull(given, nullptr, 10) };
  }
  return { 1, 2, 3, 4, 5 };
}

Fleet::NodeOptions
NodeAt(int aIndex, std::vector<PeerAddress> aSeeds, std::uint64_t aIncarnation = 1)
{
  const int domain = aIndex % kDomains;
  return { .node = "node-" + std::to_string(100 + aIndex),
           .domain = kDomainNames[domain],
           .region = domain < kDomains / 2 ? "lagos" : "kano",
           .incarnation = aIncarnation,
           .seeds = std::move(aSeeds) };
}

std::string
Name(int aIndex)
{
  return NodeAt(aIndex, {}).node;
}

/// Starts aCount nodes whose only seed is the first; returns the seeds.
std::vector<PeerAddress>
StartFleet(Fleet& aFleet, int aCount)
{
  std::vector<PeerAddress> seeds;
  for (int index = 0; index < aCount; ++index) {
    const PeerAddress address = aFleet.Add(NodeAt(index, seeds));
    if (seeds.empty()) {
      seeds.push_back(address);
    }
  }
  return seeds;
}

/// Describes the first difference from a converged fleet, in which all tables are equal and hold
/// exactly the running nodes, all alive; empty when there is none.
std::string
TableMismatch(const Fleet& aFleet)
{
  const std::vector<std::string> nodes = aFleet.Nodes();
  for (const std::string& node : nodes) {
    const std::map<std::string, Member>& members = aFleet.At(node).Members();
    if (members != aFleet.At(nodes.front()).Members()) {
      return node + " and " + nodes.front() + " have different tables";
    }
    if (members.size() != nodes.size()) {
      return node + " knows " + std::to_string(members.size()) + " of " +
             std::to_string(nodes.size()) + " members";
    }
    for (const std::pair<const std::string, Member>& entry : members) {
      const bool exists = std::binary_search(nodes.begin(), nodes.end(), entry.first);
      if (!exists || entry.second.State() != NodeState::kAlive) {
        return node + " has the wrong state for " + entry.first;
      }
    }
  }
  return "";
}

/// Whether the tables of all other running nodes have aNode in aState.
bool
AllReport(const Fleet& aFleet, const std::string& aNode, NodeState aState)
{
  for (const std::string& node : aFleet.Nodes()) {
    const std::map<std::string, Member>& members = aFleet.At(node).Members();
    const std::map<std::string, Member>::const_iterator found = members.find(aNode);
    if (node != aNode && (found == members.end() || found->second.State() != aState)) {
      return false;
    }
  }
  return true;
}

constexpr int kNodes = 24;

/// Faults injected into a running fleet.
struct Scenario
{
  const char* name;
  Fleet::Options network;
  std::function<void(Fleet&)> injectFaults;
};

void
RunWithNetworkFaults(Fleet& aFleet)
{
  aFleet.Run(minutes(3));
}

void
CrashTwo(Fleet& aFleet)
{
  aFleet.Crash(Name(5));
  aFleet.Crash(Name(6));
}

void
RestartOne(Fleet& aFleet)
{
  const PeerAddress seed = aFleet.At(Name(0)).ActiveMembers(kDomainNames[0]).front();
  aFleet.Add(NodeAt(7, { seed }, 2));
}

void
ReplaceAll(Fleet& aFleet)
{
  PeerAddress seed = aFleet.At(Name(1)).ActiveMembers(kDomainNames[1]).front();
  for (int index = 0; index < kNodes; ++index) {
    aFleet.Invoke(Name(index), [](Membership& aMember, Time aNow, Effects& aEffects) {
      aMember.Leave(aNow, aEffects);
    });
    aFleet.Run(seconds(3));
    // The seed of the new process was started before it and has not been replaced yet.
    seed = aFleet.Add(NodeAt(index, { seed }, 2));
  }
}

void
PartitionRegion(Fleet& aFleet)
{
  aFleet.Partition({ kDomainNames[0], kDomainNames[1] });
  aFleet.Run(minutes(5));
  aFleet.Heal();
}

void
PartitionBriefly(Fleet& aFleet)
{
  aFleet.Partition({ kDomainNames[2] });
  aFleet.Run(seconds(8));
  aFleet.Heal();
}

void
FreezeForThreeMinutes(Fleet& aFleet)
{
  aFleet.Freeze(Name(3));
  aFleet.Run(minutes(3));
  aFleet.Wake(Name(3));
}

void
FreezeSeed(Fleet& aFleet)
{
  aFleet.Freeze(Name(0));
  aFleet.Run(seconds(20));
  aFleet.Wake(Name(0));
}

TEST(MembershipFleet, ConvergesAfterFaults)
{
  const Scenario scenarios[] = {
    { "forms from one seed", {}, [](Fleet& /*aFleet*/) {} },
    { "loss and duplicates", { .loss = 0.05, .duplicate = 0.05 }, RunWithNetworkFaults },
    { "slow network", { .jitter = milliseconds(150) }, RunWithNetworkFaults },
    { "crash", {}, CrashTwo },
    { "crash with loss", { .loss = 0.05 }, CrashTwo },
    { "restart", {}, RestartOne },
    { "rolling replacement", { .loss = 0.02 }, ReplaceAll },
    { "long partition of regions", {}, PartitionRegion },
    { "short partition of a domain", { .loss = 0.02 }, PartitionBriefly },
    { "long freeze", {}, FreezeForThreeMinutes },
    { "freeze of the seed", {}, FreezeSeed },
  };
  for (const Scenario& scenario : scenarios) {
    for (const std::uint64_t seed : Seeds()) {
      SCOPED_TRACE(std::string(scenario.name) + ", JACKDAW_SEED=" + std::to_string(seed));
      Fleet::Options network = scenario.network;
      network.seed = seed;
      Fleet fleet(network);
      StartFleet(fleet, kNodes);
      fleet.Run(seconds(60));
      scenario.injectFaults(fleet);
      // Loss continues, so a suspicion may exist at any given moment; wait for a moment without
      // one.
      fleet.Run(seconds(80));
      const bool converged =
        fleet.RunUntil(seconds(60), [&fleet] { return TableMismatch(fleet).empty(); });
      EXPECT_TRUE(converged) << TableMismatch(fleet);
    }
  }
}

TEST(MembershipFleet, ResumedNodeDeclaresNoPeerDead)
{
  for (const std::uint64_t seed : Seeds()) {
    for (const milliseconds frozen :
         { milliseconds(700), milliseconds(5000), milliseconds(90000) }) {
      SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed) + ", frozen for " +
                   std::to_string(frozen.count()) + " ms");
      Fleet fleet({ .seed = seed });
      StartFleet(fleet, kNodes);
      fleet.Run(seconds(60));
      fleet.Freeze(Name(3));
      fleet.Run(frozen);
      fleet.Wake(Name(3));
      fleet.Run(seconds(30));
      for (const Fleet::Line& line : fleet.LinesOf(LogEvent::kMemberDied)) {
        // Others may declare the suspended node dead, but no other node was suspended.
        EXPECT_NE(line.node, Name(3)) << line.line;
        EXPECT_TRUE(line.line.Detail().starts_with(Name(3) + " ")) << line.line;
      }
      EXPECT_EQ(TableMismatch(fleet), "");
    }
  }
}

TEST(MembershipFleet, NoNodeIsDeclaredDeadByItsOwnSideOfAPartition)
{
  for (const std::uint64_t seed : Seeds()) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    Fleet fleet({ .seed = seed, .loss = 0.02 });
    StartFleet(fleet, kNodes);
    fleet.Run(seconds(60));
    PartitionRegion(fleet);
    fleet.Run(seconds(60));
    EXPECT_EQ(TableMismatch(fleet), "");
    const std::map<std::string, Member>& members = fleet.At(Name(0)).Members();
    for (const Fleet::Line& line : fleet.LinesOf(LogEvent::kMemberDied)) {
      const std::string subject = line.line.Detail().substr(0, line.line.Detail().find(' '));
      EXPECT_NE(members.at(line.node).Region(), members.at(subject).Region())
        << line.node << ": " << line.line;
    }
  }
}

TEST(MembershipFleet, CrashedNodeIsDeclaredDeadThenForgotten)
{
  for (const std::uint64_t seed : Seeds()) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    Fleet fleet({ .seed = seed });
    StartFleet(fleet, kNodes);
    fleet.Run(seconds(60));
    fleet.Crash(Name(9));
    EXPECT_TRUE(fleet.RunUntil(seconds(15),
                               [&fleet] { return AllReport(fleet, Name(9), NodeState::kDead); }));
    fleet.Run(seconds(70));
    EXPECT_EQ(TableMismatch(fleet), "");
    EXPECT_EQ(fleet.LinesOf(LogEvent::kMemberDied).size(), kNodes - 1U);
  }
}

TEST(MembershipFleet, LeavingStateSpreadsAtOnceAndIsNotReportedAsDeath)
{
  for (const std::uint64_t seed : Seeds()) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    Fleet fleet({ .seed = seed });
    StartFleet(fleet, kNodes);
    fleet.Run(seconds(60));
    fleet.Invoke(Name(9), [](Membership& aMember, Time aNow, Effects& aEffects) {
      aMember.Leave(aNow, aEffects);
    });
    EXPECT_TRUE(fleet.RunUntil(
      seconds(3), [&fleet] { return AllReport(fleet, Name(9), NodeState::kLeaving); }));
    fleet.Run(seconds(10));
    fleet.Crash(Name(9));
    fleet.Run(seconds(90));
    EXPECT_EQ(TableMismatch(fleet), "");
    EXPECT_EQ(fleet.LinesOf(LogEvent::kMemberLeft).size(), kNodes - 1U);
    EXPECT_TRUE(fleet.LinesOf(LogEvent::kMemberDied).empty());
  }
}

TEST(MembershipFleet, DrainingTargetStateSpreadsWithinFiveSeconds)
{
  for (const std::uint64_t seed : Seeds()) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    Fleet fleet({ .seed = seed, .loss = 0.02 });
    StartFleet(fleet, kNodes);
    fleet.Run(seconds(60));
    fleet.Invoke(Name(9), [](Membership& aMember, Time aNow, Effects& aEffects) {
      aMember.SetTarget("fleet", TargetState::kDraining, aNow, aEffects);
    });
    EXPECT_TRUE(fleet.RunUntil(seconds(5), [&fleet] {
      for (const std::string& node : fleet.Nodes()) {
        if (fleet.At(node).Members().at(Name(9)).GetTargetState() != TargetState::kDraining) {
          return false;
        }
      }
      return true;
    }));
  }
}

TEST(MembershipFleet, NodesWithoutSeedsJoinThroughLogAnnouncement)
{
  Fleet fleet({ .seed = Seeds().front() });
  const PeerAddress first = fleet.Add(NodeAt(0, {}));
  fleet.Add(NodeAt(1, {}));
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.At(Name(1)).Members().size(), 1U);
  fleet.Invoke(Name(1), [&first](Membership& aMember, Time aNow, Effects& aEffects) {
    aMember.HandleAnnouncements(
      { NodeAnnounced(
        { .address = first, .domain = kDomainNames[0], .region = "lagos", .incarnation = 1 }) },
      aNow,
      aEffects);
  });
  fleet.Run(seconds(5));
  EXPECT_EQ(TableMismatch(fleet), "");
}

} // namespace
} // namespace jackdawwind
