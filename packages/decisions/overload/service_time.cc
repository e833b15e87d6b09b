#include "decisions/overload/service_time.h"

namespace jackdawwind {

namespace {

/// A sample moves the mean by 1/16: about the last 30 calls count.
constexpr int kSmoothing = 16;

constexpr Duration kMemory = std::chrono::seconds(1);

} // namespace

void
ServiceTime::Note(Importance aImportance, Duration aLatency, Time aNow)
{
  Estimate& estimate = this->estimates[static_cast<std::size_t>(aImportance)];
  const bool known = estimate.mean > Duration::zero() && aNow - estimate.at <= kMemory;
  estimate.mean = known ? estimate.mean + (aLatency - estimate.mean) / kSmoothing : aLatency;
  estimate.at = aNow;
}

ExpectedTimes
ServiceTime::Expected(Time aNow) const
{
  ExpectedTimes times{};
  for (std::size_t index = 0; index < times.size(); ++index) {
    const Estimate& estimate = this->estimates[index];
    times[index] = aNow - estimate.at <= kMemory ? estimate.mean : Duration::zero();
  }
  return times;
}

} // namespace jackdawwind
