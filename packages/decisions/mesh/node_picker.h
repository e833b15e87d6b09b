// Selects the node, and with it the target, to which a request is sent.
//
//   NodePicker picker(options, seed);
//   picker.SetMembers(members);                        // after every change
//   std::optional<PeerAddress> peer = picker.Pick({ .service = "fleet", .tried = tried }, now);
//   picker.NoteSent(peer->Node());
//   picker.NoteAnswer(peer->Node(), load, now);        // or NoteFailure
//
// The cost of a candidate is its distance plus the queueing delay estimated from its last reported
// load and the requests sent to it since; the candidate with the lowest cost is selected. Near
// targets are used until they are busy, so traffic crosses domains and regions only when that
// reduces the latency. A node that failed is avoided for a time that doubles with each consecutive
// failure. Targets outside the regions in which a request may be served, and those in
// evacuated domains, are never selected.
//
// With a RegionPolicy the cost is the expected time to the response instead: the distance, the wait
// for a slot and the time that the target takes (see target_speed.h). Two additions order
// candidates but don't count as time: a target that is nearly full costs more, and one of unknown
// speed less. A request leaves the failure domain only if it belongs to the share that may (see
// domain_overflow.h), if no target at home is usable, or if it is urgent; Poll then reports shares
// and requests that left. Without a policy neither class is used, and picks and random numbers are
// the same as before they existed.
//
// Pick is linear in the number of ready targets of the service (times a logarithm with a policy);
// SetMembers is linear in the number of members.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decisions/effects.h"
#include "decisions/mesh/domain_overflow.h"
#include "decisions/mesh/residency.h"
#include "decisions/mesh/target_speed.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/common.h"
#include "values/generated/peer.h"
#include "values/generated/results.h"
#include "values/generated/settings.h"

namespace jackdawwind {

class NodePicker
{
public:
  struct Options
  {
    std::string node;
    std::string domain;
    std::string region;
    /// Nothing if targets are chosen by distance and load only.
    std::optional<RegionPolicy> policy = std::nullopt;
  };

  using Members = std::map<std::string, Member>;

  NodePicker(Options aOptions, std::uint64_t aSeed);

  struct Criteria
  {
    const std::string& service;
    /// Nodes that are not considered.
    const std::set<std::string>& tried;
    std::uint64_t bodyBytes = 0;
    /// Regions in which the request may be served.
    const Residency& residency = kAnyRegion;
    /// Name of the route; only used with a policy, like the fields below.
    std::string_view route = {};
    /// Time left until the deadline.
    Duration remaining = Duration::max();
    /// Whether a target makes the request while it runs another one.
    bool nested = false;
  };

  /// Load that a target reported with an answer.
  struct Load
  {
    /// Running and queued requests per 1000 slots.
    std::uint32_t perMille = 0;
    /// 0 if unknown.
    std::uint32_t slots = 0;
    /// Route of the request, and the mean time that it takes there; zero if unknown.
    std::string_view route = {};
    Duration expectedTime{};
  };

  /// Sets the shortest objective of the configuration's routes, from which a policy without a
  /// minimum gain derives one; zero if there is no objective.
  void SetShortestObjective(Duration aObjective);
  /// Sets the candidates of all services.
  void SetMembers(const Members& aMembers);
  /// Sets the failure domains whose targets get no requests.
  void SetEvacuated(std::set<std::string> aDomains);
  /// Returns nothing if no untried live node has a ready target of the service. Suspect nodes, and
  /// nodes that failed recently, are selected only if there is no other candidate.
  std::optional<PeerAddress> Pick(const Criteria& aCriteria, Time aNow);
  /// Reason why Pick returned nothing.
  ResultCode AbsenceCode(const Criteria& aCriteria) const;
  void NoteSent(const std::string& aNode);
  void NoteAnswer(const std::string& aNode, const Load& aLoad, Time aNow);
  /// Notes that the connection failed or broke.
  void NoteFailure(const std::string& aNode, Time aNow);
  /// Notes that the request ended without information about the node's load or health.
  void NoteEnded(const std::string& aNode);
  /// Clears the record of a node that has ended or left.
  void Forget(const std::string& aNode);
  /// Moves the shares of requests that may leave the domain, and reports them and the requests that
  /// left.
  void Poll(Time aNow, Effects& aEffects);
  /// Time at which Poll is due; Time::max() without a policy or while no request leaves.
  Time NextWake() const { return this->overflow.NextWake(); }

private:
  inline static const Residency kAnyRegion;
  /// One of about fifty slots.
  static constexpr double kDefaultLoadPerRequest = 0.02;

  struct Record
  {
    /// Last reported load, 1 when full, and the time of the report.
    double load = 0;
    Time loadAt{};
    /// Load of one request: a slot, or kDefaultLoadPerRequest until the slots are known.
    double loadPerRequest = kDefaultLoadPerRequest;
    std::uint32_t inFlight = 0;
    /// Requests sent since the last report.
    std::uint32_t sentSinceReport = 0;
    /// Consecutive failures.
    std::uint32_t failures = 0;
    Time excludedUntil{};
  };

  /// A live member with a ready target.
  struct Candidate
  {
    PeerAddress address;
    bool isSelf = false;
    Distance distance = Distance::kUnknown;
    std::string domain;
    std::string region;
    bool evacuated = false;
    bool suspect = false;
    /// Element of records.
    Record* record = nullptr;
  };

  using Candidates = std::vector<Candidate>;

  /// Order in which candidates are used, before their cost.
  enum class Usability
  {
    kUsable,
    /// The target is slow and already has a request of this node.
    kSlowAndBusy,
    /// The node is suspect or has failed recently.
    kExcluded,
  };

  /// A candidate with what a policy weighs.
  struct Rated
  {
    const Candidate* candidate = nullptr;
    Usability usability = Usability::kUsable;
    bool tried = false;
    double load = 0;
    /// Expected time to the response in milliseconds, which decides whether leaving pays.
    double time = 0;
    /// Cost in milliseconds by which candidates are ordered.
    double cost = 0;
  };

  /// Distances to members; the index of an array by distance.
  static constexpr std::size_t kDistances = 3;
  using ByDistance = std::array<double, kDistances>;

  /// Untried candidates that are not excluded, by distance.
  struct Summary
  {
    /// Shortest expected time; infinite if there is none.
    ByDistance bestTime{};
    ByDistance loadSum{};
    std::array<std::size_t, kDistances> count{};
    /// Whether the own domain has a candidate that is not excluded but was tried.
    bool triedAtHome = false;
  };

  /// How far a request may go, and why further than its own domain.
  struct Reach
  {
    Distance distance = Distance::kOwnDomain;
    OverflowReason reason = OverflowReason::kShare;
  };

  Distance DistanceTo(const Member& aMember) const;
  /// Cost of the distance in milliseconds, with the weights of the policy if there is one.
  double DistanceCost(const Candidate& aCandidate, std::uint64_t aBodyBytes) const;
  double CostOf(const Candidate& aCandidate, std::uint64_t aBodyBytes, Time aNow) const;
  /// Whether the candidate's domain is in service and its region allowed.
  static bool MayServe(const Candidate& aCandidate, const Criteria& aCriteria);
  std::optional<PeerAddress> PickByDistance(const Candidates& aCandidates,
                                            const Criteria& aCriteria,
                                            Time aNow);
  std::optional<PeerAddress> PickByTime(const Candidates& aCandidates,
                                        const Criteria& aCriteria,
                                        Time aNow);
  /// Weight of a load report, which falls from 1 to 0 within aLifetime.
  static double ReportWeight(const Record& aRecord, Duration aLifetime, Time aNow);
  /// Means of the reported loads.
  static ByDistance MeanLoads(const Candidates& aCandidates, Time aNow);
  /// Estimated load of a target; aMeanLoad stands for a report that is too old.
  static double LoadOf(const Record& aRecord, double aMeanLoad, Time aNow);
  std::vector<Rated> Rate(const Candidates& aCandidates,
                          const Criteria& aCriteria,
                          Time aNow) const;
  static Summary Summarise(const std::vector<Rated>& aRated);
  /// Passes the comparison at each boundary on to overflow.
  void Observe(const Summary& aSummary, const std::string& aService, Time aNow);
  Reach ReachOf(const Summary& aSummary, const Criteria& aCriteria);
  /// Whether an urgent request should leave to this distance.
  bool IsUrgent(const Summary& aSummary, Distance aDistance, const Criteria& aCriteria) const;
  void UpdateMinGains();

  Options options;
  TargetSpeed speed;
  DomainOverflow overflow;
  Duration shortestObjective{};
  /// Requests that left since the last Poll, by distance and reason.
  std::map<std::pair<Distance, OverflowReason>, std::uint64_t> left;
  Random random;
  std::set<std::string> evacuatedDomains;
  std::map<std::string, Record> records;
  std::map<std::string, Candidates> candidatesByService;
};

} // namespace jackdawwind
