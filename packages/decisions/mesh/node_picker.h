// Selects the node, and with it the target, to which a request is sent.
//
//   NodePicker picker(options, seed);
//   std::optional<PeerAddress> peer =
//     picker.Pick({ .service = "fleet", .tried = tried }, members, now);
//   picker.NoteSent(peer->Node());
//   picker.NoteAnswer(peer->Node(), load, now);        // or NoteFailure
//
// The cost of a candidate is its distance plus the queueing delay estimated from its last reported
// load and the requests sent to it since; the candidate with the lowest cost is selected. Near
// targets are used until they are busy, so traffic crosses domains and regions only when that
// reduces the latency. A node that failed is avoided for a time that doubles with each consecutive
// failure. Pick is linear in the number of members.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "util/clock.h"
#include "util/random.h"
#include "values/generated/peer.h"

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
  };

  /// Returns nothing if no untried live node has a ready target of the service. Suspect nodes, and
  /// nodes that failed recently, are selected only if there is no other candidate.
  std::optional<PeerAddress> Pick(const Criteria& aCriteria, const Members& aMembers, Time aNow);
  void NoteSent(const std::string& aNode);
  void NoteAnswer(const std::string& aNode, std::uint32_t aLoadPerMille, Time aNow);
  /// Notes that the connection failed or broke.
  void NoteFailure(const std::string& aNode, Time aNow);
  /// Notes that the request ended without information about the node's load or health.
  void NoteEnded(const std::string& aNode);
  /// Drops the record of a node that has left the membership.
  void Forget(const std::string& aNode);

private:
  struct Record
  {
    /// Last reported load, 1 when full, and the time of the report.
    double load = 0;
    Time loadAt{};
    std::uint32_t inFlight = 0;
    /// Requests sent since the last report.
    std::uint32_t sentSinceReport = 0;
    /// Consecutive failures.
    std::uint32_t failures = 0;
    Time excludedUntil{};
  };

  double DistanceOf(const Member& aMember, std::uint64_t aBodyBytes) const;
  double CostOf(const Member& aMember, std::uint64_t aBodyBytes, Time aNow) const;

  Options options;
  Random random;
  std::map<std::string, Record> records;
};

} // namespace jackdawwind
