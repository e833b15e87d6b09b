// A call that waits for the target beside a node.
#pragma once

#include <cstdint>
#include <string>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

/// A call that asks to run at the target.
struct PendingCall
{
  std::uint64_t exchange = 0;
  std::string organisation;
  Importance importance = Importance::kNormal;
  std::uint32_t priority = 0;
  Time arrived{};
  Time deadline{};
  friend bool operator==(const PendingCall&, const PendingCall&) = default;
};

} // namespace jackdawwind
