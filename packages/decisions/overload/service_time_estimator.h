// Expected service time of a target's calls by importance class, from measured latencies.
//
//   ServiceTime expected;
//   expected.Note(Importance::kNormal, std::chrono::milliseconds(20), now);
//   ExpectedTimes times = expected.Expected(now);   // calls with less time left are refused early
//
// Cost: constant. An estimate without news for 1 s counts as unknown, so that calls which it
// refuses are tried again.
#pragma once

#include <array>
#include <cstddef>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

/// Expected service times, indexed by importance class.
using ExpectedTimes = std::array<Duration, static_cast<std::size_t>(Importance::kBulk) + 1>;

class ServiceTime
{
public:
  /// A call of the class was answered after aLatency.
  void Note(Importance aImportance, Duration aLatency, Time aNow);
  /// Low estimate of the latency of each class; zero where not known.
  ExpectedTimes Expected(Time aNow) const;

private:
  struct Estimate
  {
    Duration value{};
    Time at{};
  };

  std::array<Estimate, std::tuple_size_v<ExpectedTimes>> estimates{};
};

} // namespace jackdawwind
