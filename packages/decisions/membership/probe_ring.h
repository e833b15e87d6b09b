// Selects the members to probe: mostly of the own domain, and each member once per round.
//
//   std::optional<std::string> node = ring.Next(table, random);
//
// There are two shuffled rounds, one of the own domain and one of all other domains. A member that
// joins is first probed in the next round of its kind. Costs one pass over the members per round.
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

  /// The next live member to probe; none when there is no other member.
  std::optional<std::string> Next(const MemberTable& aTable, Random& aRandom);

private:
  /// Fraction of the probes that go to the own domain.
  double OwnDomainShare(const MemberTable& aTable);
  /// Next live member of a round; refills and shuffles the round when it is used up.
  std::optional<std::string> NextFromRound(std::vector<std::string>& aRound,
                                           bool aOwnDomain,
                                           const MemberTable& aTable,
                                           Random& aRandom) const;

  std::string self;
  std::string domain;
  std::vector<std::string> ownDomainRound;
  std::vector<std::string> otherDomainsRound;
  /// Increases by the own domain's share with each probe; a probe of the own domain costs 1.
  double ownDomainCredit = 0;
  /// Last result of OwnDomainShare and the table's change count at that time; recomputed only when
  /// the table has changed.
  double ownDomainShare = 0;
  std::optional<std::uint64_t> shareChangeCount;
};

/// Puts aNodes into random order.
void Shuffle(std::vector<std::string>& aNodes, Random& aRandom);

} // namespace jackdawwind
