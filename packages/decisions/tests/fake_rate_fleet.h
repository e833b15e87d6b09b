// Rate limiters of a whole fleet on a hand-written network with a virtual clock.
//
//   FakeRateFleet fleet(settings);
//   fleet.Configure(fleet.Snapshot(organisations));
//   fleet.At(5s, [&] { fleet.Call(0, "north"); });
//   fleet.RunUntil(60s);
//   fleet.Admissions("north");
//
// Two regions with two domains each. Every node has a clock of its own that starts anywhere.
// Messages can be lost, delayed, duplicated and reordered; nodes can be paused (their events wait),
// crash and restart; domains can be cut off from each other. Everything follows from the seed.
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

/// Calls over what rate and burst allow in the worst window, by replay through a token bucket of
/// the whole fleet: the replay is short of tokens exactly when a window holds more than rate x
/// window + burst calls. 0 when there is none; aTimes must not decrease.
double WorstExcess(const std::vector<Duration>& aTimes, double aRate, double aBurst);

class FakeRateFleet
{
public:
  struct Settings
  {
    std::uint64_t seed = 1;
    std::size_t domains = 4;
    std::size_t nodesPerDomain = 3;
    double loss = 0;
    double duplicates = 0;
    /// Part of the messages that are late by up to longestDelay.
    double late = 0;
    Duration longestDelay{};
    bool prefetch = true;
    bool borrow = true;
    /// Part of the member views that miss a member.
    double wrongViews = 0;
    /// Longest time until a node reads a configuration.
    Duration readDelay{};
  };

  struct Node
  {
    std::string id;
    std::string domain;
    std::string region;
    std::unique_ptr<RateLimiter> limiter;
    std::uint64_t incarnation = 0;
    /// Start of the node's clock before the start of the run.
    Duration clockOffset{};
    Duration pausedUntil{};
    Duration downSince{};
    std::uint64_t wakes = 0;
    /// Messages sent, in bytes: an estimate of their texts with HTTP and JSON-RPC around them.
    std::uint64_t sentBytes = 0;
    std::vector<std::function<void()>> held;
    std::map<std::uint64_t, std::pair<std::string, Duration>> calls;
  };

  struct Tally
  {
    std::uint64_t calls = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  explicit FakeRateFleet(Settings aSettings);

  /// Configuration with equal shares or the given ones.
  ConfigSnapshot Snapshot(const std::vector<Organisation>& aOrganisations,
                          std::vector<double> aShares = {}) const;
  /// Every node reads the configuration within the read delay, restarted nodes at once.
  void Configure(const ConfigSnapshot& aSnapshot);

  Duration Now() const { return this->now; }
  void At(Duration aTime, std::function<void()> aAction);
  void RunUntil(Duration aEnd);

  void Call(std::size_t aNode, const std::string& aOrganisation);
  void Pause(std::size_t aNode, Duration aTime);
  void Crash(std::size_t aNode);
  /// Graceful release of the lease, then the end.
  void Leave(std::size_t aNode);
  void Start(std::size_t aNode);
  void Cut(const std::string& aDomain, const std::string& aOther, bool aCut);

  std::size_t Size() const { return this->nodes.size(); }
  const Node& At(std::size_t aNode) const { return this->nodes[aNode]; }
  Random& GetRandom() { return this->random; }
  /// Nodes of a domain that say they are elected.
  std::size_t Elected(const std::string& aDomain) const;
  const std::vector<Duration>& Admissions(const std::string& aOrganisation);
  const std::vector<Duration>& Refusals(const std::string& aOrganisation);
  Tally GetTally(const std::string& aOrganisation) const;

private:
  Time LocalTime(const Node& aNode) const;
  /// Runs an event at the node, now or when its pause ends.
  void Handle(std::size_t aNode, const std::function<void(RateLimiter&, Time, Effects&)>& aEvent);
  void Finish(std::size_t aNode, const Effects& aEffects);
  void ScheduleWake(std::size_t aNode);
  void Send(std::size_t aFrom, const SendPeer& aSend);
  void Deliver(std::size_t aTo, const PeerMessage& aMessage);
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
  std::set<std::pair<std::string, std::string>> cuts;
  ConfigSnapshot snapshot;
  std::uint64_t exchanges = 0;
  std::map<std::string, std::vector<Duration>> admissions;
  std::map<std::string, std::vector<Duration>> refusals;
  std::map<std::string, Tally> tallies;
};

} // namespace jackdawwind
