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

} // namespace
} // namespace jackdawwind
