// Guards against a service that spends its time refusing: under a heavy overload the entry nodes
// must send it little more than it accepts, and everything again once it has room.
#include "decisions/mesh/entry_throttle.h"

#include <string>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "fitting";
constexpr std::uint32_t kRank = 1202;

struct Outcome
{
  int sent = 0;
  int accepted = 0;
};

/// Sends 50 requests a second for some time to a service that accepts aCapacity of them a second.
Outcome
Offer(EntryThrottle& aThrottle, Time& aNow, Duration aTime, int aCapacity)
{
  Outcome outcome;
  const Time end = aNow + aTime;
  int acceptedInSecond = 0;
  Time second = aNow;
  while (aNow < end) {
    if (aNow - second >= seconds(1)) {
      second = aNow;
      acceptedInSecond = 0;
    }
    if (!aThrottle.ShouldReject(kService, kRank, aNow)) {
      ++outcome.sent;
      // Accepts evenly over the second.
      const double elapsed = Seconds(aNow - second);
      if (acceptedInSecond < aCapacity * (elapsed + 0.02)) {
        ++acceptedInSecond;
        ++outcome.accepted;
        aThrottle.NoteAccepted(kService, kRank, aNow);
      }
    }
    aNow += milliseconds(20);
  }
  return outcome;
}

TEST(EntryThrottle, SendsEverythingWhileItIsAccepted)
{
  EntryThrottle throttle(1);
  Time now{ seconds(10) };
  EXPECT_EQ(Offer(throttle, now, seconds(10), 50).sent, 500);
}

TEST(EntryThrottle, SendsLittleMoreThanIsAccepted)
{
  EntryThrottle throttle(1);
  Time now{ seconds(10) };
  Offer(throttle, now, seconds(5), 5);
  const Outcome overload = Offer(throttle, now, seconds(20), 5);
  EXPECT_GE(overload.accepted, 5 * 20 * 0.9) << "the service must stay fully used";
  EXPECT_LE(overload.sent, 3 * overload.accepted);
}

TEST(EntryThrottle, SendsEverythingSoonAfterTheOverload)
{
  EntryThrottle throttle(1);
  Time now{ seconds(10) };
  Offer(throttle, now, seconds(10), 5);
  Offer(throttle, now, seconds(6), 50);
  const Outcome after = Offer(throttle, now, seconds(4), 50);
  EXPECT_GE(after.sent, 4 * 50 * 0.95);
}

TEST(EntryThrottle, FewRefusalsRejectNothing)
{
  EntryThrottle throttle(1);
  const Time now{ seconds(10) };
  int rejected = 0;
  for (int request = 0; request < 3; ++request) {
    rejected += throttle.ShouldReject(kService, kRank, now) ? 1 : 0;
  }
  EXPECT_EQ(rejected, 0);
}

TEST(EntryThrottle, UrgentRequestsAreThrottledByTheirOwnCounts)
{
  EntryThrottle throttle(1);
  Time now{ seconds(10) };
  Offer(throttle, now, seconds(5), 0);
  EXPECT_FALSE(throttle.ShouldReject(kService, kRank - 200, now));
  EXPECT_FALSE(throttle.ShouldReject("orders", kRank, now));
}

} // namespace
} // namespace jackdawwind
