#include "util/clock.h"

#include <atomic>
#include <variant>

namespace jackdawwind {

namespace {

struct SteadySource
{
  Time Now() const
  {
    const std::chrono::steady_clock::duration sinceStart =
      std::chrono::steady_clock::now().time_since_epoch();
    return Time(std::chrono::duration_cast<Duration>(sinceStart));
  }
};

struct ManualSource
{
  Time Now() const { return Time(Duration(this->micros->load())); }

  std::atomic<Duration::rep>* micros;
};

using ClockSource = std::variant<SteadySource, ManualSource>;

std::atomic<Duration::rep> manualMicros{ 0 };
std::atomic<bool> paused{ false };

ClockSource
CurrentSource()
{
  if (paused.load()) {
    return ManualSource{ &manualMicros };
  }
  return SteadySource{};
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
