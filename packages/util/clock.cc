#include "util/clock.h"

#include <atomic>
#include <ctime>
#include <variant>

namespace jackdawwind {

namespace {

/// Reads CLOCK_BOOTTIME, which includes the time in which the machine is suspended. The standard
/// library's steady clock excludes it, although leases, tokens and deadlines keep expiring on all
/// other machines meanwhile.
struct BootSource
{
  Time Now() const
  {
    std::timespec sinceBoot{};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(sinceBoot.tv_sec) +
                                                     std::chrono::nanoseconds(sinceBoot.tv_nsec)));
  }
};

/// Reads the time set by a ManualClock.
struct ManualSource
{
  Time Now() const { return Time(Duration(this->micros->load())); }

  std::atomic<Duration::rep>* micros;
};

using ClockSource = std::variant<BootSource, ManualSource>;

std::atomic<Duration::rep> manualMicros{ 0 };
std::atomic<bool> manualClockActive{ false };

ClockSource
CurrentSource()
{
  if (manualClockActive.load()) {
    return ManualSource{ &manualMicros };
  }
  return BootSource{};
}

} // namespace

Clock::time_point
Clock::now()
{
  const ClockSource source = CurrentSource();
  return std::visit([](const auto& aSource) { return aSource.Now(); }, source);
}

ManualClock::ManualClock(Time aStart)
{
  manualMicros.store(aStart.time_since_epoch().count());
  manualClockActive.store(true);
}

ManualClock::~ManualClock()
{
  manualClockActive.store(false);
}

void
ManualClock::Advance(Duration aStep)
{
  manualMicros.fetch_add(aStep.count());
}

std::chrono::microseconds
WallTime()
{
  const std::chrono::system_clock::duration sinceEpoch =
    std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
}

} // namespace jackdawwind
