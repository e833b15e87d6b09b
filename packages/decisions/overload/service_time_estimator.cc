#include "decisions/overload/service_time_estimator.h"

namespace jackdawwind {

namespace {

/// A shorter latency moves the estimate by 1/16 of the difference, a longer one by 1/64. The
/// estimate settles below the mean (at the 0.2 expectile): routes of one class differ, and refusing
/// a short call because others are long is worse than trying a call that may not end in time.
constexpr int kFallSmoothing = 16;
constexpr int kRiseSmoothing = 64;

constexpr Duration kMemory = std::chrono::seconds(1);

} // namespace

void
ServiceTime::Note(Importance aImportance, Duration aLatency, Time aNow)
{
  Estimate& estimate = this->estimates[static_cast<std::size_t>(aImportance)];
  if (estimate.value == Duration::zero() || aNow - estimate.at > kMemory) {
    estimate.value = aLatency;
  } else {
    const Duration difference = aLatency - estimate.value;
    estimate.value +=
      difference / (difference < Duration::zero() ? kFallSmoothing : kRiseSmoothing);
  }
  estimate.at = aNow;
}

ExpectedTimes
ServiceTime::Expected(Time aNow) const
{
  ExpectedTimes times{};
  for (std::size_t index = 0; index < times.size(); ++index) {
    const Estimate& estimate = this->estimates[index];
    times[index] = aNow - estimate.at <= kMemory ? estimate.value : Duration::zero();
  }
  return times;
}

} // namespace jackdawwind
