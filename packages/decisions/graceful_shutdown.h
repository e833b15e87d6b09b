// Times of a graceful shutdown: a node that was asked to stop goes on serving until its callers
// have noticed, then refuses new requests, and ends when the last one has ended.
//
//   GracefulShutdown shutdown;
//   shutdown.Begin({ .refuseAt = now + delay, .forcedExitAt = now + limit }, effects);
//   shutdown.Advance(entry.Count() == 0, now, effects);    // after every event
//
// Not safe for more than one thread.
#pragma once

#include "decisions/effects.h"
#include "util/clock.h"

namespace jackdawwind {

class GracefulShutdown
{
public:
  struct Times
  {
    /// New requests are refused from then on.
    Time refuseAt{};
    /// The node ends then, whatever still runs.
    Time forcedExitAt{};
  };

  /// Only the first call counts. False when the shutdown had begun before.
  bool Begin(Times aTimes, Effects& aEffects);
  /// Ends the shutdown with DrainFinished when it is due.
  void Advance(bool aIdle, Time aNow, Effects& aEffects);

  bool Begun() const { return this->stage != Stage::kServing; }
  /// Whether new requests are refused; true as well once the shutdown has ended.
  bool RefusesNewRequests() const
  {
    return this->stage == Stage::kRefusing || this->stage == Stage::kFinished;
  }
  Time NextWake() const;

private:
  enum class Stage
  {
    kServing,
    kNoticed,
    kRefusing,
    kFinished,
  };

  Stage stage = Stage::kServing;
  Times times;
};

} // namespace jackdawwind
