#include "util/clock.h"

#include <ctime>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

Time
BootTime()
{
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                   std::chrono::nanoseconds(time.tv_nsec)));
}

// Guards against leases and deadlines that do not expire while the machine is suspended, which a
// clock without the suspended time would cause.
TEST(Clock, IncludesSuspendedTime)
{
  const Time before = BootTime();
  const Time now = Clock::now();
  EXPECT_GE(now, before);
  EXPECT_LE(now, BootTime());
}

TEST(Clock, FollowsTheManualClock)
{
  ManualClock clock(Time(std::chrono::seconds(5)));
  EXPECT_EQ(Clock::now(), Time(std::chrono::seconds(5)));
  clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(Clock::now(), Time(std::chrono::seconds(7)));
}

} // namespace
} // namespace jackdawwind
