// How much of the fleet this node sees, so that the parts of a cut fleet together use no more of a
// quota than the whole.
//
//   FleetShare share;
//   share.SetRegistered({ "a1", "a2", "b1" });
//   share.Update(members, now);
//   share.Share();             // 1 while nearly all expected nodes are seen
//
// Nodes that signed off are not expected, nor are those that have been dead for kCutTime: a cut
// that lasts longer cannot be told from nodes that are gone for good, and their part of every quota
// would be lost for ever.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class FleetShare
{
public:
  using Members = std::map<std::string, Member>;

  /// Nodes are expected for this long after they fell silent: longer than cuts usually last.
  static constexpr Duration kCutTime = std::chrono::seconds(30);
  /// Time for the end of a cut to become known everywhere: a few periods of the probes.
  static constexpr Duration kMergeTime = std::chrono::seconds(3);
  /// Longest time without a message while others are in reach: about two periods of the probes.
  static constexpr Duration kSilence = std::chrono::milliseconds(2500);

  /// Nodes that the store's register names, this one included.
  void SetRegistered(std::set<std::string> aNodes) { this->registered = std::move(aNodes); }
  void Update(const Members& aMembers, Time aNow);
  /// A membership message of another node arrived.
  void NotePeerMessage(Time aNow) { this->heardAt = aNow; }

  /// Whether this node reaches no other one: it has just started, or it is cut off. A cut shows in
  /// the silence of all others long before the probes have found each of them dead.
  bool IsAlone(Time aNow) const { return this->live <= 1 || aNow - this->heardAt > kSilence; }
  /// Nodes of the whole fleet, those behind a cut included.
  std::size_t Expected() const { return this->expected; }
  /// Part of a fleet-wide quota that the nodes that see each other may use together. Suspects do
  /// not count: while a cut is being noticed most of them are on its other side. Nor do nodes that
  /// have just come back from the dead: after a cut both sides' keepers act until all have heard of
  /// its end.
  double Share(Time aNow) const;
  /// Whether this node has ever seen another one.
  bool HadCompany() const { return this->hadCompany; }

private:
  void NoteState(const Member& aMember, Time aNow);
  bool IsExpected(const std::string& aNode, Time aNow) const;

  std::set<std::string> registered;
  /// Nodes that signed off.
  std::set<std::string> departed;
  std::map<std::string, Time> deadSince;
  /// Nodes that came back from the dead, and when.
  std::map<std::string, Time> backSince;
  bool hadCompany = false;
  Time heardAt{};
  std::size_t live = 1;
  std::size_t expected = 1;
};

} // namespace jackdawwind
