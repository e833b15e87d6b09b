// Expected service time of a target's calls by importance class, from measured latencies.
//
//   ServiceTime expected;
//   expected.Note(Importance::kNormal, std::chrono::milliseconds(20), now);
//   if (call.deadline - now < expected.Of(call.importance, now)) { ... }   // refuse early
//
// Cost: constant. An estimate without news for 1 s counts as unknown, so that calls which it
// refuses are tried again.
#pragma once

#include <array>
#include <cstddef>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

class ServiceTime
{
public:
  /// A call of the class was answered after aLatency.
  void Note(Importance aImportance, Duration aLatency, Time aNow);
  /// Smoothed mean latency of the class; zero when not known.
  Duration Of(Importance aImportance, Time aNow) const;

private:
  static constexpr std::size_t kClasses = static_cast<std::size_t>(Importance::kBulk) + 1;

  struct Estimate
  {
    Duration mean{};
    Time at{};
  };

  std::array<Estimate, kClasses> estimates{};
};

} // namespace jackdawwind
