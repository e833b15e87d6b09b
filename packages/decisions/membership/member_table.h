// Member records of the fleet and their merge rules.
//
//   std::optional<TableChange> change = table.Merge(member);
//
// The record with the higher (incarnation, version, state) wins, so the result does not depend on
// the order of arrival. A forgotten node leaves a tombstone, which rejects its old records until it
// expires. Merging costs one tree access; the table hash is updated incrementally.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

/// A member record before a change (none for a new node) and after it.
struct TableChange
{
  std::optional<Member> before;
  Member after;
};

/// Whether aLeft replaces aRight: higher incarnation, then higher version, then dead over leaving
/// over suspect over alive.
bool Supersedes(const Member& aLeft, const Member& aRight);

/// A copy of aMember with another node state.
Member WithState(const Member& aMember, NodeState aState);

class MemberTable
{
public:
  /// Merges a record received from another node; no change when it does not supersede the known
  /// record or is an unconfirmed death.
  std::optional<TableChange> Merge(const Member& aMember);
  /// Whether aMember reports as dead a process that is alive or suspect in this table. When a
  /// partition heals, each side has declared the other dead. A side must not accept that for its
  /// own nodes, not even as a suspicion, because calls avoid suspects; this node's probes decide.
  bool IsUnconfirmedDeath(const Member& aMember) const;
  /// Inserts or replaces a record regardless of its precedence.
  TableChange Put(const Member& aMember);
  /// Removes a dead node and, until aUntil, rejects its records without a higher incarnation or
  /// version.
  void Forget(const std::string& aNode, Time aUntil);
  /// Removes the tombstones that have expired.
  void ExpireTombstones(Time aNow);

  /// Null when the node is not known.
  const Member* Find(const std::string& aNode) const;
  /// Whether the node is known and not dead.
  bool IsLive(const std::string& aNode) const;
  /// Records, including those of tombstones, that supersede aTheirs, and live members missing
  /// there.
  std::vector<Member> NewerThan(const std::vector<Member>& aTheirs) const;

  const std::map<std::string, Member>& All() const { return this->members; }
  /// Number of nodes that are not dead.
  std::size_t LiveCount() const { return this->liveCount; }
  /// Hash of the live members, independent of the order of changes. Dead members are excluded
  /// because nodes forget them at different times.
  std::uint64_t Hash() const { return this->hash; }
  /// Increases with every change.
  std::uint64_t ChangeCount() const { return this->changes; }

private:
  struct Tombstone
  {
    Member member;
    Time expiresAt{};
  };

  /// Adds a live member to the count and the hash, or removes it from them.
  void UpdateTotals(const Member& aMember, bool aAdd);

  std::map<std::string, Member> members;
  std::map<std::string, Tombstone> tombstones;
  std::size_t liveCount = 0;
  std::uint64_t hash = 0;
  std::uint64_t changes = 0;
};

} // namespace jackdawwind
