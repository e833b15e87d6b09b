// Guards against different states at the same offset, revisions that revert, nodes that stay on an
// old configuration although a peer has a newer one, and nodes that cannot start once the first
// records of the log have expired.
#include "decisions/tests/control_fleet.h"

#include <cstdlib>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kNodesPerDomain = 6;

/// Seeds of randomised runs: JACKDAW_SEED alone, or a few fixed ones.
std::vector<std::uint64_t>
Seeds()
{
  if (const char* given = std::getenv("JACKDAW_SEED")) {
    return { std::strtoull(given, nullptr, 10) };
  }
  return { 1, 2, 3, 4, 5 };
}

std::string
Name(const std::string& aDomain, int aIndex)
{
  return aDomain + "-" + std::to_string(aIndex);
}

std::set<std::string>
NamesOf(const std::string& aDomain)
{
  std::set<std::string> names;
  for (int index = 0; index < kNodesPerDomain; ++index) {
    names.insert(Name(aDomain, index));
  }
  return names;
}

void
StartFleet(ControlFleet& aFleet)
{
  for (const char* domain : { "apapa", "ikeja" }) {
    for (int index = 0; index < kNodesPerDomain; ++index) {
      aFleet.Add(Name(domain, index), domain);
    }
  }
}

ConfigChange
Change(const std::string& aRevision, const std::string& aBasedOn)
{
  const Organisation body({ .name = "org-" + aRevision, .rate = 10, .burst = 10 });
  return ConfigChange({ .revision = aRevision,
                        .basedOn = aBasedOn,
                        .puts = { ConfigItem({ .path = PathOf(body), .body = body }) } });
}

/// Appends a change based on the revision of a random node, which is often out of date.
void
AppendOperatorChange(ControlFleet& aFleet)
{
  const std::vector<std::string> nodes = aFleet.Nodes();
  const std::string& node = nodes[aFleet.GetRandom().Below(nodes.size())];
  const std::string revision = "r" + std::to_string(aFleet.LogEnd());
  const ConfigChange change = Change(revision, aFleet.At(node).State().Revision());
  aFleet.Append(change);
  if (aFleet.GetRandom().Below(4) == 0) {
    aFleet.Append(change); // a retry after a lost answer
  }
}

/// Appends aCount changes from operators that do not coordinate.
void
AppendConcurrentChanges(ControlFleet& aFleet, int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    AppendOperatorChange(aFleet);
    aFleet.Run(milliseconds(static_cast<int>(aFleet.GetRandom().Below(400))));
  }
}

void
ChangeDuringOutage(ControlFleet& aFleet)
{
  aFleet.CutFromLog({ "*" });
  AppendConcurrentChanges(aFleet, 20);
  aFleet.Run(minutes(2));
  aFleet.CutFromLog({});
}

void
CutDomainFromLog(ControlFleet& aFleet)
{
  aFleet.CutFromLog(NamesOf("ikeja"));
  AppendConcurrentChanges(aFleet, 20);
}

void
CutOneReaderFromLog(ControlFleet& aFleet)
{
  aFleet.CutFromLog({ Name("ikeja", 0) });
  AppendConcurrentChanges(aFleet, 20);
}

void
CutReadersFromLog(ControlFleet& aFleet)
{
  aFleet.CutFromLog({ Name("ikeja", 0), Name("ikeja", 1) });
  AppendConcurrentChanges(aFleet, 20);
}

void
PartitionDomain(ControlFleet& aFleet)
{
  aFleet.CutFromLog(NamesOf("ikeja"));
  aFleet.CutFromPeers({ "ikeja" });
  AppendConcurrentChanges(aFleet, 20);
  aFleet.Run(minutes(10));
  EXPECT_GE(aFleet.At(Name("ikeja", 2)).NewsAge(aFleet.Now()), minutes(10));
  aFleet.CutFromLog({});
  aFleet.CutFromPeers({});
}

void
ReplaceReaders(ControlFleet& aFleet)
{
  for (int index = 0; index < kNodesPerDomain - 1; ++index) {
    AppendConcurrentChanges(aFleet, 5);
    aFleet.Remove(Name("ikeja", index));
    aFleet.Add("ikeja-new-" + std::to_string(index), "ikeja");
  }
}

void
FreezeReader(ControlFleet& aFleet)
{
  aFleet.Freeze(Name("ikeja", 0));
  AppendConcurrentChanges(aFleet, 20);
  aFleet.Run(minutes(2));
  aFleet.Wake(Name("ikeja", 0));
}

/// Guards against nodes that miss records or report news they do not have after a fault.
TEST(ControlFollower, ConvergesToLogStateAfterFaults)
{
  struct Scenario
  {
    const char* name;
    ControlFleet::Options options;
    std::function<void(ControlFleet&)> injectFaults;
    Duration newsAge;
  };
  const Scenario scenarios[] = {
    { "concurrent operators",
      {},
      [](ControlFleet& aFleet) { AppendConcurrentChanges(aFleet, 50); },
      seconds(5) },
    { "loss",
      { .loss = 0.2 },
      [](ControlFleet& aFleet) { AppendConcurrentChanges(aFleet, 50); },
      seconds(8) },
    { "log outage", { .loss = 0.02 }, ChangeDuringOutage, seconds(5) },
    { "domain cut from the log", { .loss = 0.02 }, CutDomainFromLog, seconds(15) },
    { "one reader cut from the log", { .loss = 0.02 }, CutOneReaderFromLog, seconds(8) },
    { "both readers cut from the log", { .loss = 0.02 }, CutReadersFromLog, seconds(15) },
    { "partitioned domain", { .loss = 0.02 }, PartitionDomain, seconds(5) },
    { "replaced readers", { .loss = 0.02 }, ReplaceReaders, seconds(5) },
    { "frozen reader", { .loss = 0.02 }, FreezeReader, seconds(5) },
  };
  for (const Scenario& scenario : scenarios) {
    for (const std::uint64_t seed : Seeds()) {
      SCOPED_TRACE(std::string(scenario.name) + ", JACKDAW_SEED=" + std::to_string(seed));
      ControlFleet::Options options = scenario.options;
      options.seed = seed;
      ControlFleet fleet(options);
      StartFleet(fleet);
      fleet.Run(seconds(10));
      scenario.injectFaults(fleet);
      fleet.Run(seconds(7));
      EXPECT_EQ(fleet.FindStaleNode(scenario.newsAge), "");
      // The state must not diverge later without changes.
      fleet.Run(minutes(5));
      EXPECT_EQ(fleet.FindStaleNode(scenario.newsAge), "");
      EXPECT_FALSE(fleet.Reference().Revision().empty());
    }
  }
}

TEST(ControlFollower, LogsOutageStartAndEndOnce)
{
  ControlFleet fleet({});
  fleet.Add("a", "ikeja");
  fleet.Run(seconds(10));
  fleet.CutFromLog({ "*" });
  fleet.Run(seconds(60));
  EXPECT_FALSE(fleet.At("a").LogReachable());
  fleet.CutFromLog({});
  fleet.Run(seconds(10));
  EXPECT_TRUE(fleet.At("a").LogReachable());
  EXPECT_EQ(fleet.CountOf(LogEvent::kLogUnreachable), 1);
  EXPECT_EQ(fleet.CountOf(LogEvent::kLogReachable), 1);
}

TEST(ControlFollower, SkipsCorruptRecordsAndCollectsAnnouncements)
{
  ControlFleet fleet({});
  const NodeAnnounced announced({ .address = PeerAddress({ .node = "b" }), .incarnation = 7 });
  fleet.Append(CorruptRecord({ .reason = "test" }));
  fleet.Append(announced);
  fleet.Append(Change("r1", ""));
  fleet.Append(Change("r2", ""));
  fleet.Add("a", "ikeja");
  fleet.Run(seconds(3));
  EXPECT_EQ(fleet.At("a").State().Revision(), "r1");
  EXPECT_EQ(fleet.CountOf(LogEvent::kRecordSkipped), 1);
  EXPECT_EQ(fleet.CountOf(LogEvent::kConfigAccepted), 1);
  EXPECT_EQ(fleet.CountOf(LogEvent::kConfigRejected), 1);
  EXPECT_EQ(fleet.TakeAnnouncements("a"), std::vector<NodeAnnounced>{ announced });
  EXPECT_TRUE(fleet.TakeAnnouncements("a").empty());
}

TEST(ControlFollower, StartsFromSnapshotWhenOlderRecordsHaveExpired)
{
  for (const std::uint64_t seed : Seeds()) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    ControlFleet fleet({ .seed = seed, .appendFaults = 0.3, .retention = minutes(15) });
    StartFleet(fleet);
    fleet.Run(seconds(10));
    AppendConcurrentChanges(fleet, 20);
    constexpr int kRetentions = 4;
    for (int slice = 0; slice < kRetentions * 12; ++slice) {
      fleet.Run(seconds(75));
      AppendOperatorChange(fleet);
    }
    fleet.Run(seconds(7));
    const std::string revision = fleet.Reference().Revision();
    // One snapshot in each third of the retention, plus a few for lost answers and for domains that
    // draw similar random delays.
    EXPECT_GE(fleet.SnapshotCount(), kRetentions * 2);
    EXPECT_LE(fleet.SnapshotCount(), kRetentions * 3 * 2);
    EXPECT_GE(fleet.CountOf(LogEvent::kSnapshotPublished), kRetentions);
    for (const std::string& node : fleet.Nodes()) {
      fleet.Remove(node);
    }
    fleet.Add("late", "ikeja");
    fleet.Run(seconds(5));
    EXPECT_EQ(fleet.At("late").State().Revision(), revision);
    EXPECT_EQ(fleet.FindStaleNode(seconds(2)), "");
    EXPECT_EQ(fleet.CountOf(LogEvent::kLogGap), 1);
  }
}

TEST(ControlFollower, NodeWithLogGapInstallsStateOfAPeer)
{
  // The only node with the state does not reach the log, so no snapshot is published.
  ControlFleet fleet({ .retention = minutes(30) });
  fleet.Append(Change("r1", ""));
  fleet.Add("old", "apapa");
  fleet.Run(seconds(5));
  fleet.CutFromLog({ "old" });
  fleet.Run(minutes(40));
  fleet.Append(Change("r2", "r1"));
  fleet.CutFromPeers({ "ikeja" });
  fleet.Add("young", "ikeja");
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.CountOf(LogEvent::kLogGap), 1);
  EXPECT_EQ(fleet.At("young").State().Offset(), 0U);
  fleet.CutFromPeers({});
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.At("young").State().Revision(), "r2");
  EXPECT_EQ(fleet.At("old").State().Revision(), "r2");
}

TEST(ControlFollower, IdleFleetReadsLogOnTwoNodesPerDomain)
{
  ControlFleet fleet({});
  StartFleet(fleet);
  fleet.Append(Change("r1", ""));
  fleet.Run(seconds(30));
  fleet.TakeTraffic();
  constexpr int kSeconds = 60;
  fleet.Run(seconds(kSeconds));
  const std::pair<int, int> traffic = fleet.TakeTraffic();
  EXPECT_LE(traffic.first, 2 * RelayTree::kReaders * kSeconds + 4);
  // At most one confirmation per node and second.
  EXPECT_LE(traffic.second, 2 * kNodesPerDomain * kSeconds);
}

TEST(RelayTree, EachNonReaderHasOneParent)
{
  for (const int size : { 1, 2, 3, 9, 59 }) {
    SCOPED_TRACE(size);
    std::vector<PeerAddress> members;
    members.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index) {
      members.push_back(PeerAddress({ .node = "n" + std::to_string(100 + index) }));
    }
    std::map<std::string, int> parents;
    int readers = 0;
    for (const PeerAddress& member : members) {
      RelayTree tree(member.Node());
      tree.SetMembers({ members.rbegin(), members.rend() });
      readers += tree.IsReader() ? 1 : 0;
      EXPECT_LE(tree.Children().size(), RelayTree::kFanOut);
      for (const PeerAddress& child : tree.Children()) {
        ++parents[child.Node()];
      }
    }
    EXPECT_EQ(readers, std::min(size, 2));
    EXPECT_EQ(parents.size(), static_cast<std::size_t>(std::max(size - 2, 0)));
    for (const std::pair<const std::string, int>& entry : parents) {
      EXPECT_EQ(entry.second, 1) << entry.first;
    }
  }
}

TEST(RecordHistory, ReturnsAllRecordsFromAnOffsetOrNone)
{
  RecordHistory history;
  const std::uint64_t count = RecordHistory::kMaxRecords + 10;
  for (std::uint64_t offset = 0; offset < count; ++offset) {
    history.Add(LogRecord({ .offset = offset, .record = CorruptRecord() }));
  }
  EXPECT_FALSE(history.RecordsFrom(9).has_value());
  EXPECT_EQ(history.RecordsFrom(10)->size(), RecordHistory::kMaxRecords);
  EXPECT_EQ(history.RecordsFrom(count - 1)->size(), 1U);
  EXPECT_TRUE(history.RecordsFrom(count)->empty());
  history.Reset(5000);
  EXPECT_FALSE(history.RecordsFrom(count).has_value());
  EXPECT_TRUE(history.RecordsFrom(5000)->empty());
}

} // namespace
} // namespace jackdawwind
