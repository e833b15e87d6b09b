// Phases of a graceful shutdown. After a stop request the node serves new requests for a delay, so
// that its callers and peers can learn of the shutdown; then it rejects new requests, and exits
// once no request is in flight or a time limit has passed. At the time limit, the owner answers
// every request that is still in flight before the node exits.
//
//   GracefulShutdown shutdown;
//   shutdown.Begin({ .refuseAt = now + delay, .forcedExitAt = now + limit }, effects);
//   const bool idle = entry.Count() == 0;                  // after every event
//   if (!idle && shutdown.MustExit(now)) { ... answer all requests ... }
//   shutdown.Advance(idle, now, effects);
//
// Not thread-safe.
#pragma once

#include "decisions/effects.h"
#include "util/clock.h"

namespace jackdawwind {

class GracefulShutdown
{
public:
  /// Time before the forced exit by which requests should have ended, so that their answers can
  /// cross the network and be written. Two hops between regions take some tens of milliseconds.
  static constexpr Duration kAnswerReserve = std::chrono::milliseconds(200);

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
  /// Whether the time limit has passed and the node has not exited yet.
  bool MustExit(Time aNow) const;
  /// Time by which requests in progress should have ended; only after Begin().
  Time FinishBy() const { return this->times.forcedExitAt - kAnswerReserve; }
  /// Whether new requests are rejected; stays true after the shutdown has completed.
  bool RefusesNewRequests(Time aNow) const { return this->Begun() && aNow >= this->times.refuseAt; }
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
