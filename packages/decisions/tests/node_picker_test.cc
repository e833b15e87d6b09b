// Guards against load that is not seen until it is reported: many nodes send to targets with few
// slots, and a target that looks empty to all of them is overrun.
#include "decisions/mesh/node_picker.h"

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

const std::set<std::string> kNoneTried;
const std::string kService = "fuel";

NodePicker::Members
MakeMembers(int aOwnDomain, int aOtherDomain)
{
  NodePicker::Members members;
  for (int index = 0; index < aOwnDomain + aOtherDomain; ++index) {
    const std::string node = "n" + std::to_string(100 + index);
    members[node] = Member({ .address = PeerAddress({ .node = node, .host = "10.0.0.1" }),
                             .domain = index < aOwnDomain ? "ikeja" : "apapa",
                             .region = "lagos",
                             .service = kService,
                             .targetState = TargetState::kReady,
                             .state = NodeState::kAlive });
  }
  return members;
}

class NodePickerTest : public testing::Test
{
protected:
  std::string Pick()
  {
    const std::optional<PeerAddress> peer =
      this->picker.Pick({ .service = kService, .tried = kNoneTried }, this->now);
    return peer ? peer->Node() : "";
  }

  /// Sends aCount requests that are not answered; returns the number sent to each node.
  std::map<std::string, int> Send(int aCount)
  {
    std::map<std::string, int> sent;
    for (int index = 0; index < aCount; ++index) {
      const std::string node = this->Pick();
      this->picker.NoteSent(node);
      ++sent[node];
    }
    return sent;
  }

  NodePicker picker{ { .node = "n0", .domain = "ikeja", .region = "lagos" }, 1 };
  Time now{ std::chrono::seconds(10) };
};

TEST_F(NodePickerTest, UnreportedRequestsCountByTheSlotsOfTheTarget)
{
  const NodePicker::Members members = MakeMembers(2, 2);
  this->picker.SetMembers(members);
  for (const NodePicker::Members::value_type& member : members) {
    this->picker.NoteSent(member.first);
    this->picker.NoteAnswer(member.first, { .perMille = 0, .slots = 7 }, this->now);
  }
  // The two near targets have fourteen slots; beyond three quarters of them the next domain is
  // better. Counted as a fiftieth of a target each, all requests would stay near.
  const std::map<std::string, int> sent = this->Send(20);
  EXPECT_LE(sent.at("n100"), 7);
  EXPECT_LE(sent.at("n101"), 7);
  EXPECT_GE(sent.at("n102") + sent.at("n103"), 6);
}

TEST_F(NodePickerTest, KeepsToTheOwnDomainWhileItHasRoom)
{
  this->picker.SetMembers(MakeMembers(2, 2));
  for (const std::pair<const std::string, int>& entry : this->Send(20)) {
    EXPECT_LT(entry.first, "n102");
  }
}

TEST_F(NodePickerTest, FollowsTheMembers)
{
  NodePicker::Members members = MakeMembers(1, 1);
  EXPECT_EQ(this->Pick(), "");
  this->picker.SetMembers(members);
  EXPECT_EQ(this->Pick(), "n100");
  Member::Fields fields = members.at("n100").ToFields();
  fields.state = NodeState::kSuspect;
  members["n100"] = Member(fields);
  this->picker.SetMembers(members);
  EXPECT_EQ(this->Pick(), "n101");
  members.erase("n101");
  this->picker.SetMembers(members);
  EXPECT_EQ(this->Pick(), "n100") << "a suspect is used if there is no other";
  fields.targetState = TargetState::kDraining;
  members["n100"] = Member(fields);
  this->picker.SetMembers(members);
  EXPECT_EQ(this->Pick(), "");
}

TEST_F(NodePickerTest, AvoidsAFailedNodeUntilItIsForgotten)
{
  this->picker.SetMembers(MakeMembers(1, 1));
  this->picker.NoteSent("n100");
  this->picker.NoteFailure("n100", this->now);
  EXPECT_EQ(this->Pick(), "n101");
  this->picker.Forget("n100"); // a new process has started there
  EXPECT_EQ(this->Pick(), "n100");
}

TEST_F(NodePickerTest, PicksWithoutAPolicyAreThoseOfEarlierVersions)
{
  NodePicker::Members members = MakeMembers(3, 3);
  NodePicker seeded({ .node = "n0", .domain = "ikeja", .region = "lagos" }, 7);
  seeded.SetMembers(members);
  std::string picks;
  for (std::uint32_t index = 0; index < 60; ++index) {
    const std::uint64_t bodyBytes = std::uint64_t{ 100 } * index;
    const std::string node =
      seeded.Pick({ .service = kService, .tried = kNoneTried, .bodyBytes = bodyBytes }, this->now)
        ->Node();
    picks += node.back();
    seeded.NoteSent(node);
    if (index % 3 != 0) {
      seeded.NoteAnswer(node,
                        { .perMille = index * 17 % 1200,
                          .slots = 5,
                          .route = "read",
                          .expectedTime = std::chrono::milliseconds(index) },
                        this->now);
    }
    this->now += std::chrono::milliseconds(40);
  }
  // Picks of the version before policies existed, for the same calls.
  EXPECT_EQ(picks, "221100022122200022122200020012122234553453354544423102530243");
}

/// Picks with a policy: n100 and n101 at home, n102 and n103 in the next domain.
class PolicyPickerTest : public NodePickerTest
{
protected:
  PolicyPickerTest()
  {
    this->picker = NodePicker({ .node = "n0",
                                .domain = "ikeja",
                                .region = "lagos",
                                .policy = RegionPolicy({ .region = "lagos" }) },
                              1);
    this->picker.SetShortestObjective(std::chrono::milliseconds(800));
    this->picker.SetMembers(MakeMembers(2, 2));
  }

  void Answer(const std::string& aNode, int aMilliseconds, std::uint32_t aPerMille = 500)
  {
    this->picker.NoteAnswer(aNode,
                            { .perMille = aPerMille,
                              .slots = 10,
                              .route = "read",
                              .expectedTime = std::chrono::milliseconds(aMilliseconds) },
                            this->now);
  }

  std::string PickRead(const std::set<std::string>& aTried = kNoneTried, bool aNested = false)
  {
    const std::optional<PeerAddress> peer = this->picker.Pick(
      { .service = kService, .tried = aTried, .route = "read", .nested = aNested }, this->now);
    return peer ? peer->Node() : "";
  }

  std::string LeftLabel()
  {
    Effects effects;
    this->picker.Poll(this->now, effects);
    for (const Effect& effect : effects) {
      const MetricUpdated* update = std::get_if<MetricUpdated>(&effect);
      if (update != nullptr && update->GetMetric() == Metric::kOverflowRequests) {
        return update->Label();
      }
    }
    return "";
  }
};

TEST_F(PolicyPickerTest, PrefersTheFasterTargetAtHomeAndStaysThere)
{
  this->Answer("n100", 200);
  this->Answer("n101", 150);
  this->Answer("n102", 50);
  this->Answer("n103", 50);
  EXPECT_EQ(this->PickRead(), "n101");
  EXPECT_EQ(this->LeftLabel(), "") << "a gain alone moves the share, not the request";
}

TEST_F(PolicyPickerTest, ASlowTargetGetsOneRequestAtATime)
{
  // All others look worse, but a second request to the slow target would be a second victim.
  this->Answer("n100", 1000);
  this->Answer("n101", 100, 9000);
  this->Answer("n102", 100, 9000);
  this->Answer("n103", 100, 9000);
  EXPECT_EQ(this->PickRead(), "n100");
  this->picker.NoteSent("n100");
  EXPECT_EQ(this->PickRead(), "n101");
}

TEST_F(PolicyPickerTest, RequestsThatWouldFailAtHomeLeaveAtOnce)
{
  EXPECT_GE(this->PickRead({ "n100", "n101" }), "n102");
  EXPECT_EQ(this->LeftLabel(), "own_region/refused");
  this->picker.NoteFailure("n100", this->now);
  this->picker.NoteFailure("n101", this->now);
  EXPECT_GE(this->PickRead(), "n102");
  EXPECT_EQ(this->LeftLabel(), "own_region/no_target");
  this->picker.NoteFailure("n102", this->now);
  this->picker.NoteFailure("n103", this->now);
  EXPECT_NE(this->PickRead(), "") << "failed nodes are used if there is no other";
}

TEST_F(PolicyPickerTest, NestedCallsLeaveForAGain)
{
  this->Answer("n100", 500);
  this->Answer("n101", 500);
  this->Answer("n102", 400);
  EXPECT_EQ(this->PickRead(kNoneTried, true), "n102");
  EXPECT_EQ(this->LeftLabel(), "own_region/urgent");
  this->Answer("n100", 430);
  EXPECT_EQ(this->PickRead(kNoneTried, true), "n100") << "under a twentieth of the objective";
}

} // namespace
} // namespace jackdawwind
