#include "decisions/rate/share_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace jackdawwind {

namespace {

/// Shares like 0.1 have no exact binary form; their sum may differ from a whole number by this
/// much.
constexpr double kRoundingTolerance = 1e-9;

struct DomainPart
{
  std::string domain;
  double share = 0;
  std::uint32_t tokens = 0;
  double remainder = 0;
};

std::uint32_t
WholeTokens(double aTokens)
{
  constexpr double kMaxTokens = 1e9; // fits into 32 bits with room for sums
  return static_cast<std::uint32_t>(
    std::floor(std::clamp(aTokens + kRoundingTolerance, 0.0, kMaxTokens)));
}

std::vector<DomainPart>
SplitBurst(double aBurst, const std::map<std::string, Domain>& aDomains)
{
  std::vector<DomainPart> parts;
  double shares = 0;
  std::uint32_t assigned = 0;
  for (const std::pair<const std::string, Domain>& domain : aDomains) {
    const double share = domain.second.Share();
    if (share <= 0) {
      continue;
    }
    const double tokens = aBurst * share;
    const std::uint32_t whole = WholeTokens(tokens);
    parts.push_back(DomainPart{ domain.first, share, whole, tokens - whole });
    shares += share;
    assigned += whole;
  }
  // With shares that sum to slightly less than 1, a burst of one must still yield its one token.
  const std::uint32_t total = std::max(WholeTokens(aBurst * shares), aBurst >= 1 ? 1U : 0U);
  std::stable_sort(
    parts.begin(), parts.end(), [](const DomainPart& aLeft, const DomainPart& aRight) {
      return aLeft.remainder > aRight.remainder + kRoundingTolerance;
    });
  for (DomainPart& part : parts) {
    if (assigned >= total) {
      break;
    }
    ++part.tokens;
    ++assigned;
  }
  return parts;
}

} // namespace

BucketLimit
LimitOf(const Organisation& aOrganisation,
        const std::map<std::string, Domain>& aDomains,
        const std::string& aDomain)
{
  const std::vector<DomainPart> parts = SplitBurst(aOrganisation.Burst(), aDomains);
  double shares = 0;
  double withTokens = 0;
  for (const DomainPart& part : parts) {
    shares += part.share;
    withTokens += part.tokens > 0 ? part.share : 0;
  }
  for (const DomainPart& part : parts) {
    if (part.domain == aDomain && part.tokens > 0) {
      // Domains without a whole token cannot use their rate; the other domains receive it.
      const double rate = aOrganisation.Rate() * std::min(1.0, shares) * part.share / withTokens;
      return BucketLimit{ rate, part.tokens };
    }
  }
  return BucketLimit{};
}

void
DelayedLimit::Set(BucketLimit aLimit, Time aNow)
{
  if (!this->entries.empty() && this->entries.back().limit == aLimit) {
    return;
  }
  if (this->entries.empty()) {
    this->entries.push_back(Entry{ aNow - kGrowthDelay, BucketLimit{} });
  }
  while (this->entries.size() > 1 && this->entries[1].readAt + kGrowthDelay <= aNow) {
    this->entries.pop_front();
  }
  this->entries.push_back(Entry{ aNow, aLimit });
}

BucketLimit
DelayedLimit::InForce(Time aNow) const
{
  if (this->entries.empty()) {
    return BucketLimit{};
  }
  BucketLimit least = this->entries.back().limit;
  for (std::size_t index = 0; index + 1 < this->entries.size(); ++index) {
    if (this->entries[index + 1].readAt + kGrowthDelay > aNow) {
      least.perSecond = std::min(least.perSecond, this->entries[index].limit.perSecond);
      least.burst = std::min(least.burst, this->entries[index].limit.burst);
    }
  }
  return least;
}

bool
DelayedLimit::IsRemovable(Time aNow) const
{
  return this->entries.empty() || (this->entries.back().limit == BucketLimit{} &&
                                   this->entries.back().readAt + kGrowthDelay <= aNow);
}

} // namespace jackdawwind
