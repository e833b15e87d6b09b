#include "util/clock.h"

#include <atomic>
#include <ctime>
#include <variant>

namespace jackdawwind {

namespace {

/// Counts the time in which the machine is suspended, which the steady clock of the standard
/// library leaves out: leases, tokens and deadlines run on meanwhile for everybody else.
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

struct ManualSource
{
  Time Now() const { return Time(Duration(this->micros->load())); }

  std::atomic<Duration::rep>* micros;
};

using ClockSource = std::variant<BootSource, ManualSource>;

std::atomic<Duration::rep> manualMicros{ 0 };
std::atomic<bool> paused{ false };

ClockSource
CurrentSource()
{
  if (paused.load()) {
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
  paused.store(true);
}

ManualClock::~ManualClock()
{
  paused.store(false);
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
