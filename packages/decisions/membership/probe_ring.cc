#include "decisions/membership/probe_ring.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

/// Most probes stay in the own domain: traffic between regions is billed, and every member is
/// probed by the peers of its own domain anyway.
constexpr double kOwnShare = 0.75;

/// In a domain with fewer others the share is less, or changes would hardly leave it.
constexpr double kFullDomain = 8;

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
  this->credit += this->OwnShare(aTable);
  const bool ownFirst = this->credit >= 1;
  this->credit -= ownFirst ? 1 : 0;
  std::vector<std::string>& first = ownFirst ? this->own : this->others;
  std::vector<std::string>& second = ownFirst ? this->others : this->own;
  const std::optional<std::string> node = this->NextOf(first, ownFirst, aTable, aRandom);
  return node ? node : this->NextOf(second, !ownFirst, aTable, aRandom);
}

double
ProbeRing::OwnShare(const MemberTable& aTable)
{
  if (this->ownShareAt == aTable.ChangeCount()) {
    return this->ownShare;
  }
  double ownCount = 0;
  double allCount = 0;
  for (const auto& [node, member] : aTable.All()) {
    if (node != this->self && member.State() != NodeState::kDead) {
      allCount += 1;
      ownCount += member.GetDomain() == this->domain ? 1 : 0;
    }
  }
  const double wanted = kOwnShare * std::min(1.0, ownCount / kFullDomain);
  this->ownShare = std::max(wanted, ownCount / std::max(allCount, 1.0));
  this->ownShareAt = aTable.ChangeCount();
  return this->ownShare;
}

std::optional<std::string>
ProbeRing::NextOf(std::vector<std::string>& aRound,
                  bool aOwnDomain,
                  const MemberTable& aTable,
                  Random& aRandom) const
{
  constexpr int kRounds = 2; // the rest of the present round, then a new one
  for (int round = 0; round < kRounds; ++round) {
    while (!aRound.empty()) {
      const std::string node = aRound.back();
      aRound.pop_back();
      if (aTable.Lives(node)) {
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
