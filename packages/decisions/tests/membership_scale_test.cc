// Guards against control traffic that grows faster than the fleet. Counts the messages and member
// records that nodes send, by distance, while a fleet starts and afterwards.
#include <cstddef>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/membership_fleet.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 8;

struct Traffic
{
  std::size_t messages = 0;
  /// Member records in the messages, which make up most of their bytes.
  std::size_t records = 0;
  /// Records sent to nodes of the other region.
  std::size_t farRecords = 0;
};

struct RecordCounter
{
  std::size_t operator()(const Probe& aMessage) const { return aMessage.Changes().size(); }
  std::size_t operator()(const ProbeAck& aMessage) const { return aMessage.Changes().size(); }
  std::size_t operator()(const MemberSync& aMessage) const { return aMessage.Members().size(); }
  template<typename Other>
  std::size_t operator()(const Other& /*aMessage*/) const
  {
    return 0;
  }
};

Fleet::NodeOptions
NodeAt(int aIndex)
{
  const int domain = aIndex % kDomains;
  return { .node = "node-" + std::to_string(1000 + aIndex),
           .domain = "domain-" + std::to_string(domain),
           .region = domain % 2 == 0 ? "lagos" : "kano",
           .seeds = {} };
}

/// A fleet whose nodes start together and learn of each other from the register, as after a power
/// failure.
class StartedFleet
{
public:
  explicit StartedFleet(int aNodes)
    : fleet({ .seed = 3 })
  {
    std::map<std::string, std::string> regions;
    std::vector<NodeAnnounced> announced;
    for (int index = 0; index < aNodes; ++index) {
      const Fleet::NodeOptions node = NodeAt(index);
      regions[node.node] = node.region;
      const PeerAddress address = this->fleet.Add(node);
      announced.push_back(NodeAnnounced(
        { .address = address, .domain = node.domain, .region = node.region, .incarnation = 1 }));
    }
    this->fleet.SetMessageHook([this, regions](const std::string& aFrom, const SendPeer& aSent) {
      const std::size_t records = std::visit(RecordCounter{}, aSent.Message());
      ++this->traffic.messages;
      this->traffic.records += records;
      if (regions.at(aFrom) != regions.at(aSent.To().Node())) {
        this->traffic.farRecords += records;
      }
    });
    this->fleet.Run(milliseconds(20));
    for (const std::string& node : this->fleet.Nodes()) {
      std::vector<NodeAnnounced> others;
      for (const NodeAnnounced& one : announced) {
        if (one.Address().Node() != node) {
          others.push_back(one);
        }
      }
      this->fleet.Invoke(node, [&others](Membership& aMember, Time aNow, Effects& aEffects) {
        aMember.HandleAnnouncements(others, aNow, aEffects);
      });
    }
  }

  /// Runs for a time and returns what was sent meanwhile.
  Traffic Run(Duration aTime)
  {
    this->traffic = Traffic{};
    this->fleet.Run(aTime);
    return this->traffic;
  }

  bool IsComplete() const
  {
    const std::vector<std::string> nodes = this->fleet.Nodes();
    for (const std::string& node : nodes) {
      if (this->fleet.At(node).Members().size() != nodes.size()) {
        return false;
      }
    }
    return true;
  }

private:
  Fleet fleet;
  Traffic traffic;
};

TEST(MembershipScale, StartOfAFleetCostsEachNodeAFewTables)
{
  for (const int nodes : { 100, 300 }) {
    SCOPED_TRACE(nodes);
    StartedFleet fleet(nodes);
    const Traffic start = fleet.Run(seconds(10));
    EXPECT_TRUE(fleet.IsComplete());
    const std::size_t table = static_cast<std::size_t>(nodes);
    // Each node asks three contacts for their tables and exchanges its own once or twice more while
    // the tables differ; one of the contacts may be in the other region.
    EXPECT_LE(start.records / table, 8 * table) << start.records;
    EXPECT_LE(start.farRecords / table, 3 * table) << start.farRecords;
  }
}

TEST(MembershipScale, SteadyTrafficOfANodeDoesNotGrowWithTheFleet)
{
  for (const int nodes : { 100, 300 }) {
    SCOPED_TRACE(nodes);
    StartedFleet fleet(nodes);
    fleet.Run(seconds(30));
    const Traffic steady = fleet.Run(seconds(10));
    const std::size_t perNodeAndSecond = steady.messages / static_cast<std::size_t>(nodes) / 10;
    // One probe, one acknowledgement, and rarely an indirect probe.
    EXPECT_LE(perNodeAndSecond, 3U);
    EXPECT_LE(steady.records, static_cast<std::size_t>(nodes));
  }
}

} // namespace
} // namespace jackdawwind
