// Adaptive limit of the calls that run at a target at once.
//
//   limit.NoteAnswered({ .started = started, .ended = now, .limited = true });
//   limit.NoteRefused({ .started = started, .ended = now, .limited = true });
//   if (running < limit.Value()) { ... }   // start another call
//
// Additive increase by 1 per limit's worth of answers, while the limit holds calls back.
// Multiplicative decrease when the mean latency of a window exceeds twice the moving minimum, or
// when the target refuses three calls within a window. Outcomes of calls that started before the
// last decrease say nothing about the new limit and are ignored.
//
// The moving minimum is the lowest window mean. It falls at once. It rises only when halving the
// limit did not lower the latency: then the target is slow for another reason than its concurrency.
// A minimum raised so is checked again every 10 s with half the limit for one window, so that a
// slow phase does not hide later congestion.
//
// Cost: constant. Guarantees: 1 <= Value() <= slots (1 when slots is 0).
#pragma once

#include <cstdint>

#include "util/clock.h"

namespace jackdawwind {

/// A call that ended.
struct LimitSample
{
  Time started{};
  Time ended{};
  /// Whether the limit was reached when the call ended.
  bool limited = false;
};

class ConcurrencyLimit
{
public:
  ConcurrencyLimit();

  /// The limit never exceeds aSlots; a smaller value takes effect at once.
  void SetSlots(std::uint32_t aSlots);
  /// Begins with a low limit and without measurements.
  void ColdStart(Time aNow);

  /// The target answered and did not refuse.
  void NoteAnswered(const LimitSample& aSample);
  /// The target answered 503 or 429, took no connection or did not answer in time.
  void NoteRefused(const LimitSample& aSample);

  /// Calls that may run at once.
  std::uint32_t Value() const;
  /// Moving minimum of the latency; zero before the first window.
  Duration Minimum() const { return this->minimum; }

private:
  double ColdLimit() const;
  void Count(Time aEnded);
  bool WindowIsFull(Time aNow) const;
  void CloseWindow(Time aNow);
  void Decrease(double aFactor, Time aNow);
  void StartWindow();
  /// Decreases for latency and finds out whether decreasing helps.
  void HandleSlowWindow(Duration aMean, Time aNow);
  void EndCheck(Duration aMean);

  std::uint32_t slots = 1;
  double limit = 1;
  /// From a cold start until the first sign of overload.
  bool cold = true;
  Duration minimum{};
  /// Only calls that started since the last change of the limit count.
  Time counted = Time::min();

  // The present window.
  std::uint32_t samples = 0;
  std::uint32_t refusals = 0;
  Duration sum{};
  bool limited = false;
  Time windowStarted{};

  // A run of decreases for latency: limit and mean latency at its begin; zero when none is under
  // way.
  double slowLimit = 0;
  Duration slowMean{};

  // The check of a raised minimum: when the next is due, and the limit to return to while one runs.
  Time nextCheck = Time::max();
  double checkedLimit = 0;
};

} // namespace jackdawwind
