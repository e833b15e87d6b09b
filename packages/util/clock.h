// The clock of the process.
//
// All code that needs the current time, including Asio timers, reads this clock, so that tests can
// control it:
//
//   ManualClock clock;               // stops the process's clock at Time{}
//   clock.Advance(std::chrono::seconds(2));
//
// Decisions never read the clock; they receive the time as an argument.
#pragma once

#include <chrono>

namespace jackdawwind {

using Duration = std::chrono::microseconds;

/// Monotonic clock that meets the standard library's Clock requirements. It keeps advancing while
/// the machine is suspended. Thread-safe.
class Clock
{
public:
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock, duration>;
  static constexpr bool is_steady = true;

  /// Returns the time since an arbitrary epoch, in microseconds.
  static time_point now();
};

using Time = Clock::time_point;

/// Converts a duration to a number of seconds, for rates and means.
inline double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Stops the process's clock during its lifetime; for tests. At most one may exist at a time.
class ManualClock
{
public:
  explicit ManualClock(Time aStart = Time{});
  ~ManualClock();
  ManualClock(const ManualClock&) = delete;
  ManualClock& operator=(const ManualClock&) = delete;

  /// Moves the stopped clock forward.
  void Advance(Duration aStep);
};

/// Returns the wall time in microseconds since 1970; only for incarnations, log lines and
/// comparisons with the start times that processes state.
std::chrono::microseconds WallTime();

} // namespace jackdawwind
