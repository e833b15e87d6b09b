// Admission level: the lowest rank that is admitted under overload. The level rises while the
// queueing delay stays above its target and falls while it stays at or below it.
//
//   level.Observe(queue.LongestDelay(level.RaisedLevel(), now), idle, now);
//   if (RankOf(call.importance, call.priority) < level.Value()) { ... }   // refuse
//
// Cost: constant. Guarantees: never rises above the rank of a queued call, so calls of the highest
// ranks are always admitted.
#pragma once

#include <cstdint>

#include "decisions/overload/shed_policy.h"
#include "util/clock.h"

namespace jackdawwind {

class AdmissionLevel
{
public:
  void Configure(const LevelSteps& aSteps, Duration aDelayTarget);
  /// Resets the level to zero, which admits every rank.
  void Reset();

  /// Level after the next step up. Only the delay of calls of at least this rank justifies the
  /// step: calls of lower ranks run last, so their delay does not show overload.
  std::uint32_t RaisedLevel() const { return this->value + this->steps.up; }
  /// Updates the level. aDelay is the longest queueing delay of calls with a rank of at least
  /// RaisedLevel(); aIdle is set when the queue is empty and a slot is free.
  void Observe(Duration aDelay, bool aIdle, Time aNow);

  std::uint32_t Value() const { return this->value; }
  /// Earliest time of the next step if the delay does not cross its target before.
  Time NextStepTime() const;

private:
  LevelSteps steps;
  Duration delayTarget{};
  std::uint32_t value = 0;
  bool aboveTarget = false;
  /// Time of the last step, or of the last crossing of the delay target if that is later.
  Time lastChange{};
};

} // namespace jackdawwind
