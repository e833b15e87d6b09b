#include "decisions/rate/demand_estimate.h"

#include <algorithm>
#include <cmath>

namespace jackdawwind {

namespace {

constexpr double kTimeConstantSeconds = 1;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
DemandEstimate::Note(double aTokens, Time aNow)
{
  this->decayed = this->PerSecond(aNow) * kTimeConstantSeconds + aTokens;
  this->at = std::max(this->at, aNow);
}

double
DemandEstimate::PerSecond(Time aNow) const
{
  const double age = std::max(0.0, Seconds(aNow - this->at));
  return this->decayed * std::exp(-age / kTimeConstantSeconds) / kTimeConstantSeconds;
}

} // namespace jackdawwind
