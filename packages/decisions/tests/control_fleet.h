// Fake log and fake network of ControlFollower instances in simulated time.
//
//   ControlFleet fleet({ .seed = 7, .loss = 0.05 });
//   fleet.Add("a1", "ikeja");
//   fleet.Append(change);
//   fleet.Run(std::chrono::seconds(10));
//
// After every step it compares the state of the node with the state that the whole log gives at the
// same offset. Messages of membership are stood in for by offsets exchanged once per second.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/config/control_follower.h"
#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class ControlFleet
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    double loss = 0;
    /// Part of the appends whose answer is lost, and of those that are not taken.
    double lostAnswers = 0;
    Duration retention = std::chrono::hours(24);
  };

  explicit ControlFleet(Options aOptions)
    : options(aOptions)
    , random(aOptions.seed)
  {
    this->expected[0] = ControlState().ToSnapshot();
  }

  void Add(const std::string& aNode, const std::string& aDomain)
  {
    Node& node = this->nodes[aNode];
    node.address = PeerAddress({ .node = aNode, .host = "10.0.0.1" });
    node.domain = aDomain;
    ControlFollower::Options followerOptions{ .self = node.address,
                                              .retention = this->options.retention };
    node.follower = std::make_unique<ControlFollower>(
      followerOptions, node.tickets, this->random.Below(1U << 30U));
    this->Act(aNode, [](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.Start(aNow, aEffects);
    });
    this->After(this->RandomDelay(), [this, aNode] { this->Gossip(aNode); });
    this->UpdateMembers(aDomain);
  }

  /// The process ends; the others of its domain notice at once.
  void Remove(const std::string& aNode)
  {
    const std::string domain = this->nodes.at(aNode).domain;
    this->nodes.erase(aNode);
    this->UpdateMembers(domain);
  }

  /// Appends as an operator does; returns the offset.
  std::uint64_t Append(const Record& aRecord)
  {
    const std::uint64_t offset = this->end++;
    this->log.push_back({ LogRecord({ .offset = offset, .record = aRecord }), this->now });
    this->reference.Apply(this->log.back().record);
    this->expected[this->end] = this->reference.ToSnapshot();
    if (std::holds_alternative<ConfigSnapshot>(aRecord)) {
      ++this->snapshotCount;
    } else {
      this->changesEnd = this->end;
    }
    return offset;
  }

  /// Nodes that do not reach the log; "*" for all.
  void CutFromLog(std::set<std::string> aNodes) { this->noLog = std::move(aNodes); }
  /// Domains whose nodes reach no other domain.
  void CutFromPeers(std::set<std::string> aDomains) { this->noPeers = std::move(aDomains); }
  void Freeze(const std::string& aNode) { this->nodes.at(aNode).frozen = true; }
  void Wake(const std::string& aNode)
  {
    Node& node = this->nodes.at(aNode);
    node.frozen = false;
    this->Poll(aNode);
    for (const Action& action : std::exchange(node.waiting, {})) {
      this->Act(aNode, action);
    }
  }

  void Run(Duration aTime)
  {
    const Time until = this->now + aTime;
    while (!this->agenda.empty() && this->agenda.top().at <= until) {
      const Step step = this->agenda.top();
      this->agenda.pop();
      this->now = step.at;
      (*step.run)();
    }
    this->now = until;
  }

  Random& GetRandom() { return this->random; }
  Time Now() const { return this->now; }
  std::uint64_t LogEnd() const { return this->end; }
  const ControlState& Reference() const { return this->reference; }
  const ControlFollower& At(const std::string& aNode) const
  {
    return *this->nodes.at(aNode).follower;
  }
  std::vector<std::string> Nodes() const
  {
    std::vector<std::string> names;
    for (const std::pair<const std::string, Node>& entry : this->nodes) {
      names.push_back(entry.first);
    }
    return names;
  }
  int CountOf(LogEvent aEvent) const
  {
    const std::map<LogEvent, int>::const_iterator found = this->logLines.find(aEvent);
    return found == this->logLines.end() ? 0 : found->second;
  }
  std::vector<NodeAnnounced> TakeAnnouncements(const std::string& aNode)
  {
    return this->nodes.at(aNode).follower->TakeAnnouncements();
  }
  /// Log reads and control messages since the last call.
  std::pair<int, int> TakeTraffic() { return std::exchange(this->traffic, {}); }

  /// Snapshots appended so far.
  int SnapshotCount() const { return this->snapshotCount; }

  /// Why not every node has all records but snapshots, and recent news; empty when all have. A node
  /// may publish a snapshot at any moment.
  std::string Stale(Duration aNewsAge) const
  {
    for (const auto& [name, node] : this->nodes) {
      if (node.follower->State().Offset() < this->changesEnd) {
        return name + " is at offset " + std::to_string(node.follower->State().Offset()) + " of " +
               std::to_string(this->changesEnd);
      }
      if (node.follower->NewsAge(this->now) > aNewsAge) {
        return name + " has old news";
      }
    }
    return "";
  }

private:
  using Action = std::function<void(ControlFollower&, Time, Effects&)>;

  struct Node
  {
    PeerAddress address;
    std::string domain;
    TicketSource tickets;
    std::unique_ptr<ControlFollower> follower;
    bool frozen = false;
    std::vector<Action> waiting;
    Time wakeAt = Time::max();
    /// Counts the FollowLog and StopFollowing effects; older reads end.
    int followRun = 0;
    bool following = false;
  };
  struct Kept
  {
    LogRecord record;
    Time at{};
  };
  struct Step
  {
    Time at{};
    std::uint64_t order = 0;
    std::shared_ptr<const std::function<void()>> run;
    bool operator<(const Step& aOther) const
    {
      return std::pair(this->at, this->order) > std::pair(aOther.at, aOther.order);
    }
  };

  void After(Duration aDelay, std::function<void()> aRun)
  {
    this->agenda.push({ this->now + aDelay,
                        ++this->lastOrder,
                        std::make_shared<const std::function<void()>>(std::move(aRun)) });
  }

  Duration RandomDelay()
  {
    constexpr std::uint64_t kLongestUs = 20000;
    return Duration(static_cast<Duration::rep>(1000 + this->random.Below(kLongestUs)));
  }

  void UpdateMembers(const std::string& aDomain)
  {
    std::vector<PeerAddress> members;
    for (const auto& [name, node] : this->nodes) {
      if (node.domain == aDomain) {
        members.push_back(node.address);
      }
    }
    for (const PeerAddress& member : members) {
      this->Arrive(member.Node(),
                   [members](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
                     aFollower.SetDomainMembers(members, aNow, aEffects);
                   });
    }
  }

  /// Runs at the node, or waits while it is frozen.
  void Arrive(const std::string& aNode, const Action& aAction)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end()) {
      return;
    }
    if (found->second.frozen) {
      found->second.waiting.push_back(aAction);
    } else {
      this->Act(aNode, aAction);
    }
  }

  void Act(const std::string& aNode, const Action& aAction)
  {
    Node& node = this->nodes.at(aNode);
    const std::uint64_t offsetBefore = node.follower->State().Offset();
    Effects effects;
    aAction(*node.follower, this->now, effects);
    this->CheckState(aNode, offsetBefore);
    for (const Effect& effect : effects) {
      this->Perform(aNode, effect);
    }
    const Time wake = node.follower->NextWake();
    if (wake < node.wakeAt) {
      node.wakeAt = wake;
      this->After(wake - this->now, [this, aNode] { this->Poll(aNode); });
    }
  }

  void Poll(const std::string& aNode)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end() || found->second.frozen) {
      return;
    }
    found->second.wakeAt = Time::max();
    this->Act(aNode, [](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.Poll(aNow, aEffects);
    });
  }

  void CheckState(const std::string& aNode, std::uint64_t aOffsetBefore)
  {
    const ControlState& state = this->nodes.at(aNode).follower->State();
    ASSERT_GE(state.Offset(), aOffsetBefore) << aNode << " went back";
    if (state.Offset() != aOffsetBefore) {
      ASSERT_EQ(state.ToSnapshot(), this->expected.at(state.Offset())) << aNode;
    }
  }

  void Perform(const std::string& aNode, const Effect& aEffect)
  {
    Node& node = this->nodes.at(aNode);
    if (const SendPeer* sent = std::get_if<SendPeer>(&aEffect)) {
      this->Send(aNode, *sent);
    } else if (const FollowLog* follow = std::get_if<FollowLog>(&aEffect)) {
      node.following = true;
      this->ReadLater(aNode, ++node.followRun, follow->From(), this->now);
    } else if (std::holds_alternative<StopFollowing>(aEffect)) {
      node.following = false;
      ++node.followRun;
    } else if (const AppendLog* append = std::get_if<AppendLog>(&aEffect)) {
      this->AppendFrom(aNode, *append);
    } else if (const LogLine* line = std::get_if<LogLine>(&aEffect)) {
      ++this->logLines[line->GetEvent()];
    }
  }

  bool Connected(const Node& aLeft, const Node& aRight) const
  {
    return aLeft.domain == aRight.domain ||
           (!this->noPeers.contains(aLeft.domain) && !this->noPeers.contains(aRight.domain));
  }

  bool ReachesLog(const std::string& aNode) const
  {
    return !this->noLog.contains("*") && !this->noLog.contains(aNode);
  }

  void Send(const std::string& aFrom, const SendPeer& aSent)
  {
    ++this->traffic.second;
    const std::string to = aSent.To().Node();
    const std::map<std::string, Node>::const_iterator found = this->nodes.find(to);
    if (found == this->nodes.end() || !this->Connected(this->nodes.at(aFrom), found->second) ||
        this->random.Fraction() < this->options.loss) {
      return;
    }
    const PeerMessage message = aSent.Message();
    this->After(this->RandomDelay(), [this, to, message] {
      this->Arrive(to, [message](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
        if (const ConfigWant* want = std::get_if<ConfigWant>(&message)) {
          aFollower.Receive(*want, aNow, aEffects);
        } else if (const ConfigRelay* relay = std::get_if<ConfigRelay>(&message)) {
          aFollower.Receive(*relay, aNow, aEffects);
        }
      });
    });
  }

  /// Reads every 50 ms and reports records at once, their absence once per second.
  void ReadLater(const std::string& aNode, int aRun, std::uint64_t aFrom, Time aLastReport)
  {
    this->After(std::chrono::milliseconds(50), [this, aNode, aRun, aFrom, aLastReport] {
      this->Read(aNode, aRun, aFrom, aLastReport);
    });
  }

  void Read(const std::string& aNode, int aRun, std::uint64_t aFrom, Time aLastReport)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end() || found->second.followRun != aRun) {
      return;
    }
    while (!this->log.empty() && this->now - this->log.front().at > this->options.retention) {
      this->log.pop_front();
    }
    const bool quiet = this->now - aLastReport < std::chrono::seconds(1);
    if (!this->ReachesLog(aNode)) {
      if (!quiet) {
        this->Arrive(aNode, [](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
          aFollower.Receive(LogReadFailed({ .stream = kControlStream }), aNow, aEffects);
        });
      }
      this->ReadLater(aNode, aRun, aFrom, quiet ? aLastReport : this->now);
      return;
    }
    constexpr std::size_t kBatch = 50;
    LogRead::Fields read;
    read.stream = kControlStream;
    read.firstRetained = this->log.empty() ? this->end : this->log.front().record.Offset();
    read.next = std::max(aFrom, read.firstRetained);
    read.end = this->end;
    for (const Kept& kept : this->log) {
      if (kept.record.Offset() >= aFrom && read.records.size() < kBatch) {
        read.records.push_back(kept.record);
        read.next = kept.record.Offset() + 1;
      }
    }
    if (read.records.empty() && quiet) {
      this->ReadLater(aNode, aRun, aFrom, aLastReport);
      return;
    }
    ++this->traffic.first;
    this->ReadLater(aNode, aRun, read.next, this->now);
    const LogRead event(read);
    this->Arrive(aNode, [event](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.Receive(event, aNow, aEffects);
    });
  }

  void AppendFrom(const std::string& aNode, const AppendLog& aAppend)
  {
    AppendOutcome outcome = AppendRejected();
    const double luck = this->random.Fraction();
    if (this->ReachesLog(aNode) && luck >= this->options.lostAnswers) {
      outcome = Appended({ .firstOffset = this->end });
    } else if (this->ReachesLog(aNode) && luck >= this->options.lostAnswers / 2) {
      outcome = AppendUnknown();
    }
    if (!std::holds_alternative<AppendRejected>(outcome)) {
      for (const Record& record : aAppend.Records()) {
        this->Append(record);
      }
    }
    const std::uint64_t ticket = aAppend.Ticket();
    this->After(this->RandomDelay(), [this, aNode, ticket, outcome] {
      this->Arrive(
        aNode, [ticket, outcome](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
          aFollower.Receive(LogAppended({ .ticket = ticket, .outcome = outcome }), aNow, aEffects);
        });
    });
  }

  /// Stands for a probe and its acknowledgement.
  void Gossip(const std::string& aNode)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end()) {
      return;
    }
    this->After(std::chrono::seconds(1), [this, aNode] { this->Gossip(aNode); });
    const std::vector<std::string> names = this->Nodes();
    const std::string other = names[this->random.Below(names.size())];
    const Node& peer = this->nodes.at(other);
    const bool awake = !found->second.frozen && !peer.frozen;
    if (other == aNode || !awake || !this->Connected(found->second, peer)) {
      return;
    }
    this->TellOffset(aNode, other);
    this->TellOffset(other, aNode);
  }

  void TellOffset(const std::string& aFrom, const std::string& aTo)
  {
    const PeerAddress address = this->nodes.at(aFrom).address;
    const std::uint64_t offset = this->nodes.at(aFrom).follower->State().Offset();
    this->Act(aTo, [address, offset](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.NotePeerOffset(address, offset, aNow, aEffects);
    });
  }

  Options options;
  Random random;
  Time now{ std::chrono::hours(1) };
  std::map<std::string, Node> nodes;
  std::deque<Kept> log;
  std::uint64_t end = 0;
  /// Offset after the newest record that is no snapshot.
  std::uint64_t changesEnd = 0;
  int snapshotCount = 0;
  ControlState reference;
  std::map<std::uint64_t, ConfigSnapshot> expected;
  std::set<std::string> noLog;
  std::set<std::string> noPeers;
  std::priority_queue<Step> agenda;
  std::map<LogEvent, int> logLines;
  std::pair<int, int> traffic;
  std::uint64_t lastOrder = 0;
};

} // namespace jackdawwind
