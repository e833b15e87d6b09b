#include "decisions/rate/demand_estimate.h"

#include <algorithm>
#include <cmath>

namespace jackdawwind {

void
DemandEstimate::Note(double aTokens, Time aNow)
{
  this->decayed = this->PerSecond(aNow) * Seconds(this->timeConstant) + aTokens;
  this->at = std::max(this->at, aNow);
}

double
DemandEstimate::PerSecond(Time aNow) const
{
  const double age = std::max(0.0, Seconds(aNow - this->at));
  const double constant = Seconds(this->timeConstant);
  return this->decayed * std::exp(-age / constant) / constant;
}

} // namespace jackdawwind
