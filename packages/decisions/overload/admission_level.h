// Threshold over the rank of calls that rises while the queueing delay stays above its target.
//
//   level.Observe(queue.Delay(level.NextRank(), now), freeSlots, now);
//   if (RankOf(call.importance, call.priority) < level.Value()) { ... }   // refuse
//
// Cost: constant. Guarantees: never rises above the rank of a call that waits, so the highest ranks
// always pass.
#pragma once

#include <cstdint>

#include "decisions/overload/shed_policy.h"
#include "util/clock.h"

namespace jackdawwind {

class AdmissionLevel
{
public:
  void Configure(const LevelSteps& aSteps, Duration aDelayTarget);
  /// Back to admitting all.
  void Reset();

  /// Rank from which on a call's delay is a reason to raise the level: that after the next step.
  /// Calls of lower ranks that wait justify no step, since they run after all others.
  std::uint32_t NextRank() const { return this->value + this->steps.up; }
  /// aDelay is that of the longest waiting call of NextRank() or higher; aIdle tells that nothing
  /// is queued and a slot is free.
  void Observe(Duration aDelay, bool aIdle, Time aNow);

  std::uint32_t Value() const { return this->value; }
  /// Time at which the next step may be due if the delay stays on its side of the target.
  Time NextStep() const;

private:
  LevelSteps steps;
  Duration target{};
  std::uint32_t value = 0;
  bool above = false;
  /// Since when the delay is on its present side of the target, or the last step.
  Time since{};
};

} // namespace jackdawwind
