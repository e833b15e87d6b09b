#include "decisions/overload/service_time_estimator.h"

namespace jackdawwind {

namespace {

/// Exponential smoothing: a sample below the estimate moves it by 1/16 of the difference, a sample
/// above it by 1/64. The estimate converges below the mean, to the 0.2 expectile: latencies of
/// routes in one class differ, and rejecting short calls because of long ones is worse than running
/// a call that may miss its deadline.
constexpr int kFallDivisor = 16;
constexpr int kRiseDivisor = 64;

/// Older estimates count as unknown.
constexpr Duration kEstimateLifetime = std::chrono::seconds(1);

} // namespace

void
ServiceTimeEstimator::AddSample(Importance aImportance, Duration aLatency, Time aNow)
{
  Estimate& estimate = this->estimates[static_cast<std::size_t>(aImportance)];
  if (estimate.value == Duration::zero() || aNow - estimate.updatedAt > kEstimateLifetime) {
    estimate.value = aLatency;
  } else {
    const Duration difference = aLatency - estimate.value;
    estimate.value += difference / (difference < Duration::zero() ? kFallDivisor : kRiseDivisor);
  }
  estimate.updatedAt = aNow;
}

ExpectedServiceTimes
ServiceTimeEstimator::Expected(Time aNow) const
{
  ExpectedServiceTimes times{};
  for (std::size_t index = 0; index < times.size(); ++index) {
    const Estimate& estimate = this->estimates[index];
    times[index] =
      aNow - estimate.updatedAt <= kEstimateLifetime ? estimate.value : Duration::zero();
  }
  return times;
}

} // namespace jackdawwind
