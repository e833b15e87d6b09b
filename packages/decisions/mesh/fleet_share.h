// Computes which share of a fleet-wide quota the nodes on this side of a network partition may use,
// so that all sides together do not exceed the quota.
//
//   FleetShare share;
//   share.SetRegistered({ "a1", "a2", "b1" });
//   share.Update(members, now);
//   share.Share(now);          // 1 while nearly all expected nodes are visible
//
// Nodes that left cleanly are not expected, unless all nodes are leaving, nor are nodes that have
// been dead for kDeadNodeExpiry: a longer partition cannot be distinguished from nodes that are
// gone for good, whose part of every quota would otherwise be lost permanently.
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

  /// Time for which a dead node is still expected: longer than most partitions last.
  static constexpr Duration kDeadNodeExpiry = std::chrono::seconds(30);
  /// Time until all nodes have learned that a partition has healed: a few probe periods.
  static constexpr Duration kHealTime = std::chrono::seconds(3);
  /// Time without messages of other nodes after which this node counts as isolated: about two probe
  /// periods.
  static constexpr Duration kIsolationTimeout = std::chrono::milliseconds(2500);

  /// Nodes that are registered in the store, this one included.
  void SetRegistered(std::set<std::string> aNodes) { this->registered = std::move(aNodes); }
  void Update(const Members& aMembers, Time aNow);
  /// Notes that a message of another node arrived.
  void NotePeerMessage(Time aNow) { this->lastMessageAt = aNow; }

  /// Whether this node reaches no other node, because it has just started or is partitioned off.
  /// The only node of a fleet is not isolated. Missing messages reveal a partition long before
  /// probes have declared every other node dead.
  bool IsIsolated(Time aNow) const;
  /// Number of nodes in the whole fleet, including those on the other side of a partition.
  std::size_t Expected() const { return this->expectedNodes; }
  /// Fraction of a fleet-wide quota that the mutually visible nodes may use together. Suspects do
  /// not count, since most of them are on the other side while a partition is being detected. Nor
  /// do nodes that were dead until recently: after a partition the quota owners of both sides grant
  /// until all nodes have learned that it has healed.
  double Share(Time aNow) const;
  /// Whether this node has ever seen another one.
  bool HasSeenPeers() const { return this->seenPeers; }

private:
  /// aAllLeaving: no node is alive; those that are leaving still share the quotas.
  void NoteState(const Member& aMember, bool aAllLeaving, Time aNow);
  bool IsExpected(const std::string& aNode, Time aNow) const;

  std::set<std::string> registered;
  /// Nodes that left cleanly.
  std::set<std::string> departed;
  std::map<std::string, Time> deadSince;
  /// Nodes that were dead and became alive again, with the time of that change.
  std::map<std::string, Time> recoveredAt;
  bool seenPeers = false;
  Time lastMessageAt{};
  std::size_t liveNodes = 1;
  std::size_t expectedNodes = 1;
};

} // namespace jackdawwind
