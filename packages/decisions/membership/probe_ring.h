// Chooses the members to probe: own domain most of the time, every member once per round.
//
//   std::optional<std::string> node = ring.Next(table, random);
//
// Two shuffled rounds, one of the own domain and one of all other members; a member that joins
// waits at most until the next round. Costs one pass over the members per round.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decisions/membership/member_table.h"
#include "util/random.h"

namespace jackdawwind {

class ProbeRing
{
public:
  /// aSelf is never chosen.
  ProbeRing(std::string aSelf, std::string aDomain);

  /// A member that is not dead; none when there is no other.
  std::optional<std::string> Next(const MemberTable& aTable, Random& aRandom);

private:
  /// Part of the probes that go to the own domain.
  double OwnShare(const MemberTable& aTable);
  std::optional<std::string> NextOf(std::vector<std::string>& aRound,
                                    bool aOwnDomain,
                                    const MemberTable& aTable,
                                    Random& aRandom) const;

  std::string self;
  std::string domain;
  std::vector<std::string> own;
  std::vector<std::string> others;
  /// Grows by the share of own probes each time; an own probe takes one.
  double credit = 0;
  /// Last result of OwnShare and the table's count of changes then; a quiet table is not counted
  /// again.
  double ownShare = 0;
  std::optional<std::uint64_t> ownShareAt;
};

/// Puts aNodes into random order.
void Shuffle(std::vector<std::string>& aNodes, Random& aRandom);

} // namespace jackdawwind
