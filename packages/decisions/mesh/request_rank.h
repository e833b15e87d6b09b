// Ranks that determine the order of load shedding: requests of higher rank are shed first.
//
// Nested calls, made by a target while it runs a request, have the lowest rank, since shedding one
// wastes the work of the whole call chain above it. Requests of callers are ranked by the priority
// of the organisation, then by the priority of the route.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace jackdawwind {

/// Lowest rank of a caller's request.
constexpr std::uint32_t kFirstCallerRank = 1000;
/// Ranks per organisation priority; the route priority selects a rank within that range.
constexpr std::uint32_t kRanksPerPriority = 100;

constexpr std::uint32_t
NestedCallRank()
{
  return 0;
}

/// Rank of a caller's request; without an organisation priority the route priority replaces it.
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

/// Route priority that is encoded in the rank of a caller's request.
constexpr std::uint32_t
RoutePriorityOf(std::uint32_t aRank)
{
  return aRank % kRanksPerPriority;
}

} // namespace jackdawwind
