// Member records of the fleet and the rules by which they are merged.
//
//   std::optional<TableChange> change = table.Merge(member);
//
// The order in which records arrive does not matter: the higher (incarnation, version, state) wins.
// Merging costs one tree access; the hash of the table is kept up to date with every change.
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

/// A record before (none for a new node) and after a merge.
struct TableChange
{
  std::optional<Member> before;
  Member after;
};

/// Whether aLeft replaces aRight: higher incarnation, then higher version, then dead over leaving
/// over suspect over alive.
bool Supersedes(const Member& aLeft, const Member& aRight);

/// aMember in another node state.
Member WithState(const Member& aMember, NodeState aState);

class MemberTable
{
public:
  /// Takes a record from another node; no change when the table already knows as much or when it is
  /// a doubtful death.
  std::optional<TableChange> Merge(const Member& aMember);
  /// Whether aMember says that a process is dead that is alive or suspect here. After a partition
  /// heals, the two sides hold each other for dead; a side must not adopt that about its own live
  /// nodes, not even as a suspicion, because calls avoid suspects. The own probes decide.
  bool IsDoubtfulDeath(const Member& aMember) const;
  /// Replaces a record without asking for its age.
  TableChange Put(const Member& aMember);
  /// Removes a dead node; older records of it stay ignored until aUntil.
  void Forget(const std::string& aNode, Time aUntil);
  /// Drops the memory of forgotten nodes whose time is over.
  void DropForgotten(Time aNow);

  /// Null when the node is not known.
  const Member* Find(const std::string& aNode) const;
  /// Whether the node is known and not dead.
  bool Lives(const std::string& aNode) const;
  /// Records, forgotten ones included, that are newer than aTheirs or missing there.
  std::vector<Member> NewerThan(const std::vector<Member>& aTheirs) const;

  const std::map<std::string, Member>& All() const { return this->members; }
  /// Number of nodes that are not dead.
  std::size_t LiveCount() const { return this->liveCount; }
  /// Equal for equal tables whatever the order of the changes. The dead do not count, because nodes
  /// forget them at different times.
  std::uint64_t Hash() const { return this->hash; }
  /// Grows with every change.
  std::uint64_t ChangeCount() const { return this->changes; }

private:
  struct Forgotten
  {
    Member member;
    Time until{};
  };

  void Count(const Member& aMember, bool aAdd);

  std::map<std::string, Member> members;
  std::map<std::string, Forgotten> forgotten;
  std::size_t liveCount = 0;
  std::uint64_t hash = 0;
  std::uint64_t changes = 0;
};

} // namespace jackdawwind
