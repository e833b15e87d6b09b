#include "decisions/graceful_shutdown.h"

namespace jackdawwind {

bool
GracefulShutdown::Begin(Times aTimes, Effects& aEffects)
{
  if (this->Begun()) {
    return false;
  }
  this->stage = Stage::kAnnounced;
  this->times = aTimes;
  AddLogLine(aEffects, LogEvent::kDrainStarted, "");
  return true;
}

bool
GracefulShutdown::MustExit(Time aNow) const
{
  return this->Begun() && this->stage != Stage::kFinished && aNow >= this->times.forcedExitAt;
}

void
GracefulShutdown::Advance(bool aIdle, Time aNow, Effects& aEffects)
{
  if (this->stage == Stage::kAnnounced && aNow >= this->times.refuseAt) {
    this->stage = Stage::kRefusing;
  }
  if (this->stage != Stage::kRefusing || (!aIdle && aNow < this->times.forcedExitAt)) {
    return;
  }
  this->stage = Stage::kFinished;
  AddLogLine(aEffects, aIdle ? LogEvent::kDrainFinished : LogEvent::kDrainTimedOut, "");
  aEffects.push_back(DrainFinished());
}

Time
GracefulShutdown::NextWake() const
{
  switch (this->stage) {
    case Stage::kAnnounced:
      return this->times.refuseAt;
    case Stage::kRefusing:
      return this->times.forcedExitAt;
    case Stage::kServing:
    case Stage::kFinished:
      break;
  }
  return Time::max();
}

} // namespace jackdawwind
