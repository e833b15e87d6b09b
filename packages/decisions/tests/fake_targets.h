// Hand-written fleet for tests of target selection: entry nodes, each with a NodePicker, and
// targets with slots, a speed and a queue, in simulated time.
//
//   FakeTargets fleet({ { "ikeja", 6 }, { "apapa", 6 } }, policy);
//   fleet.SetRate("ikeja", 300);                       // requests a second of all its entry nodes
//   fleet.TargetAt("ikeja1").speed = 0.5;
//   fleet.Advance(std::chrono::seconds(5));
//   for (const FakeTargets::Done& done : fleet.Log()) { ... }
//
// A target queues without limit and refuses nothing, so a wrong choice shows as time.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/mesh/node_picker.h"
#include "decisions/mesh/route_times.h"

namespace jackdawwind {

class FakeTargets
{
public:
  struct Domain
  {
    std::string name;
    int hosts = 0;
  };

  struct Done
  {
    Time at{};
    std::string domain;
    std::string node;
    Duration took{};
  };

  struct Job
  {
    std::size_t entry = 0;
    Time arrived{};
    Time start{};
    Time end{};
  };

  struct Target
  {
    std::string domain;
    double speed = 1;
    std::deque<Job> queue = {};
    std::vector<Job> running = {};
    RouteTimes times = {};
  };

  static constexpr std::size_t kSlots = 8;
  static constexpr Duration kWork = std::chrono::milliseconds(160);
  static constexpr Duration kTick = std::chrono::milliseconds(5);

  FakeTargets(const std::vector<Domain>& aDomains, const std::optional<RegionPolicy>& aPolicy)
  {
    NodePicker::Members members;
    for (const Domain& domain : aDomains) {
      for (int index = 0; index < domain.hosts; ++index) {
        const std::string node = domain.name + std::to_string(index);
        members[node] = Member({ .address = PeerAddress({ .node = node }),
                                 .domain = domain.name,
                                 .region = "lagos",
                                 .service = this->service,
                                 .targetState = TargetState::kReady,
                                 .state = NodeState::kAlive });
        this->targets[node] = Target{ .domain = domain.name };
      }
    }
    for (const NodePicker::Members::value_type& member : members) {
      this->entries.push_back(
        { .node = member.first,
          .domain = member.second.GetDomain(),
          .picker = std::make_unique<NodePicker>(
            NodePicker::Options{ member.first, member.second.GetDomain(), "lagos", aPolicy },
            this->entries.size() + 1) });
      this->entries.back().picker->SetMembers(members);
    }
  }

  /// Requests a second of all entry nodes of a domain together.
  void SetRate(const std::string& aDomain, double aRate) { this->rates[aDomain] = aRate; }
  Target& TargetAt(const std::string& aNode) { return this->targets.at(aNode); }
  const std::vector<Done>& Log() const { return this->log; }
  /// Shares of an entry node's requests that may leave its domain, in the order of their changes.
  const std::vector<double>& SharesOf(const std::string& aNode) { return this->shares[aNode]; }
  Time Now() const { return this->now; }

  void Advance(Duration aTime)
  {
    for (const Time end = this->now + aTime; this->now < end; this->now += kTick) {
      for (std::map<std::string, Target>::value_type& target : this->targets) {
        this->Finish(target.first, target.second);
      }
      for (std::size_t index = 0; index < this->entries.size(); ++index) {
        this->Arrive(index);
      }
    }
  }

private:
  struct Entry
  {
    std::string node;
    std::string domain;
    std::unique_ptr<NodePicker> picker;
    double due = 0;
  };

  void Arrive(std::size_t aEntry)
  {
    Entry& entry = this->entries[aEntry];
    double hosts = 0;
    for (const Entry& other : this->entries) {
      hosts += other.domain == entry.domain ? 1 : 0;
    }
    entry.due += this->rates[entry.domain] * Seconds(kTick) / hosts;
    while (entry.due >= 1) {
      entry.due -= 1;
      const std::string node =
        entry.picker
          ->Pick({ .service = this->service, .tried = this->none, .route = "read" }, this->now)
          ->Node();
      entry.picker->NoteSent(node);
      this->targets.at(node).queue.push_back({ .entry = aEntry, .arrived = this->now });
      this->Start(this->targets.at(node));
    }
    Effects effects;
    entry.picker->Poll(this->now, effects);
    for (const Effect& effect : effects) {
      const MetricUpdated* update = std::get_if<MetricUpdated>(&effect);
      if (update != nullptr && update->GetMetric() == Metric::kOverflowShare) {
        this->shares[entry.node].push_back(update->Value());
      }
    }
  }

  void Start(Target& aTarget)
  {
    while (aTarget.running.size() < kSlots && !aTarget.queue.empty()) {
      Job job = aTarget.queue.front();
      aTarget.queue.pop_front();
      const double time = static_cast<double>(kWork.count()) / aTarget.speed;
      job.start = this->now;
      job.end = this->now + Duration(static_cast<Duration::rep>(time));
      aTarget.running.push_back(job);
    }
  }

  void Finish(const std::string& aNode, Target& aTarget)
  {
    std::vector<Job> ended;
    std::erase_if(aTarget.running, [&](const Job& aJob) {
      if (aJob.end <= this->now) {
        ended.push_back(aJob);
      }
      return aJob.end <= this->now;
    });
    for (const Job& job : ended) {
      aTarget.times.NoteAnswer("read", job.end - job.start, this->now);
      const std::size_t load = aTarget.running.size() + aTarget.queue.size();
      this->entries[job.entry].picker->NoteAnswer(
        aNode,
        { .perMille = static_cast<std::uint32_t>(load * 1000 / kSlots),
          .slots = kSlots,
          .route = "read",
          .expectedTime = aTarget.times.Mean("read") },
        this->now);
      this->log.push_back(
        { this->now, this->entries[job.entry].domain, aNode, this->now - job.arrived });
    }
    this->Start(aTarget);
  }

  const std::string service = "fuel";
  const std::set<std::string> none;
  Time now{ std::chrono::seconds(100) };
  std::vector<Entry> entries;
  std::map<std::string, Target> targets;
  std::map<std::string, double> rates;
  std::vector<Done> log;
  std::map<std::string, std::vector<double>> shares;
};

} // namespace jackdawwind
