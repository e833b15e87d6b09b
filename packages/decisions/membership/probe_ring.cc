#include "decisions/membership/probe_ring.h"

#include <utility>

namespace jackdawwind {

namespace {

/// One probe of this many goes to another domain. Traffic between regions is billed, and every
/// member is probed by the peers of its own domain anyway.
constexpr std::uint64_t kOtherDomainEvery = 4;

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
  const bool otherFirst = ++this->turn % kOtherDomainEvery == 0;
  std::vector<std::string>& first = otherFirst ? this->others : this->own;
  std::vector<std::string>& second = otherFirst ? this->own : this->others;
  const std::optional<std::string> node = this->NextOf(first, !otherFirst, aTable, aRandom);
  return node ? node : this->NextOf(second, otherFirst, aTable, aRandom);
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
