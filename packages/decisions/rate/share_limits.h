// Splits an organisation's rate and burst over the domains, and delays growth.
//
//   const BucketLimit limit = LimitOf(organisation, domains, "ikeja");
//   DelayedLimit delayed;
//   delayed.Set(limit, now);
//   delayed.InForce(now);   // grows 10 s after Set, shrinks at once
//
// Every node computes the same split from the same configuration. Bursts are split into whole
// tokens (largest remainder, ties by name), so that no domain saves up a fraction that never
// becomes a token; the sums over all domains are at most the organisation's rate and burst.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "util/clock.h"
#include "values/generated/configuration.h"

namespace jackdawwind {

/// How long growth waits: the time in which a configuration reaches every node (7 s) and a margin.
inline constexpr Duration kGrowthDelay = std::chrono::seconds(10);

/// A domain's part of an organisation's rate and burst.
struct BucketLimit
{
  double perSecond = 0;
  std::uint32_t burst = 0;
  friend bool operator==(const BucketLimit&, const BucketLimit&) = default;
};

/// Part of the domain; nothing when the domain is not configured.
BucketLimit LimitOf(const Organisation& aOrganisation,
                    const std::map<std::string, Domain>& aDomains,
                    const std::string& aDomain);

/// A limit whose growth takes effect kGrowthDelay after it was read: the least of the values read
/// within that time and the one before them. Before the first value the limit is zero.
class DelayedLimit
{
public:
  void Set(BucketLimit aLimit, Time aNow);
  BucketLimit InForce(Time aNow) const;
  /// Whether the limit is zero and stays so; the organisation may be forgotten.
  bool Gone(Time aNow) const;

private:
  struct Entry
  {
    Time readAt{};
    BucketLimit limit;
  };

  std::deque<Entry> entries;
};

} // namespace jackdawwind
