// Simulates the rate limiters of a whole fleet on a fake network with a virtual clock.
//
//   FakeRateFleet fleet(settings);
//   fleet.Configure(fleet.Snapshot(organisations));
//   fleet.At(5s, [&] { fleet.Call(0, "north"); });
//   fleet.RunUntil(60s);
//   fleet.Admissions("north");
//
// The fleet has two regions with two domains each. Every node has its own clock with a random
// offset. Messages can be lost, delayed, duplicated and reordered; nodes can be paused (their
// events are held until the pause ends), crash and restart; domains can be partitioned from each
// other. A run is determined by its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/rate/rate_limiter.h"
#include "util/random.h"

namespace jackdawwind {

/// Largest number of calls by which any window exceeds rate x window + burst; 0 when none does.
/// Replays the calls through one token bucket for the whole fleet, which runs out of tokens exactly
/// when a window exceeds the limit. aTimes must not decrease.
double MaxExcess(const std::vector<Duration>& aTimes, double aRate, double aBurst);

class FakeRateFleet
{
public:
  struct Settings
  {
    std::uint64_t seed = 1;
    std::size_t domains = 4;
    std::size_t nodesPerDomain = 3;
    /// Fraction of the messages that are lost.
    double loss = 0;
    /// Fraction of the messages that are delivered twice.
    double duplication = 0;
    /// Fraction of the messages that arrive up to maxExtraDelay later than the latency.
    double delayed = 0;
    Duration maxExtraDelay{};
    bool prefetch = true;
    bool borrow = true;
    /// Fraction of the member views that lack a member.
    double incompleteViews = 0;
    /// Longest time until a node reads a configuration.
    Duration maxReadDelay{};
  };

  struct Node
  {
    std::string id;
    std::string domain;
    std::string region;
    std::unique_ptr<RateLimiter> limiter;
    std::uint64_t incarnation = 0;
    /// Reading of the node's clock at the start of the run.
    Duration clockOffset{};
    Duration pausedUntil{};
    Duration downSince{};
    /// Invalidates wake-ups that were scheduled before the latest one.
    std::uint64_t wakeGeneration = 0;
    /// Estimated size of all messages sent, with their HTTP and JSON-RPC envelopes.
    std::uint64_t sentBytes = 0;
    /// Events that arrived during a pause.
    std::vector<std::function<void()>> heldEvents;
    /// Organisation and arrival time of undecided calls, by exchange.
    std::map<std::uint64_t, std::pair<std::string, Duration>> calls;
  };

  struct CallCounts
  {
    std::uint64_t calls = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  explicit FakeRateFleet(Settings aSettings);

  /// Configuration with the given shares by domain; equal shares without them.
  ConfigSnapshot Snapshot(const std::vector<Organisation>& aOrganisations,
                          std::vector<double> aShares = {}) const;
  /// Delivers the configuration to every node within maxReadDelay, and to restarted nodes at once.
  void Configure(const ConfigSnapshot& aSnapshot);

  Duration Now() const { return this->now; }
  /// Schedules aAction.
  void At(Duration aTime, std::function<void()> aAction);
  void RunUntil(Duration aEnd);

  /// A call of the organisation arrives at the node now; ignored while the node is down.
  void Call(std::size_t aNode, const std::string& aOrganisation);
  /// Stops the node from handling events for aTime.
  void Pause(std::size_t aNode, Duration aTime);
  void Crash(std::size_t aNode);
  /// Releases the lease gracefully and stops the node.
  void Leave(std::size_t aNode);
  void Start(std::size_t aNode);
  /// Drops messages between the two domains while aPartitioned is set.
  void SetPartitioned(const std::string& aDomain, const std::string& aOther, bool aPartitioned);

  std::size_t Size() const { return this->nodes.size(); }
  const Node& At(std::size_t aNode) const { return this->nodes[aNode]; }
  Random& GetRandom() { return this->random; }
  /// Number of nodes of the domain that hold its lease by their own view.
  std::size_t Elected(const std::string& aDomain) const;
  /// Times at which calls were admitted.
  const std::vector<Duration>& Admissions(const std::string& aOrganisation);
  /// Arrival times of the refused calls.
  const std::vector<Duration>& Refusals(const std::string& aOrganisation);
  CallCounts GetCallCounts(const std::string& aOrganisation) const;

private:
  Time LocalTime(const Node& aNode) const;
  /// Lets the node handle an event, now or when its pause ends.
  void Handle(std::size_t aNode, const std::function<void(RateLimiter&, Time, Effects&)>& aEvent);
  /// Sends the messages, records the decisions and schedules the next wake-up.
  void ApplyEffects(std::size_t aNode, const Effects& aEffects);
  void ScheduleWake(std::size_t aNode);
  void Send(std::size_t aFrom, const SendPeer& aSend);
  void Deliver(std::size_t aTo, const PeerMessage& aMessage);
  /// Gives the node its view of the members, and again every second.
  void UpdateView(std::size_t aNode);
  void Decide(Node& aNode, std::uint64_t aExchange, bool aTaken);
  Duration Latency(const Node& aFrom, const Node& aTo);
  bool Reachable(const Node& aFrom, const Node& aTo) const;

  Settings settings;
  Random random;
  Duration now{};
  std::multimap<Duration, std::function<void()>> events;
  std::vector<Node> nodes;
  std::map<std::string, std::size_t> byId;
  std::set<std::pair<std::string, std::string>> partitions;
  ConfigSnapshot lastSnapshot;
  std::uint64_t exchanges = 0;
  std::map<std::string, std::vector<Duration>> admissions;
  std::map<std::string, std::vector<Duration>> refusals;
  std::map<std::string, CallCounts> callCounts;
};

} // namespace jackdawwind
