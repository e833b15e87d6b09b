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
// Pick is linear in the number of ready targets of the service; SetMembers is linear in the number
// of members.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/mesh/residency.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/common.h"
#include "values/generated/peer.h"
#include "values/generated/results.h"

namespace jackdawwind {

class NodePicker
{
public:
  struct Options
  {
    std::string node;
    std::string domain;
    std::string region;
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
  };

  /// Load that a target reported with an answer.
  struct Load
  {
    /// Running and queued requests per 1000 slots.
    std::uint32_t perMille = 0;
    /// 0 if unknown.
    std::uint32_t slots = 0;
  };

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

  Distance DistanceTo(const Member& aMember) const;
  static double DistanceCost(const Candidate& aCandidate, std::uint64_t aBodyBytes);
  static double CostOf(const Candidate& aCandidate, std::uint64_t aBodyBytes, Time aNow);

  Options options;
  Random random;
  std::set<std::string> evacuatedDomains;
  std::map<std::string, Record> records;
  std::map<std::string, std::vector<Candidate>> candidatesByService;
};

} // namespace jackdawwind
