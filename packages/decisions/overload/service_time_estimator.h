// Estimates the service time of a target's calls per importance class from measured latencies.
//
//   ServiceTimeEstimator estimator;
//   estimator.AddSample(Importance::kNormal, std::chrono::milliseconds(20), now);
//   ExpectedServiceTimes times = estimator.Expected(now);
//
// Calls with less time left than their estimate are rejected early. Cost: constant. An estimate
// without samples for 1 s counts as unknown: otherwise a high estimate that rejects every call
// would never get a new sample.
#pragma once

#include <array>
#include <cstddef>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

/// Expected service times, indexed by importance class.
using ExpectedServiceTimes = std::array<Duration, static_cast<std::size_t>(Importance::kBulk) + 1>;

class ServiceTimeEstimator
{
public:
  /// Adds the latency of an answered call.
  void AddSample(Importance aImportance, Duration aLatency, Time aNow);
  /// Estimates of all classes, below their mean latency; zero where unknown.
  ExpectedServiceTimes Expected(Time aNow) const;

private:
  struct Estimate
  {
    Duration value{};
    Time updatedAt{};
  };

  std::array<Estimate, std::tuple_size_v<ExpectedServiceTimes>> estimates{};
};

} // namespace jackdawwind
