// Recent demand for tokens: a count that decays exponentially.
//
//   estimate.Note(3, now);
//   const double perSecond = estimate.PerSecond(now);
//
// A guess that guides prefetching and lending; no guarantee depends on it.
#pragma once

#include "util/clock.h"

namespace jackdawwind {

class DemandEstimate
{
public:
  /// aTimeConstant: the mean covers about this time.
  explicit DemandEstimate(Duration aTimeConstant = std::chrono::seconds(1))
    : timeConstant(aTimeConstant)
  {
  }

  void Note(double aTokens, Time aNow);
  double PerSecond(Time aNow) const;

private:
  Duration timeConstant;
  double decayed = 0;
  Time at{};
};

} // namespace jackdawwind
