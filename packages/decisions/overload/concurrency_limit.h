// Adaptive (AIMD) limit on the number of calls that run concurrently at a target.
//
//   limit.NoteAnswered({ .started = started, .ended = now, .limitReached = true });
//   limit.NoteRefused({ .started = started, .ended = now, .limitReached = true });
//   if (running < limit.Value()) { ... }   // start another call
//
// The limit increases additively, by 1 per `limit` answers, while it is fully used. It decreases
// multiplicatively when the mean latency of a window exceeds 1.8 times the moving minimum, or when
// the target refuses three calls within a window. Outcomes of calls that started before the last
// decrease were measured at the old limit and are ignored. From a cold start until the first
// decrease the limit doubles with every window in which it was reached.
//
// The moving minimum is the lowest mean latency of any window. It falls at once. It rises only when
// halving the limit did not lower the latency, which shows that the target is slow for a reason
// other than its concurrency. A raised minimum is rechecked every 10 s by running one window at
// half the limit, so that a slow phase does not mask later congestion.
//
// Cost: constant. Guarantees: 1 <= Value() <= slots (1 when slots is 0).
#pragma once

#include <cstdint>

#include "util/clock.h"

namespace jackdawwind {

/// Times of a finished call.
struct LimitSample
{
  Time started{};
  Time ended{};
  /// Whether the limit was fully used when the call ended.
  bool limitReached = false;
};

class ConcurrencyLimit
{
public:
  ConcurrencyLimit();

  /// Sets the upper bound of the limit; a lower bound takes effect at once.
  void SetSlots(std::uint32_t aSlots);
  /// Restarts with a low limit and discards all measurements.
  void ColdStart(Time aNow);

  /// Adds the sample of a call that the target answered with any status but 503 or 429.
  void NoteAnswered(const LimitSample& aSample);
  /// Adds the sample of a call that the target refused: status 503 or 429, a failed connection
  /// attempt or a timeout.
  void NoteRefused(const LimitSample& aSample);

  /// Maximum number of concurrent calls.
  std::uint32_t Value() const;
  /// Moving minimum of the mean latency; zero before the first window closes.
  Duration MinLatency() const { return this->minLatency; }

private:
  double ColdStartLimit() const;
  void CountSample(Time aEnded);
  bool WindowIsFull(Time aNow) const;
  void CloseWindow(Time aNow);
  void Decrease(double aFactor, Time aNow);
  void StartWindow();
  /// Decreases the limit for latency, or raises the moving minimum when decreasing has not helped.
  void HandleSlowWindow(Duration aMean, Time aNow);
  void FinishRecheck(Duration aMean);

  std::uint32_t slots = 1;
  double limit = 1;
  /// Set from a cold start until the first decrease.
  bool cold = true;
  Duration minLatency{};
  /// Calls that started before this time are ignored; reset by each decrease, each doubling and a
  /// cold start.
  Time samplesFrom = Time::min();

  // Current window.
  std::uint32_t samples = 0;
  std::uint32_t refusals = 0;
  Duration latencySum{};
  bool limitReached = false;
  Time windowStarted{};

  // Limit and mean latency at the start of a series of decreases for latency; the limit is zero
  // when no series is in progress.
  double decreaseStartLimit = 0;
  Duration decreaseStartMean{};

  // Recheck of a raised minimum: due time of the next one, and the limit to restore after the one
  // in progress (zero when there is none).
  Time nextRecheck = Time::max();
  double limitBeforeRecheck = 0;
};

} // namespace jackdawwind
