// Simulation of Membership instances on a fake network in simulated time, with delays, loss,
// duplication, partitions, crashes and suspended processes.
//
//   Fleet fleet({ .seed = 7, .loss = 0.05 });
//   fleet.Add({ .node = "a", .domain = "ikeja", .region = "lagos" });
//   fleet.Run(std::chrono::seconds(10));
//
// The same seed gives the same run.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/membership/membership.h"
#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class Fleet
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    /// Fraction of the messages that are lost.
    double loss = 0;
    /// Fraction of the messages that are sent twice.
    double duplicate = 0;
    /// Maximum random delay added to the fixed one.
    Duration jitter = std::chrono::milliseconds(2);
  };

  struct NodeOptions
  {
    std::string node;
    std::string domain;
    std::string region;
    std::uint64_t incarnation = 1;
    std::vector<PeerAddress> seeds;
  };

  /// A log line and the node that logged it.
  struct Line
  {
    std::string node;
    LogLine line;
  };

  /// Called for each message that a node sends, before it may be lost.
  using MessageHook = std::function<void(const std::string& aFrom, const SendPeer& aSent)>;

  explicit Fleet(Options aOptions)
    : options(aOptions)
    , random(aOptions.seed)
  {
  }

  /// Starts a process, after ending the running process of the same node; returns its address.
  PeerAddress Add(const NodeOptions& aNode)
  {
    this->Crash(aNode.node);
    const std::uint32_t port = ++this->lastPort;
    PeerAddress address(
      { .node = aNode.node, .host = "10.0.0.1", .callPort = port, .controlPort = port });
    Membership::Options memberOptions;
    memberOptions.self = Member({ .address = address,
                                  .incarnation = aNode.incarnation,
                                  .domain = aNode.domain,
                                  .region = aNode.region,
                                  .state = NodeState::kAlive });
    memberOptions.seeds = aNode.seeds;
    Process& process = this->processes[port];
    process.address = address;
    process.domain = aNode.domain;
    process.region = aNode.region;
    process.membership = std::make_unique<Membership>(memberOptions, this->random.Below(1U << 30U));
    this->ports[aNode.node] = port;
    this->Invoke(port, [](Membership& aMember, Time aNow, Effects& aEffects) {
      aMember.Start(aNow, aEffects);
    });
    return address;
  }

  /// Ends a process without notice.
  void Crash(const std::string& aNode)
  {
    const std::map<std::string, std::uint32_t>::const_iterator found = this->ports.find(aNode);
    if (found != this->ports.end()) {
      this->processes.erase(found->second);
      this->ports.erase(aNode);
    }
  }

  /// Suspends a process; messages to it wait until Wake.
  void Freeze(const std::string& aNode) { this->ProcessOf(aNode).frozen = true; }

  /// Resumes a process. Timers run before the waiting messages are read, which is the worst case.
  void Wake(const std::string& aNode)
  {
    Process& process = this->ProcessOf(aNode);
    const std::uint32_t port = process.address.ControlPort();
    process.frozen = false;
    this->Poll(port);
    const std::vector<PeerMessage> waiting = std::exchange(process.waiting, {});
    for (const PeerMessage& message : waiting) {
      this->Deliver(port, message);
    }
  }

  /// Drops messages between domains in aDomains and all others until Heal.
  void Partition(std::set<std::string> aDomains) { this->partitioned = std::move(aDomains); }
  void Heal() { this->partitioned.clear(); }

  using Action = std::function<void(Membership&, Time, Effects&)>;
  /// Calls a node and performs its effects.
  void Invoke(const std::string& aNode, const Action& aAction)
  {
    this->Invoke(this->ports.at(aNode), aAction);
  }

  void Run(Duration aTime)
  {
    this->RunUntil(aTime, [] { return false; });
  }

  /// Runs until aDone returns true, at most for aTime; returns the last result of aDone.
  bool RunUntil(Duration aTime, const std::function<bool()>& aDone)
  {
    const Time end = this->now + aTime;
    while (!this->eventQueue.empty() && this->eventQueue.top().at <= end) {
      const ScheduledEvent next = this->eventQueue.top();
      this->eventQueue.pop();
      this->now = next.at;
      if (next.message) {
        this->Deliver(next.port, *next.message);
      } else {
        this->Poll(next.port);
      }
      if (aDone()) {
        return true;
      }
    }
    this->now = end;
    return aDone();
  }

  Time Now() const { return this->now; }
  const Membership& At(const std::string& aNode) const
  {
    return *this->processes.at(this->ports.at(aNode)).membership;
  }
  /// Nodes that have a process, including suspended ones, ordered by id.
  std::vector<std::string> Nodes() const
  {
    std::vector<std::string> nodes;
    for (const std::pair<const std::string, std::uint32_t>& entry : this->ports) {
      nodes.push_back(entry.first);
    }
    return nodes;
  }
  /// Log lines of an event at all nodes since the start, in the order of time.
  std::vector<Line> LinesOf(LogEvent aEvent) const
  {
    std::vector<Line> found;
    std::copy_if(this->lines.begin(),
                 this->lines.end(),
                 std::back_inserter(found),
                 [aEvent](const Line& aLine) { return aLine.line.GetEvent() == aEvent; });
    return found;
  }
  void SetMessageHook(MessageHook aHook) { this->hook = std::move(aHook); }

private:
  struct Process
  {
    PeerAddress address;
    std::string domain;
    std::string region;
    std::unique_ptr<Membership> membership;
    bool frozen = false;
    std::vector<PeerMessage> waiting;
    Time wakeAt = Time::max();
  };

  /// Arrival of a message at a process, or a timer when message is null.
  struct ScheduledEvent
  {
    Time at{};
    std::uint64_t order = 0;
    std::uint32_t port = 0;
    std::shared_ptr<const PeerMessage> message;
    bool operator<(const ScheduledEvent& aOther) const
    {
      return std::pair(this->at, this->order) > std::pair(aOther.at, aOther.order);
    }
  };

  Process& ProcessOf(const std::string& aNode) { return this->processes.at(this->ports.at(aNode)); }

  void Invoke(std::uint32_t aPort, const Action& aAction)
  {
    Process& process = this->processes.at(aPort);
    Effects effects;
    aAction(*process.membership, this->now, effects);
    for (const Effect& effect : effects) {
      if (const SendPeer* sent = std::get_if<SendPeer>(&effect)) {
        this->Send(process, *sent);
      } else if (const LogLine* line = std::get_if<LogLine>(&effect)) {
        this->lines.push_back({ process.address.Node(), *line });
      }
    }
    const Time wake = process.membership->NextWake();
    if (wake < process.wakeAt) {
      process.wakeAt = wake;
      this->eventQueue.push({ wake, ++this->lastOrder, aPort, nullptr });
    }
  }

  void Send(const Process& aFrom, const SendPeer& aSent)
  {
    if (this->hook) {
      this->hook(aFrom.address.Node(), aSent);
    }
    const std::uint32_t port = aSent.To().ControlPort();
    const std::map<std::uint32_t, Process>::const_iterator to = this->processes.find(port);
    if (to == this->processes.end() ||
        this->partitioned.contains(aFrom.domain) != this->partitioned.contains(to->second.domain)) {
      return;
    }
    const int copies = this->random.Fraction() < this->options.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (this->random.Fraction() < this->options.loss) {
        continue;
      }
      const Time arrival = this->now + this->DelayBetween(aFrom, to->second);
      this->eventQueue.push(
        { arrival, ++this->lastOrder, port, std::make_shared<const PeerMessage>(aSent.Message()) });
    }
  }

  /// Delays of the current deployments: 1.5 ms between domains, 8 ms between regions.
  Duration DelayBetween(const Process& aFrom, const Process& aTo)
  {
    Duration delay = std::chrono::microseconds(200);
    if (aFrom.region != aTo.region) {
      delay = std::chrono::milliseconds(8);
    } else if (aFrom.domain != aTo.domain) {
      delay = std::chrono::microseconds(1500);
    }
    const std::uint64_t maxJitterUs = static_cast<std::uint64_t>(this->options.jitter.count()) + 1;
    return delay + Duration(static_cast<Duration::rep>(this->random.Below(maxJitterUs)));
  }

  void Deliver(std::uint32_t aPort, const PeerMessage& aMessage)
  {
    const std::map<std::uint32_t, Process>::iterator found = this->processes.find(aPort);
    if (found == this->processes.end()) {
      return;
    }
    if (found->second.frozen) {
      found->second.waiting.push_back(aMessage);
      return;
    }
    this->Invoke(aPort, [&aMessage](Membership& aMember, Time aNow, Effects& aEffects) {
      Receiver receiver{ aMember, aNow, aEffects };
      std::visit(receiver, aMessage);
    });
  }

  struct Receiver
  {
    Membership& member;
    Time now;
    Effects& effects;

    void operator()(const Probe& aMessage) const { this->Take(aMessage); }
    void operator()(const ProbeAck& aMessage) const { this->Take(aMessage); }
    void operator()(const ProbeRequest& aMessage) const { this->Take(aMessage); }
    void operator()(const MemberSync& aMessage) const { this->Take(aMessage); }
    /// Messages of other modules.
    template<typename Other>
    void operator()(const Other& /*aMessage*/) const
    {
    }

    template<typename T>
    void Take(const T& aMessage) const
    {
      this->member.Receive(aMessage, this->now, this->effects);
    }
  };

  void Poll(std::uint32_t aPort)
  {
    const std::map<std::uint32_t, Process>::iterator found = this->processes.find(aPort);
    if (found == this->processes.end() || found->second.frozen) {
      return;
    }
    if (this->now >= found->second.wakeAt) {
      found->second.wakeAt = Time::max();
    }
    this->Invoke(aPort, [](Membership& aMember, Time aNow, Effects& aEffects) {
      if (aNow >= aMember.NextWake()) {
        aMember.Poll(aNow, aEffects);
      }
    });
  }

  Options options;
  Random random;
  Time now{ std::chrono::seconds(1000) };
  std::map<std::uint32_t, Process> processes;
  std::map<std::string, std::uint32_t> ports;
  std::set<std::string> partitioned;
  std::priority_queue<ScheduledEvent> eventQueue;
  std::vector<Line> lines;
  std::uint32_t lastPort = 0;
  std::uint64_t lastOrder = 0;
  MessageHook hook;
};

} // namespace jackdawwind
