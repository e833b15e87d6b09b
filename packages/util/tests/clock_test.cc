#include "util/clock.h"

#include <ctime>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

Time
SinceBoot()
{
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                   std::chrono::nanoseconds(time.tv_nsec)));
}

// Guards against leases and deadlines that stand still while the machine is suspended.
TEST(Clock, RunsOnWhileTheMachineIsSuspended)
{
  const Time before = SinceBoot();
  const Time now = Clock::now();
  EXPECT_GE(now, before);
  EXPECT_LE(now, SinceBoot());
}

TEST(Clock, StandsStillUnderTheManualClock)
{
  ManualClock clock(Time(std::chrono::seconds(5)));
  EXPECT_EQ(Clock::now(), Time(std::chrono::seconds(5)));
  clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(Clock::now(), Time(std::chrono::seconds(7)));
}

} // namespace
} // namespace jackdawwind
