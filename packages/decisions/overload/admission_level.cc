#include "decisions/overload/admission_level.h"

#include <algorithm>

namespace jackdawwind {

void
AdmissionLevel::Configure(const LevelSteps& aSteps, Duration aDelayTarget)
{
  this->steps = aSteps;
  this->target = aDelayTarget;
}

void
AdmissionLevel::Reset()
{
  this->value = 0;
  this->above = false;
}

void
AdmissionLevel::Observe(Duration aDelay, bool aIdle, Time aNow)
{
  const bool nowAbove = aDelay > this->target;
  if (nowAbove != this->above) {
    this->above = nowAbove;
    this->since = aNow;
    return;
  }
  if (aNow < this->NextStep()) {
    return;
  }
  this->since = aNow;
  if (this->above) {
    this->value += this->steps.up;
    return;
  }
  // A target with free slots has no use for a level that takes long to fall.
  const std::uint32_t step = aIdle ? std::max(this->steps.down, this->value / 2) : this->steps.down;
  this->value -= std::min(this->value, step);
}

Time
AdmissionLevel::NextStep() const
{
  return this->since + (this->above ? this->steps.upAfter : this->steps.downAfter);
}

} // namespace jackdawwind
