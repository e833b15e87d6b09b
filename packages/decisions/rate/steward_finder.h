// Locates the steward of one domain among its live members.
//
//   const PeerAddress* target = finder.Target(now);   // send the report there
//   finder.NoteAnswer(grant.Sender(), grant.Elected(), now);
//   finder.Advance();                                 // no answer or not elected: try the next
//
// Reports go to the node that last confirmed its lease; without one, to the live members in turn,
// in order of their ids from the lowest. A steward has the lowest id of the members that were
// present at its election, so the search reaches it right after the newer members with lower ids.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

class StewardFinder
{
public:
  /// Live members of the domain, ordered by id and without this node.
  void SetMembers(std::vector<PeerAddress> aMembers);

  /// The steward if known, else the current member of the search; null when there is none.
  const PeerAddress* Target(Time aNow) const;
  /// The steward, if it confirmed its lease within the last 2.5 s; null otherwise.
  const PeerAddress* Steward(Time aNow) const;
  /// The member with the lowest id; null when there is none.
  const PeerAddress* Lowest() const;

  /// Records whether the node that answered holds the lease.
  void NoteAnswer(const std::string& aNode, bool aElected, Time aNow);
  /// Moves the search to the next member.
  void Advance();
  /// Drops the node as the known steward and restarts the search at the lowest id.
  void Forget(const std::string& aNode);

private:
  const PeerAddress* Find(const std::string& aNode) const;

  std::vector<PeerAddress> members;
  std::size_t position = 0;
  std::string steward;
  Time confirmedAt{};
};

} // namespace jackdawwind
