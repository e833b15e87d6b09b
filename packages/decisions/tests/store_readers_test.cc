// Guards against configuration changes that no node of a failure domain notices, because the nodes
// that read the platform's store for it are cut off from the store, and against a whole domain that
// reads the store at once.
#include "decisions/mesh/store_readers.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Member
AliveMember(const std::string& aNode, const std::string& aDomain)
{
  return Member({ .address = PeerAddress({ .node = aNode }),
                  .domain = aDomain,
                  .region = "lagos",
                  .state = NodeState::kAlive });
}

/// One failure domain whose nodes verify twice a second that they reach the store.
class FakeDomain
{
public:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kCheckInterval = milliseconds(500);

  explicit FakeDomain(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      const std::string name = NameOf(index);
      this->members[name] = AliveMember(name, "ikeja");
    }
    int phase = 0;
    for (const StoreReaders::Members::value_type& entry : this->members) {
      Node& node = this->nodes[entry.first];
      node.readers = std::make_unique<StoreReaders>(entry.first);
      node.readers->SetMembers(this->members);
      node.nextCheck = this->now + kStep * (++phase % (kCheckInterval / kStep));
    }
  }

  static std::string NameOf(int aIndex) { return "a" + std::to_string(1000 + aIndex); }

  void CutAllBut(const std::set<std::string>& aNodes)
  {
    for (auto& [name, node] : this->nodes) {
      node.reachesStore = aNodes.contains(name);
    }
  }

  /// Every aDropped-th message is lost; 0 for none.
  void DropEvery(std::size_t aDropped) { this->dropEvery = aDropped; }

  void Advance(Duration aTime)
  {
    for (const Time end = this->now + aTime; this->now < end;) {
      this->now += kStep;
      for (auto& [name, node] : this->nodes) {
        const StoreFollowing before = node.following;
        node.following = node.readers->Update(this->now);
        if (node.following != StoreFollowing::kNone && before == StoreFollowing::kNone) {
          this->starts.push_back(this->now);
        }
        const bool verifies = node.following == StoreFollowing::kVerifying;
        if (verifies && before != StoreFollowing::kVerifying) {
          // A read of the store ends after the step, and its end confirms the contact.
          node.nextCheck = this->now + kStep;
        }
        if (verifies && this->now >= node.nextCheck) {
          node.nextCheck = this->now + kCheckInterval;
          this->Announce(name, node);
        }
      }
    }
  }

  std::set<std::string> Following() const
  {
    std::set<std::string> names;
    for (const auto& [name, node] : this->nodes) {
      if (node.following != StoreFollowing::kNone) {
        names.insert(name);
      }
    }
    return names;
  }

  StoreFollowing FollowingOf(const std::string& aNode) const
  {
    return this->nodes.at(aNode).following;
  }

  /// Whether a node that reaches the store follows it.
  bool IsRead() const
  {
    return std::any_of(this->nodes.begin(), this->nodes.end(), [](const auto& aEntry) {
      return aEntry.second.following != StoreFollowing::kNone && aEntry.second.reachesStore;
    });
  }

  std::size_t StartCount() const { return this->starts.size(); }

private:
  struct Node
  {
    std::unique_ptr<StoreReaders> readers;
    Time nextCheck{};
    bool reachesStore = true;
    StoreFollowing following = StoreFollowing::kNone;
  };

  void Announce(const std::string& aName, const Node& aNode)
  {
    if (!aNode.reachesStore) {
      return;
    }
    for (const SendPeer& message : aNode.readers->Announce(
           StoreContact({ .sender = PeerAddress({ .node = aName }), .version = 7 }))) {
      ++this->sent;
      if (this->dropEvery == 0 || this->sent % this->dropEvery != 0) {
        this->nodes.at(message.To().Node())
          .readers->Receive(std::get<StoreContact>(message.Message()), this->now);
      }
    }
  }

  StoreReaders::Members members;
  std::map<std::string, Node> nodes;
  std::vector<Time> starts;
  std::size_t sent = 0;
  std::size_t dropEvery = 0;
  Time now = Time{} + seconds(1);
};

TEST(StoreReaders, FirstTwoAliveMembersOfEachDomainFollow)
{
  StoreReaders::Members members;
  for (const char* node : { "a1", "a2", "a3" }) {
    members[node] = AliveMember(node, "ikeja");
  }
  members["b1"] = AliveMember("b1", "apapa");
  struct Case
  {
    const char* node;
    std::size_t rank;
  };
  for (const Case& test : { Case{ "a1", 0 }, { "a2", 1 }, { "a3", 2 }, { "b1", 0 } }) {
    StoreReaders readers(test.node);
    readers.SetMembers(members);
    EXPECT_EQ(readers.Rank(), test.rank) << test.node;
  }
  StoreReaders readers("a3");
  Member::Fields fields = members.at("a1").ToFields();
  fields.state = NodeState::kSuspect;
  members["a1"] = Member(fields);
  readers.SetMembers(members);
  EXPECT_EQ(readers.Rank(), 1U);
}

TEST(StoreReaders, TwoNodesFollowWhileAllReachTheStore)
{
  FakeDomain domain(100);
  domain.Advance(seconds(20));
  EXPECT_EQ(domain.Following(), (std::set<std::string>{ "a1000", "a1001" }));
}

// Guards against a second reader whose long poll is taken for contact although its answer is lost.
TEST(StoreReaders, SecondReaderVerifiesOnlyWhileTheFirstHasNoContact)
{
  FakeDomain domain(16);
  domain.Advance(seconds(3));
  EXPECT_EQ(domain.FollowingOf("a1000"), StoreFollowing::kVerifying);
  EXPECT_EQ(domain.FollowingOf("a1001"), StoreFollowing::kPassive);
  domain.CutAllBut({ "a1001" });
  domain.Advance(StoreReaders::kContactLifetime + milliseconds(50));
  EXPECT_EQ(domain.FollowingOf("a1001"), StoreFollowing::kVerifying);
  domain.Advance(seconds(2));
  EXPECT_EQ(domain.Following(), (std::set<std::string>{ "a1000", "a1001" }));
  domain.CutAllBut({ "a1000" });
  domain.Advance(seconds(2));
  EXPECT_EQ(domain.FollowingOf("a1001"), StoreFollowing::kPassive);
  EXPECT_TRUE(domain.IsRead());
}

TEST(StoreReaders, SingleLostMessagesStartNoStandIn)
{
  FakeDomain domain(100);
  domain.Advance(seconds(3));
  const std::size_t before = domain.StartCount();
  // A prime, so that the losses wander over the receivers.
  domain.DropEvery(7);
  domain.Advance(seconds(20));
  EXPECT_EQ(domain.StartCount(), before);
}

TEST(StoreReaders, FewNodesStandInWhenAllReadersAreCutOff)
{
  FakeDomain domain(100);
  domain.Advance(seconds(3));
  const std::size_t before = domain.StartCount();
  std::set<std::string> connected;
  for (int index = static_cast<int>(kStoreReadersPerDomain); index < 100; ++index) {
    connected.insert(FakeDomain::NameOf(index));
  }
  domain.CutAllBut(connected);
  domain.Advance(milliseconds(1500));
  EXPECT_TRUE(domain.IsRead());
  domain.Advance(seconds(10));
  EXPECT_LE(domain.StartCount() - before, StoreReaders::kFirstStage);
  EXPECT_EQ(domain.Following().size(), 2 * kStoreReadersPerDomain);
}

TEST(StoreReaders, OneConnectedNodeOfAHundredFollowsInTime)
{
  // A change has to be in force 2 s after its acknowledgement, which may come 0.3 s after the cut;
  // a read and the gossip of the change take less than a quarter of a second.
  constexpr Duration kBound = milliseconds(2050);
  for (int index : { 2, 3, 5, 6, 13, 14, 29, 61, 62, 99 }) {
    FakeDomain domain(100);
    domain.Advance(seconds(3));
    domain.CutAllBut({ FakeDomain::NameOf(index) });
    domain.Advance(kBound);
    EXPECT_TRUE(domain.IsRead()) << "connected node " << index;
  }
}

TEST(StoreReaders, StandInsStopWhenAReaderIsInContactAgain)
{
  FakeDomain domain(16);
  domain.Advance(seconds(3));
  domain.CutAllBut({ "a1007" });
  domain.Advance(seconds(4));
  EXPECT_TRUE(domain.IsRead());
  domain.CutAllBut({ "a1000", "a1007" });
  domain.Advance(seconds(2));
  EXPECT_EQ(domain.Following(), (std::set<std::string>{ "a1000", "a1001" }));
}

TEST(StoreReaders, ContactsOfOtherDomainsDoNotCount)
{
  StoreReaders::Members members;
  for (const char* node : { "a1", "a2", "a3" }) {
    members[node] = AliveMember(node, "ikeja");
  }
  members["b1"] = AliveMember("b1", "apapa");
  StoreReaders readers("a3");
  readers.SetMembers(members);
  const Time start = Time{} + seconds(1);
  readers.Receive(StoreContact({ .sender = PeerAddress({ .node = "a1" }) }), start);
  EXPECT_EQ(readers.Update(start), StoreFollowing::kNone);
  readers.Receive(StoreContact({ .sender = PeerAddress({ .node = "b1" }) }),
                  start + milliseconds(600));
  EXPECT_EQ(readers.NextWake(), start + StoreReaders::kContactLifetime);
  EXPECT_EQ(readers.Update(readers.NextWake()), StoreFollowing::kVerifying);
}

} // namespace
} // namespace jackdawwind
