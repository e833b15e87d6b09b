// Recent demand for tokens: a count that decays exponentially with a time constant of 1 s.
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
  void Note(double aTokens, Time aNow);
  double PerSecond(Time aNow) const;

private:
  double decayed = 0;
  Time at{};
};

} // namespace jackdawwind
