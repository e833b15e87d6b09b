#include "decisions/mesh/route_times.h"

#include <algorithm>

namespace jackdawwind {

void
RouteTimes::NoteAnswer(const std::string& aRoute, Duration aTook, Time aNow)
{
  Record& record = this->byRoute[aRoute];
  const bool first = record.mean == Duration::zero();
  const double age = Seconds(aNow - record.at) / Seconds(kHorizon);
  const double weight = first ? 1.0 : std::clamp(age, kMinWeight, 1.0);
  const double change = static_cast<double>((aTook - record.mean).count()) * weight;
  record.mean += Duration(static_cast<Duration::rep>(change));
  record.at = aNow;
}

void
RouteTimes::NoteTimeout(const std::string& aRoute, Duration aWaited, Time aNow)
{
  if (aWaited > this->Mean(aRoute)) {
    this->NoteAnswer(aRoute, aWaited, aNow);
  }
}

Duration
RouteTimes::Mean(const std::string& aRoute) const
{
  const std::map<std::string, Record>::const_iterator found = this->byRoute.find(aRoute);
  return found == this->byRoute.end() ? Duration::zero() : found->second.mean;
}

} // namespace jackdawwind
