// Estimates recent token demand with an exponentially decaying count.
//
//   estimate.Note(3, now);
//   const double perSecond = estimate.PerSecond(now);
//
// The estimate guides prefetching and lending only; no guarantee depends on its accuracy.
#pragma once

#include "util/clock.h"

namespace jackdawwind {

class DemandEstimate
{
public:
  /// aTimeConstant is the time in which a past demand decays to 1/e of its weight.
  explicit DemandEstimate(Duration aTimeConstant = std::chrono::seconds(1))
    : timeConstant(aTimeConstant)
  {
  }

  /// Adds a demand for aTokens tokens.
  void Note(double aTokens, Time aNow);
  /// Estimated demand in tokens per second.
  double PerSecond(Time aNow) const;

private:
  Duration timeConstant;
  double decayed = 0;
  Time at{};
};

} // namespace jackdawwind
