// Guards against wrong merges: dead nodes revived by delayed records, running nodes declared dead
// when a partition heals, and equal tables with different hashes.
#include "decisions/membership/membership.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Time kStart{ seconds(100) };

PeerAddress
AddressOf(const std::string& aNode)
{
  return PeerAddress({ .node = aNode, .host = aNode });
}

Member
Record(const std::string& aNode,
       std::uint64_t aIncarnation,
       std::uint64_t aVersion,
       NodeState aState = NodeState::kAlive)
{
  return Member({ .address = AddressOf(aNode),
                  .incarnation = aIncarnation,
                  .version = aVersion,
                  .domain = "ikeja",
                  .region = "lagos",
                  .state = aState });
}

TEST(MemberTable, MergesByIncarnationThenVersionThenState)
{
  struct Case
  {
    const char* name;
    Member known;
    Member received;
    Member expected;
  };
  const Member known = Record("a", 5, 3);
  const Member suspect = Record("a", 5, 3, NodeState::kSuspect);
  const Member leaving = Record("a", 5, 3, NodeState::kLeaving);
  const Member dead = Record("a", 5, 3, NodeState::kDead);
  const Member restarted = Record("a", 6, 0);
  const Member refuted = Record("a", 5, 4);
  const Member old = Record("a", 4, 9);
  const Member oldDeath = Record("a", 4, 9, NodeState::kDead);
  const Member laterDeath = Record("a", 6, 0, NodeState::kDead);
  const Case cases[] = {
    { "same", known, known, known },
    { "suspicion of the same version", known, suspect, suspect },
    { "suspicion of an older version", refuted, suspect, refuted },
    { "refutation", suspect, refuted, refuted },
    { "no refutation by the same version", suspect, known, suspect },
    { "suspicion of a leaving node", leaving, suspect, leaving },
    { "unconfirmed death of a suspect", suspect, dead, suspect },
    { "death of a leaving node", leaving, dead, dead },
    { "unconfirmed death of an alive node", known, dead, known },
    { "death of a later process", known, laterDeath, laterDeath },
    { "death of an earlier process", known, oldDeath, known },
    { "refutation by a dead node", dead, refuted, refuted },
    { "restart", dead, restarted, restarted },
    { "older incarnation of a dead node", dead, old, dead },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    MemberTable table;
    table.Put(testCase.known);
    const bool changes = testCase.expected != testCase.known;
    EXPECT_EQ(table.Merge(testCase.received).has_value(), changes);
    EXPECT_EQ(*table.Find("a"), testCase.expected);
    EXPECT_FALSE(table.Merge(testCase.received).has_value()) << "merged twice";
  }
}

TEST(MemberTable, TombstoneIgnoresAllButNewerLiveRecords)
{
  MemberTable table;
  table.Put(Record("a", 5, 3, NodeState::kDead));
  table.Forget("a", kStart + minutes(10));
  const Member late = Record("a", 5, 3);
  EXPECT_FALSE(table.Merge(late).has_value());
  EXPECT_FALSE(table.Merge(Record("b", 1, 0, NodeState::kDead)).has_value());
  // A peer whose table still has the node alive receives the death from the tombstone.
  EXPECT_EQ(table.NewerThan({ late }), std::vector<Member>{ Record("a", 5, 3, NodeState::kDead) });
  EXPECT_TRUE(table.Merge(Record("a", 5, 4)).has_value());

  table.Put(Record("c", 5, 3, NodeState::kDead));
  table.Forget("c", kStart);
  table.ExpireTombstones(kStart);
  EXPECT_TRUE(table.Merge(Record("c", 5, 3)).has_value());
}

TEST(MemberTable, HashCoversOnlyLiveMembers)
{
  Random random(1);
  std::vector<Member> records;
  for (int node = 0; node < 30; ++node) {
    for (std::uint64_t version = 0; version < 3; ++version) {
      records.push_back(Record("n" + std::to_string(node), 1, version));
    }
  }
  MemberTable inOrder;
  for (const Member& record : records) {
    inOrder.Merge(record);
  }
  for (int round = 0; round < 10; ++round) {
    for (std::size_t left = records.size(); left > 1; --left) {
      std::swap(records[left - 1], records[random.Below(left)]);
    }
    MemberTable shuffled;
    for (const Member& record : records) {
      shuffled.Merge(record);
    }
    EXPECT_EQ(shuffled.Hash(), inOrder.Hash());
    EXPECT_EQ(shuffled.LiveCount(), 30U);
  }
  const std::uint64_t hash = inOrder.Hash();
  inOrder.Put(Record("late", 1, 0));
  EXPECT_NE(inOrder.Hash(), hash);
  inOrder.Put(Record("late", 1, 0, NodeState::kDead));
  EXPECT_EQ(inOrder.Hash(), hash);
  inOrder.Forget("late", kStart);
  EXPECT_EQ(inOrder.Hash(), hash);
}

TEST(ChangeQueue, SendsEachChangeABoundedNumberOfTimes)
{
  ChangeQueue queue;
  std::map<std::string, int> sent;
  for (int node = 0; node < 10; ++node) {
    queue.Add("n" + std::to_string(node));
  }
  while (!queue.Empty()) {
    const std::vector<std::string> taken = queue.Take(3, 4);
    ASSERT_LE(taken.size(), 3U);
    for (const std::string& node : taken) {
      ++sent[node];
    }
  }
  for (const std::pair<const std::string, int>& entry : sent) {
    EXPECT_EQ(entry.second, 4) << entry.first;
  }
  EXPECT_EQ(sent.size(), 10U);
}

/// A single node; the test sends the messages of its peers.
class MembershipRules : public ::testing::Test
{
protected:
  MembershipRules()
    : member({ .self = Record("self", 7, 0), .seeds = { AddressOf("seed") } }, 1)
  {
    this->member.Start(this->now, this->effects);
    this->effects.clear();
  }

  void PollUntil(Time aTime)
  {
    while (this->member.NextWake() <= aTime) {
      this->now = std::max(this->now, this->member.NextWake());
      this->member.Poll(this->now, this->effects);
    }
    this->now = aTime;
  }

  /// Messages of a type sent since the last call.
  template<typename T>
  std::vector<T> Sent()
  {
    std::vector<T> found;
    for (const Effect& effect : this->effects) {
      const SendPeer* sent = std::get_if<SendPeer>(&effect);
      if (sent != nullptr && std::holds_alternative<T>(sent->Message())) {
        found.push_back(std::get<T>(sent->Message()));
      }
    }
    this->effects.clear();
    return found;
  }

  /// Delivers a full exchange with these records.
  void ReceiveMembers(const std::vector<Member>& aMembers)
  {
    this->member.Receive(
      MemberSync({ .sender = AddressOf("seed"), .members = aMembers }), this->now, this->effects);
  }

  Member SelfRecord() const { return this->member.Members().at("self"); }

  Time now = kStart;
  Effects effects;
  Membership member;
};

TEST_F(MembershipRules, RefutesOnlyRecordsOfItsOwnIncarnation)
{
  struct Case
  {
    const char* name;
    Member memberRecord;
    bool refuted;
  };
  const Case cases[] = {
    { "suspect", Record("self", 7, 0, NodeState::kSuspect), true },
    { "dead with a higher version", Record("self", 7, 9, NodeState::kDead), true },
    { "already refuted", Record("self", 7, 2, NodeState::kSuspect), false },
    { "earlier process", Record("self", 6, 99, NodeState::kDead), false },
    { "later process", Record("self", 8, 0, NodeState::kDead), false },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    const std::uint64_t before = this->SelfRecord().Version();
    this->effects.clear();
    this->ReceiveMembers({ testCase.memberRecord });
    EXPECT_EQ(this->SelfRecord().State(), NodeState::kAlive);
    EXPECT_EQ(this->SelfRecord().Version() > before, testCase.refuted);
    if (testCase.refuted) {
      EXPECT_TRUE(Supersedes(this->SelfRecord(), testCase.memberRecord));
      ASSERT_EQ(this->effects.size(), 1U);
      EXPECT_EQ(std::get<LogLine>(this->effects[0]).GetEvent(), LogEvent::kSuspicionRefuted);
    }
  }
}

TEST_F(MembershipRules, SyncsAfterTwoHashMismatchesAtMostOnceInFiveSeconds)
{
  this->now += seconds(10); // past the join, in which one mismatch is enough
  this->ReceiveMembers({ Record("a", 1, 0), Record("b", 1, 0) });
  const auto receiveAck = [this](const std::string& aNode, std::uint64_t aHash) {
    this->effects.clear();
    this->member.Receive(ProbeAck({ .sequence = 9999, .subject = aNode, .tableHash = aHash }),
                         this->now,
                         this->effects);
    return this->Sent<MemberSync>().size();
  };
  MemberTable same;
  for (const std::pair<const std::string, Member>& entry : this->member.Members()) {
    same.Put(entry.second);
  }
  EXPECT_EQ(receiveAck("a", 1), 0U);
  EXPECT_EQ(receiveAck("b", 1), 0U);
  EXPECT_EQ(receiveAck("b", same.Hash()), 0U);
  EXPECT_EQ(receiveAck("b", 1), 0U) << "the hashes in between were equal";
  EXPECT_EQ(receiveAck("a", 1), 1U);
  EXPECT_EQ(receiveAck("b", 1), 0U);
  this->now += milliseconds(4900);
  EXPECT_EQ(receiveAck("b", 1), 0U);
  this->now += milliseconds(200);
  EXPECT_EQ(receiveAck("b", 1), 1U);
}

TEST_F(MembershipRules, SyncsAfterOneHashMismatchWhenNothingHasChangedForThreeSeconds)
{
  // Guards against tables that stay different in a large fleet, where a node meets the same peer
  // only every few minutes.
  this->now += seconds(10);
  this->ReceiveMembers({ Record("a", 1, 0), Record("b", 1, 0) });
  const auto syncsAfterAck = [this](const std::string& aNode) {
    this->effects.clear();
    this->member.Receive(
      ProbeAck({ .sequence = 9999, .subject = aNode, .tableHash = 1 }), this->now, this->effects);
    return this->Sent<MemberSync>().size();
  };
  this->now += milliseconds(2900);
  EXPECT_EQ(syncsAfterAck("a"), 0U);
  this->now += milliseconds(200);
  EXPECT_EQ(syncsAfterAck("b"), 1U);
}

TEST_F(MembershipRules, UnansweredProbeLeadsToIndirectProbesSuspicionAndDeath)
{
  this->ReceiveMembers({ Record("a", 1, 0) });
  // No probe is answered, and no other member is in the table that could probe indirectly.
  this->PollUntil(kStart + milliseconds(2100));
  EXPECT_EQ(this->member.Members().at("a").State(), NodeState::kSuspect);
  this->PollUntil(kStart + milliseconds(6200));
  EXPECT_EQ(this->member.Members().at("a").State(), NodeState::kDead);
  this->PollUntil(kStart + seconds(67));
  EXPECT_FALSE(this->member.Members().contains("a"));

  this->ReceiveMembers({ Record("b", 1, 0), Record("c", 1, 0), Record("d", 1, 0) });
  this->effects.clear();
  this->PollUntil(this->now + milliseconds(1400));
  const std::vector<ProbeRequest> requests = this->Sent<ProbeRequest>();
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].Subject(), requests[1].Subject());
}

TEST_F(MembershipRules, ForwardsDeathReportToTheReportedNode)
{
  this->ReceiveMembers({ Record("a", 1, 0), Record("b", 1, 0) });
  const Member memberRecord = Record("b", 1, 0, NodeState::kDead);
  this->ReceiveMembers({ memberRecord });
  EXPECT_EQ(this->member.Members().at("b").State(), NodeState::kAlive);
  this->effects.clear();
  this->PollUntil(this->now + seconds(1));
  const std::vector<Probe> probes = this->Sent<Probe>();
  ASSERT_FALSE(probes.empty());
  EXPECT_EQ(std::count(probes[0].Changes().begin(), probes[0].Changes().end(), memberRecord), 1);
  // Without an acknowledgement it becomes suspect like any other member.
  this->PollUntil(this->now + seconds(2));
  EXPECT_EQ(this->member.Members().at("b").State(), NodeState::kSuspect);
}

TEST_F(MembershipRules, ReturnsIndirectProbeAckToTheRequester)
{
  this->member.Receive(
    ProbeRequest({ .sequence = 41, .subject = AddressOf("b"), .sender = AddressOf("a") }),
    this->now,
    this->effects);
  const std::vector<Probe> probes = this->Sent<Probe>();
  ASSERT_EQ(probes.size(), 1U);
  EXPECT_EQ(probes[0].OnBehalfOf(), "a");
  this->member.Receive(
    ProbeAck({ .sequence = probes[0].Sequence(), .subject = "b" }), this->now, this->effects);
  const std::vector<ProbeAck> acks = this->Sent<ProbeAck>();
  ASSERT_EQ(acks.size(), 1U);
  EXPECT_EQ(acks[0].Sequence(), 41U);
  EXPECT_EQ(acks[0].Subject(), "b");
}

TEST_F(MembershipRules, PauseRestartsProbeAndSuspicionTimers)
{
  this->ReceiveMembers({ Record("a", 1, 0), Record("b", 1, 0, NodeState::kSuspect) });
  this->PollUntil(kStart + milliseconds(1100)); // a probe is in flight
  this->now += seconds(30);
  this->member.Poll(this->now, this->effects);
  EXPECT_EQ(this->member.Members().at("a").State(), NodeState::kAlive);
  EXPECT_EQ(this->member.Members().at("b").State(), NodeState::kSuspect);
  this->ReceiveMembers({ Record("b", 1, 1) }); // a refutation that was still unread
  EXPECT_EQ(this->member.Members().at("b").State(), NodeState::kAlive);
}

TEST_F(MembershipRules, LogsEachChangeOnceAndForgetsPeers)
{
  struct Case
  {
    const char* name;
    Member received;
    std::vector<LogEvent> events;
    bool forgetPeer;
    Duration wait{};
  };
  const Case cases[] = {
    { "new", Record("a", 1, 0), { LogEvent::kMemberJoined }, false },
    { "again", Record("a", 1, 0), {}, false },
    { "target changed", Record("a", 1, 1), {}, false },
    { "claimed dead", Record("a", 1, 1, NodeState::kDead), {}, false },
    { "suspect", Record("a", 1, 1, NodeState::kSuspect), { LogEvent::kMemberSuspected }, false },
    { "dead", Record("a", 1, 1), { LogEvent::kMemberDied }, true, seconds(5) },
    { "refuted", Record("a", 1, 2), { LogEvent::kMemberJoined }, false },
    { "restarted", Record("a", 2, 0), { LogEvent::kMemberJoined }, true },
    { "leaving", Record("a", 2, 1, NodeState::kLeaving), { LogEvent::kMemberLeft }, true },
    { "ended", Record("a", 2, 1, NodeState::kDead), {}, true },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    this->effects.clear();
    this->ReceiveMembers({ testCase.received });
    this->PollUntil(this->now + testCase.wait);
    std::vector<LogEvent> events;
    bool forgetsPeer = false;
    for (const Effect& effect : this->effects) {
      if (const LogLine* line = std::get_if<LogLine>(&effect)) {
        events.push_back(line->GetEvent());
      }
      forgetsPeer = forgetsPeer || std::holds_alternative<ForgetPeer>(effect);
    }
    EXPECT_EQ(events, testCase.events);
    EXPECT_EQ(forgetsPeer, testCase.forgetPeer);
  }
}

TEST(ProbeRing, ProbesOwnDomainMoreOftenAndEveryMemberInEachRound)
{
  std::vector<Member> members;
  for (int node = 0; node < 40; ++node) {
    Member::Fields fields = Record("n" + std::to_string(node), 1, 0).ToFields();
    fields.domain = node < 20 ? "ikeja" : "bompai";
    members.push_back(Member(fields));
  }
  MemberTable table;
  for (const Member& record : members) {
    table.Put(record);
  }
  ProbeRing ring("n0", "ikeja");
  Random random(1);
  std::map<std::string, int> probed;
  for (int turn = 0; turn < 160; ++turn) {
    ++probed[*ring.Next(table, random)];
  }
  int own = 0;
  for (const Member& record : members) {
    const std::string& node = record.Address().Node();
    const bool inDomain = record.GetDomain() == "ikeja";
    own += inDomain ? probed[node] : 0;
    EXPECT_GE(probed[node], node == "n0" ? 0 : 2) << node;
  }
  EXPECT_EQ(own, 120);
  EXPECT_FALSE(probed.contains("n0") && probed["n0"] > 0);
}

} // namespace
} // namespace jackdawwind
