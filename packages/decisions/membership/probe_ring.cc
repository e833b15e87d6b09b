#include "decisions/membership/probe_ring.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

/// Most probes stay in the own domain, because traffic between regions is billed and each member is
/// probed by the peers of its own domain.
constexpr double kOwnDomainShare = 0.75;

/// In a domain with fewer peers than this the share is proportionally smaller, because otherwise
/// changes would spread to other domains too slowly.
constexpr double kFullSharePeers = 8;

} // namespace

void
Shuffle(std::vector<std::string>& aNodes, Random& aRandom)
{
  for (std::size_t left = aNodes.size(); left > 1; --left) {
    std::swap(aNodes[left - 1], aNodes[aRandom.Below(left)]);
  }
}

ProbeRing::ProbeRing(std::string aSelf, std::string aDomain)
  : self(std::move(aSelf))
  , domain(std::move(aDomain))
{
}

std::optional<std::string>
ProbeRing::Next(const MemberTable& aTable, Random& aRandom)
{
  this->ownDomainCredit += this->OwnDomainShare(aTable);
  const bool ownFirst = this->ownDomainCredit >= 1;
  this->ownDomainCredit -= ownFirst ? 1 : 0;
  std::vector<std::string>& first = ownFirst ? this->ownDomainRound : this->otherDomainsRound;
  std::vector<std::string>& second = ownFirst ? this->otherDomainsRound : this->ownDomainRound;
  const std::optional<std::string> node = this->NextFromRound(first, ownFirst, aTable, aRandom);
  return node ? node : this->NextFromRound(second, !ownFirst, aTable, aRandom);
}

double
ProbeRing::OwnDomainShare(const MemberTable& aTable)
{
  if (this->shareChangeCount == aTable.ChangeCount()) {
    return this->ownDomainShare;
  }
  double ownDomainCount = 0;
  double liveCount = 0;
  for (const auto& [node, member] : aTable.All()) {
    if (node != this->self && member.State() != NodeState::kDead) {
      liveCount += 1;
      ownDomainCount += member.GetDomain() == this->domain ? 1 : 0;
    }
  }
  const double preferredShare = kOwnDomainShare * std::min(1.0, ownDomainCount / kFullSharePeers);
  this->ownDomainShare = std::max(preferredShare, ownDomainCount / std::max(liveCount, 1.0));
  this->shareChangeCount = aTable.ChangeCount();
  return this->ownDomainShare;
}

std::optional<std::string>
ProbeRing::NextFromRound(std::vector<std::string>& aRound,
                         bool aOwnDomain,
                         const MemberTable& aTable,
                         Random& aRandom) const
{
  constexpr int kRounds = 2; // the rest of the current round, then a new one
  for (int round = 0; round < kRounds; ++round) {
    while (!aRound.empty()) {
      const std::string node = aRound.back();
      aRound.pop_back();
      if (aTable.IsLive(node)) {
        return node;
      }
    }
    for (const auto& [node, member] : aTable.All()) {
      const bool inDomain = member.GetDomain() == this->domain;
      if (node != this->self && member.State() != NodeState::kDead && inDomain == aOwnDomain) {
        aRound.push_back(node);
      }
    }
    Shuffle(aRound, aRandom);
  }
  return std::nullopt;
}

} // namespace jackdawwind
