// Finds the steward of one domain among its live members.
//
//   const PeerAddress* target = finder.Target(now);   // send the report there
//   finder.NoteAnswer(grant.Sender(), grant.Elected(), now);
//   finder.Advance();                                 // no answer or not elected: try the next
//
// Reports go to the node that last said it is elected; without one to the live members in the order
// of their ids, one after the other, beginning with the lowest. A steward has the lowest id of the
// members that were there at its election, so the walk meets it after the newcomers below it.
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
  /// Live members of the domain in the order of their ids; without this node itself.
  void SetMembers(std::vector<PeerAddress> aMembers);

  /// Steward if known, else the present member of the walk; null when there is none.
  const PeerAddress* Target(Time aNow) const;
  /// Steward that confirmed its lease within 2.5 s; null for none.
  const PeerAddress* Steward(Time aNow) const;
  /// Member with the lowest id; null for none.
  const PeerAddress* Lowest() const;

  void NoteAnswer(const std::string& aNode, bool aElected, Time aNow);
  /// Goes on to the next member.
  void Advance();
  /// Forgets the node's lease.
  void Forget(const std::string& aNode);

private:
  const PeerAddress* Find(const std::string& aNode) const;

  std::vector<PeerAddress> members;
  std::size_t position = 0;
  std::string steward;
  Time confirmedAt{};
};

} // namespace jackdawwind
