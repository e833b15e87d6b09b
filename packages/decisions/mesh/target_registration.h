// What the target beside this node last said of itself.
//
//   TargetRegistration target;
//   if (target.Receive(beat, now)) { ... the state changed ... }
//   if (target.TakesWork(now)) { ... }
//
// Reports may be seconds late and out of order: within one start the higher sequence number wins,
// between starts the later time of birth. A start that signed off stays gone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class TargetRegistration
{
public:
  /// Silence after which the target counts as ended: several reporting intervals, since a report
  /// may come seconds late.
  static constexpr Duration kLease = std::chrono::seconds(8);

  enum class Verdict
  {
    kStale,
    kRenewed,
    kChanged,
  };

  Verdict Receive(const TargetHeartbeat& aBeat, Time aNow);
  /// False when the named start is not the current one.
  bool Receive(const TargetDeregistered& aGone);
  /// True when the lease has just lapsed.
  bool Expire(Time aNow);

  const std::optional<TargetHeartbeat>& Current() const { return this->current; }
  TargetState State() const;
  std::string Service() const;
  Time LeaseEnd() const { return this->leaseEnd; }

private:
  bool IsStale(const TargetHeartbeat& aBeat) const;

  std::optional<TargetHeartbeat> current;
  Time leaseEnd = Time::max();
  /// Start that signed off or lapsed, and when it was born.
  std::string endedInstance;
  std::uint64_t endedBorn = 0;
};

} // namespace jackdawwind
