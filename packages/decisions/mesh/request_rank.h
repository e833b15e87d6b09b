// Order in which requests are shed: higher ranks first.
//
// Calls of running targets come before requests of callers, since a call that is refused wastes the
// whole chain above it. Among callers' requests the organisation's priority goes before the
// route's.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace jackdawwind {

/// Callers' requests have this rank or a higher one.
constexpr std::uint32_t kFirstCallerRank = 1000;
/// Ranks between two priorities of organisations; routes rank within.
constexpr std::uint32_t kRanksPerPriority = 100;

constexpr std::uint32_t
NestedCallRank()
{
  return 0;
}

constexpr std::uint32_t
CallerRank(std::optional<std::uint32_t> aOrganisationPriority, std::uint32_t aRoutePriority)
{
  return kFirstCallerRank + aOrganisationPriority.value_or(aRoutePriority) * kRanksPerPriority +
         std::min(aRoutePriority, kRanksPerPriority - 1);
}

constexpr bool
IsNestedCall(std::uint32_t aRank)
{
  return aRank < kFirstCallerRank;
}

/// Priority of the route that a caller's rank was made from.
constexpr std::uint32_t
RoutePriorityOf(std::uint32_t aRank)
{
  return aRank % kRanksPerPriority;
}

} // namespace jackdawwind
