// Simulation of ControlFollower instances with a fake log and a fake network in simulated time.
//
//   ControlFleet fleet({ .seed = 7, .loss = 0.05 });
//   fleet.Add("a1", "ikeja");
//   fleet.Append(change);
//   fleet.Run(std::chrono::seconds(10));
//
// After every call to a node, its state is compared with that of a reference that has applied the
// whole log up to the same offset. Probes are simulated by an exchange of offsets once per second.
// The same seed gives the same run.
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
    /// Fraction of the messages between nodes that are lost.
    double loss = 0;
    /// Fraction of the nodes' appends that fail: half with an unknown outcome although the records
    /// are in the log, half rejected.
    double appendFaults = 0;
    /// Time after which the log expires a record.
    Duration retention = std::chrono::hours(24);
  };

  explicit ControlFleet(Options aOptions)
    : options(aOptions)
    , random(aOptions.seed)
  {
    this->expected[0] = ControlState().ToSnapshot();
  }

  /// Starts a node and updates the members of its domain.
  void Add(const std::string& aNode, const std::string& aDomain)
  {
    Node& node = this->nodes[aNode];
    node.address = PeerAddress({ .node = aNode, .host = "10.0.0.1" });
    node.domain = aDomain;
    ControlFollower::Options followerOptions{ .self = node.address,
                                              .retention = this->options.retention };
    node.follower = std::make_unique<ControlFollower>(
      followerOptions, node.tickets, this->random.Below(1U << 30U));
    this->Invoke(aNode, [](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.Start(aNow, aEffects);
    });
    this->Schedule(this->RandomDelay(), [this, aNode] { this->Gossip(aNode); });
    this->UpdateMembers(aDomain);
  }

  /// Ends a node's process; the other members of its domain are told at once.
  void Remove(const std::string& aNode)
  {
    const std::string domain = this->nodes.at(aNode).domain;
    this->nodes.erase(aNode);
    this->UpdateMembers(domain);
  }

  /// Appends a record to the log and returns its offset.
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

  /// Sets the nodes that cannot reach the log; "*" for all.
  void CutFromLog(std::set<std::string> aNodes) { this->cutFromLog = std::move(aNodes); }
  /// Sets the domains whose nodes can reach no other domain.
  void CutFromPeers(std::set<std::string> aDomains) { this->isolatedDomains = std::move(aDomains); }
  /// Suspends a process; its messages wait until Wake.
  void Freeze(const std::string& aNode) { this->nodes.at(aNode).frozen = true; }
  /// Resumes a process: timers run first, then the waiting messages are read.
  void Wake(const std::string& aNode)
  {
    Node& node = this->nodes.at(aNode);
    node.frozen = false;
    this->Poll(aNode);
    for (const Action& action : std::exchange(node.heldActions, {})) {
      this->Invoke(aNode, action);
    }
  }

  void Run(Duration aTime)
  {
    const Time until = this->now + aTime;
    while (!this->eventQueue.empty() && this->eventQueue.top().at <= until) {
      const ScheduledEvent step = this->eventQueue.top();
      this->eventQueue.pop();
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
  /// Numbers of log reads and of messages between nodes since the last call.
  std::pair<int, int> TakeTraffic() { return std::exchange(this->traffic, {}); }

  /// Number of snapshots appended so far.
  int SnapshotCount() const { return this->snapshotCount; }

  /// Describes the first node that lacks a record or whose news age exceeds aNewsAge; empty when
  /// there is none. Snapshots are not required, because a node may publish one at any moment.
  std::string FindStaleNode(Duration aNewsAge) const
  {
    for (const auto& [name, node] : this->nodes) {
      if (node.follower->State().Offset() < this->changesEnd) {
        return name + " is at offset " + std::to_string(node.follower->State().Offset()) + " of " +
               std::to_string(this->changesEnd);
      }
      if (node.follower->NewsAge(this->now) > aNewsAge) {
        return name + " has a news age above the limit";
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
    std::vector<Action> heldActions;
    Time wakeAt = Time::max();
    /// Incremented by each FollowLog and StopFollowing effect; cancels the reads of older ones.
    int followGeneration = 0;
    bool following = false;
  };
  struct RetainedRecord
  {
    LogRecord record;
    Time at{};
  };
  struct ScheduledEvent
  {
    Time at{};
    std::uint64_t order = 0;
    std::shared_ptr<const std::function<void()>> run;
    bool operator<(const ScheduledEvent& aOther) const
    {
      return std::pair(this->at, this->order) > std::pair(aOther.at, aOther.order);
    }
  };

  void Schedule(Duration aDelay, std::function<void()> aRun)
  {
    this->eventQueue.push({ this->now + aDelay,
                            ++this->lastOrder,
                            std::make_shared<const std::function<void()>>(std::move(aRun)) });
  }

  Duration RandomDelay()
  {
    constexpr std::uint64_t kMaxExtraDelayUs = 20000;
    return Duration(static_cast<Duration::rep>(1000 + this->random.Below(kMaxExtraDelayUs)));
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
      this->DeliverOrHold(member.Node(),
                          [members](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
                            aFollower.SetDomainMembers(members, aNow, aEffects);
                          });
    }
  }

  /// Runs an action at a node, or holds it while the node is frozen.
  void DeliverOrHold(const std::string& aNode, const Action& aAction)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end()) {
      return;
    }
    if (found->second.frozen) {
      found->second.heldActions.push_back(aAction);
    } else {
      this->Invoke(aNode, aAction);
    }
  }

  void Invoke(const std::string& aNode, const Action& aAction)
  {
    Node& node = this->nodes.at(aNode);
    const std::uint64_t offsetBefore = node.follower->State().Offset();
    Effects effects;
    aAction(*node.follower, this->now, effects);
    this->CheckState(aNode, offsetBefore);
    for (const Effect& effect : effects) {
      this->Execute(aNode, effect);
    }
    const Time wake = node.follower->NextWake();
    if (wake < node.wakeAt) {
      node.wakeAt = wake;
      this->Schedule(wake - this->now, [this, aNode] { this->Poll(aNode); });
    }
  }

  void Poll(const std::string& aNode)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end() || found->second.frozen) {
      return;
    }
    found->second.wakeAt = Time::max();
    this->Invoke(aNode, [](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.Poll(aNow, aEffects);
    });
  }

  /// Checks that the offset has not decreased and that the state equals the reference.
  void CheckState(const std::string& aNode, std::uint64_t aOffsetBefore)
  {
    const ControlState& state = this->nodes.at(aNode).follower->State();
    ASSERT_GE(state.Offset(), aOffsetBefore) << aNode << ": offset decreased";
    if (state.Offset() != aOffsetBefore) {
      ASSERT_EQ(state.ToSnapshot(), this->expected.at(state.Offset())) << aNode;
    }
  }

  void Execute(const std::string& aNode, const Effect& aEffect)
  {
    Node& node = this->nodes.at(aNode);
    if (const SendPeer* sent = std::get_if<SendPeer>(&aEffect)) {
      this->Send(aNode, *sent);
    } else if (const FollowLog* follow = std::get_if<FollowLog>(&aEffect)) {
      node.following = true;
      this->ScheduleRead(aNode, ++node.followGeneration, follow->From(), this->now);
    } else if (std::holds_alternative<StopFollowing>(aEffect)) {
      node.following = false;
      ++node.followGeneration;
    } else if (const AppendLog* append = std::get_if<AppendLog>(&aEffect)) {
      this->AppendFrom(aNode, *append);
    } else if (const LogLine* line = std::get_if<LogLine>(&aEffect)) {
      ++this->logLines[line->GetEvent()];
    }
  }

  bool Connected(const Node& aLeft, const Node& aRight) const
  {
    return aLeft.domain == aRight.domain || (!this->isolatedDomains.contains(aLeft.domain) &&
                                             !this->isolatedDomains.contains(aRight.domain));
  }

  bool ReachesLog(const std::string& aNode) const
  {
    return !this->cutFromLog.contains("*") && !this->cutFromLog.contains(aNode);
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
    this->Schedule(this->RandomDelay(), [this, to, message = aSent.Message()] {
      this->DeliverOrHold(to, [message](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
        if (const ConfigWant* want = std::get_if<ConfigWant>(&message)) {
          aFollower.Receive(*want, aNow, aEffects);
        } else if (const ConfigRelay* relay = std::get_if<ConfigRelay>(&message)) {
          aFollower.Receive(*relay, aNow, aEffects);
        }
      });
    });
  }

  /// Schedules the next read in 50 ms. Records are reported at once, an empty read or a failure
  /// once per second.
  void ScheduleRead(const std::string& aNode, int aRun, std::uint64_t aFrom, Time aLastReport)
  {
    this->Schedule(std::chrono::milliseconds(50), [this, aNode, aRun, aFrom, aLastReport] {
      this->Read(aNode, aRun, aFrom, aLastReport);
    });
  }

  void Read(const std::string& aNode, int aRun, std::uint64_t aFrom, Time aLastReport)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end() || found->second.followGeneration != aRun) {
      return;
    }
    while (!this->log.empty() && this->now - this->log.front().at > this->options.retention) {
      this->log.pop_front();
    }
    const bool quiet = this->now - aLastReport < std::chrono::seconds(1);
    if (!this->ReachesLog(aNode)) {
      if (!quiet) {
        this->DeliverOrHold(aNode, [](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
          aFollower.Receive(LogReadFailed({ .stream = kControlStream }), aNow, aEffects);
        });
      }
      this->ScheduleRead(aNode, aRun, aFrom, quiet ? aLastReport : this->now);
      return;
    }
    constexpr std::size_t kBatch = 50;
    LogRead::Fields read;
    read.stream = kControlStream;
    read.firstRetained = this->log.empty() ? this->end : this->log.front().record.Offset();
    read.next = std::max(aFrom, read.firstRetained);
    read.end = this->end;
    for (const RetainedRecord& logEntry : this->log) {
      if (logEntry.record.Offset() >= aFrom && read.records.size() < kBatch) {
        read.records.push_back(logEntry.record);
        read.next = logEntry.record.Offset() + 1;
      }
    }
    if (read.records.empty() && quiet) {
      this->ScheduleRead(aNode, aRun, aFrom, aLastReport);
      return;
    }
    ++this->traffic.first;
    this->ScheduleRead(aNode, aRun, read.next, this->now);
    const LogRead event(read);
    this->DeliverOrHold(aNode, [event](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.Receive(event, aNow, aEffects);
    });
  }

  void AppendFrom(const std::string& aNode, const AppendLog& aAppend)
  {
    AppendOutcome outcome = AppendRejected();
    const double draw = this->random.Fraction();
    if (this->ReachesLog(aNode) && draw >= this->options.appendFaults) {
      outcome = Appended({ .firstOffset = this->end });
    } else if (this->ReachesLog(aNode) && draw >= this->options.appendFaults / 2) {
      outcome = AppendUnknown();
    }
    if (!std::holds_alternative<AppendRejected>(outcome)) {
      for (const Record& record : aAppend.Records()) {
        this->Append(record);
      }
    }
    const std::uint64_t ticket = aAppend.Ticket();
    this->Schedule(this->RandomDelay(), [this, aNode, ticket, outcome] {
      this->DeliverOrHold(
        aNode, [ticket, outcome](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
          aFollower.Receive(LogAppended({ .ticket = ticket, .outcome = outcome }), aNow, aEffects);
        });
    });
  }

  /// Simulates a probe of a random node and its acknowledgement.
  void Gossip(const std::string& aNode)
  {
    const std::map<std::string, Node>::iterator found = this->nodes.find(aNode);
    if (found == this->nodes.end()) {
      return;
    }
    this->Schedule(std::chrono::seconds(1), [this, aNode] { this->Gossip(aNode); });
    const std::vector<std::string> names = this->Nodes();
    const std::string& other = names[this->random.Below(names.size())];
    const Node& peer = this->nodes.at(other);
    const bool awake = !found->second.frozen && !peer.frozen;
    if (other == aNode || !awake || !this->Connected(found->second, peer)) {
      return;
    }
    this->ReportOffset(aNode, other);
    this->ReportOffset(other, aNode);
  }

  void ReportOffset(const std::string& aFrom, const std::string& aTo)
  {
    const PeerAddress address = this->nodes.at(aFrom).address;
    const std::uint64_t offset = this->nodes.at(aFrom).follower->State().Offset();
    this->Invoke(aTo, [address, offset](ControlFollower& aFollower, Time aNow, Effects& aEffects) {
      aFollower.NotePeerOffset(address, offset, aNow, aEffects);
    });
  }

  Options options;
  Random random;
  Time now{ std::chrono::hours(1) };
  std::map<std::string, Node> nodes;
  std::deque<RetainedRecord> log;
  std::uint64_t end = 0;
  /// Offset after the newest record that is not a snapshot.
  std::uint64_t changesEnd = 0;
  int snapshotCount = 0;
  ControlState reference;
  /// State of the reference by offset.
  std::map<std::uint64_t, ConfigSnapshot> expected;
  std::set<std::string> cutFromLog;
  std::set<std::string> isolatedDomains;
  std::priority_queue<ScheduledEvent> eventQueue;
  std::map<LogEvent, int> logLines;
  /// Log reads and messages between nodes.
  std::pair<int, int> traffic;
  std::uint64_t lastOrder = 0;
};

} // namespace jackdawwind
