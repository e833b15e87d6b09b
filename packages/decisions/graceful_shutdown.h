// Phases of a graceful shutdown. After a stop request the node serves new requests for a delay, so
// that its callers and peers can learn of the shutdown; then it rejects new requests, and exits
// once no request is in flight or a time limit has passed.
//
//   GracefulShutdown shutdown;
//   shutdown.Begin({ .refuseAt = now + delay, .forcedExitAt = now + limit }, effects);
//   shutdown.Advance(entry.Count() == 0, now, effects);    // after every event
//
// Not thread-safe.
#pragma once

#include "decisions/effects.h"
#include "util/clock.h"

namespace jackdawwind {

class GracefulShutdown
{
public:
  struct Times
  {
    /// Time from which new requests are rejected.
    Time refuseAt{};
    /// Time at which the node exits even if requests are still in flight.
    Time forcedExitAt{};
  };

  /// Starts the shutdown. Later calls have no effect and return false.
  bool Begin(Times aTimes, Effects& aEffects);
  /// Moves to the phase that is due at aNow, and adds DrainFinished when the shutdown completes.
  /// aIdle: no request is in flight.
  void Advance(bool aIdle, Time aNow, Effects& aEffects);

  bool Begun() const { return this->stage != Stage::kServing; }
  /// Whether new requests are rejected; stays true after the shutdown has completed.
  bool RefusesNewRequests() const
  {
    return this->stage == Stage::kRefusing || this->stage == Stage::kFinished;
  }
  /// Time at which Advance() is due; Time::max() when no phase change is pending.
  Time NextWake() const;

private:
  enum class Stage
  {
    kServing,
    /// The shutdown is announced, and requests are still accepted.
    kAnnounced,
    kRefusing,
    kFinished,
  };

  Stage stage = Stage::kServing;
  Times times;
};

} // namespace jackdawwind
