// Splits an organisation's rate and burst over the domains, and delays increases of a limit.
//
//   const BucketLimit limit = LimitOf(organisation, domains, "ikeja");
//   DelayedLimit delayed;
//   delayed.Set(limit, now);
//   delayed.InForce(now);   // an increase takes effect 10 s after Set, a decrease at once
//
// Every node computes the same split from the same configuration. Bursts are split into whole
// tokens by largest remainder, with ties broken by domain name, so that no domain accumulates a
// fraction that never becomes a token. The sums over all domains are at most the organisation's
// rate and burst.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "util/clock.h"
#include "values/generated/configuration.h"

namespace jackdawwind {

/// Delay of an increase: the time in which a configuration reaches every node (7 s) and a margin.
inline constexpr Duration kGrowthDelay = std::chrono::seconds(10);

/// A domain's part of an organisation's rate (tokens per second) and burst (tokens).
struct BucketLimit
{
  double perSecond = 0;
  std::uint32_t burst = 0;
  friend bool operator==(const BucketLimit&, const BucketLimit&) = default;
};

/// The domain's part; zero when the domain is not configured or its burst is less than one token.
BucketLimit LimitOf(const Organisation& aOrganisation,
                    const std::map<std::string, Domain>& aDomains,
                    const std::string& aDomain);

/// A limit that takes an increase into force kGrowthDelay after Set and a decrease at once: the
/// minimum of the values set within that time and of the one before them. Before the first value
/// the limit is zero.
class DelayedLimit
{
public:
  void Set(BucketLimit aLimit, Time aNow);
  BucketLimit InForce(Time aNow) const;
  /// Whether the limit is zero for good, so that the organisation's state can be removed.
  bool IsRemovable(Time aNow) const;

private:
  struct Entry
  {
    Time readAt{};
    BucketLimit limit;
  };

  std::deque<Entry> entries;
};

} // namespace jackdawwind
