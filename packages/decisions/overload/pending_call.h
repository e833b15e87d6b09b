// A call that requests admission to a node's local target.
#pragma once

#include <cstdint>
#include <string>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

/// Properties of a call that decide on its admission.
struct PendingCall
{
  /// Number of the attempt's exchange at this node.
  std::uint64_t exchange = 0;
  std::string organisation;
  Importance importance = Importance::kNormal;
  /// From 0 to kPrioritiesPerClass - 1; higher values run first and are shed last.
  std::uint32_t priority = 0;
  Time arrived{};
  Time deadline{};
  friend bool operator==(const PendingCall&, const PendingCall&) = default;
};

} // namespace jackdawwind
