// The clock of the process.
//
// Everything that needs the time asks this clock, Asio timers included, so that tests can pause it:
//
//   ManualClock clock;               // pauses the process's clock at Time{}
//   clock.Advance(std::chrono::seconds(2));
//
// Decisions never read the clock; they get the time as an argument.
#pragma once

#include <chrono>

namespace jackdawwind {

using Duration = std::chrono::microseconds;

/// Clock in the sense of the standard library; monotonic, not wall time, and running on while the
/// machine is suspended. Safe for every thread.
class Clock
{
public:
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock, duration>;
  static constexpr bool is_steady = true;

  /// Time since an arbitrary start, in microseconds.
  static time_point now();
};

using Time = Clock::time_point;

/// A time as a number of seconds, for rates and means.
inline double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Pauses the process's clock while it lives; for tests. Only one may live at a time.
class ManualClock
{
public:
  explicit ManualClock(Time aStart = Time{});
  ~ManualClock();
  ManualClock(const ManualClock&) = delete;
  ManualClock& operator=(const ManualClock&) = delete;

  /// Moves the paused clock forward.
  void Advance(Duration aStep);
};

/// Wall time in microseconds since 1970; only for incarnations and log lines.
std::chrono::microseconds WallTime();

} // namespace jackdawwind
