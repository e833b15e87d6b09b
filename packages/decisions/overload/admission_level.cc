#include "decisions/overload/admission_level.h"

#include <algorithm>

namespace jackdawwind {

void
AdmissionLevel::Configure(const LevelSteps& aSteps, Duration aDelayTarget)
{
  this->steps = aSteps;
  this->delayTarget = aDelayTarget;
}

void
AdmissionLevel::Reset()
{
  this->value = 0;
  this->aboveTarget = false;
}

void
AdmissionLevel::Observe(Duration aDelay, bool aIdle, Time aNow)
{
  const bool delayAboveTarget = aDelay > this->delayTarget;
  if (delayAboveTarget != this->aboveTarget) {
    this->aboveTarget = delayAboveTarget;
    this->lastChange = aNow;
    return;
  }
  if (aNow < this->NextStepTime()) {
    return;
  }
  this->lastChange = aNow;
  if (this->aboveTarget) {
    this->value += this->steps.up;
    return;
  }
  // At an idle target the level halves with each step, so that it soon stops rejecting calls.
  const std::uint32_t step = aIdle ? std::max(this->steps.down, this->value / 2) : this->steps.down;
  this->value -= std::min(this->value, step);
}

Time
AdmissionLevel::NextStepTime() const
{
  return this->lastChange + (this->aboveTarget ? this->steps.upAfter : this->steps.downAfter);
}

} // namespace jackdawwind
