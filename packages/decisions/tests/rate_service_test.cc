// Guards against refusals of calls within the limit, calls that wait longer than 60 ms for a token,
// a domain that stays without a steward after a crash, and too many control messages.
#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "fake_rate_fleet.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void
Start(FakeRateFleet& aFleet, double aRate, double aBurst)
{
  aFleet.Configure(
    aFleet.Snapshot({ Organisation({ .name = "north", .rate = aRate, .burst = aBurst }) }));
  for (std::size_t node = 0; node < aFleet.Size(); ++node) {
    aFleet.Start(node);
  }
  aFleet.RunUntil(seconds(20));
}

TEST(RateService, AdmitsCallsWithinTheRate)
{
  struct Case
  {
    const char* name;
    std::size_t domains;
    std::size_t nodes;
    double burst;
    bool oneNode;
  };
  const Case cases[] = {
    { "single host", 1, 1, 10, true },
    { "one domain", 1, 3, 20, false },
    { "all domains", 4, 3, 40, false },
    { "all demand at one node, which borrows", 4, 3, 40, true },
    { "a burst smaller than the number of domains", 4, 1, 2, true },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    FakeRateFleet fleet({ .domains = testCase.domains, .nodesPerDomain = testCase.nodes });
    Start(fleet, 20, testCase.burst);
    std::size_t node = 0;
    for (Duration at = seconds(20); at < seconds(30); at += milliseconds(100)) {
      fleet.At(at, [&fleet, node] { fleet.Call(node, "north"); });
      node = testCase.oneNode ? node : (node + 1) % fleet.Size();
    }
    fleet.RunUntil(seconds(31));
    // The demand is half of the rate. Two calls may time out while the node searches for the
    // steward of a lender for the first time.
    EXPECT_GE(fleet.GetCallCounts("north").admitted, 98U);
    EXPECT_EQ(fleet.GetCallCounts("north").admitted + fleet.GetCallCounts("north").refused, 100U);
  }
}

TEST(RateService, RefusesCallWithoutTokenAfterSixtyMilliseconds)
{
  FakeRateFleet fleet({ .domains = 1, .nodesPerDomain = 3 });
  Start(fleet, 0, 5);
  fleet.Call(0, "north");
  fleet.Call(0, "unknown");
  EXPECT_EQ(fleet.GetCallCounts("unknown").refused, 1U);
  fleet.RunUntil(seconds(20) + milliseconds(59));
  EXPECT_EQ(fleet.GetCallCounts("north").refused, 0U);
  fleet.RunUntil(seconds(20) + milliseconds(60));
  EXPECT_EQ(fleet.GetCallCounts("north").refused, 1U);
}

TEST(RateService, ElectsNewStewardAfterCrash)
{
  FakeRateFleet fleet({ .domains = 1, .nodesPerDomain = 3 });
  Start(fleet, 100, 100);
  ASSERT_TRUE(fleet.At(0).limiter->Elected());
  fleet.Crash(0);
  fleet.RunUntil(seconds(32));
  EXPECT_TRUE(fleet.At(1).limiter->Elected());
  fleet.Call(2, "north");
  fleet.RunUntil(seconds(33));
  EXPECT_EQ(fleet.GetCallCounts("north").admitted, 1U);
}

TEST(RateService, IdleNodeSendsOneReportPerSecond)
{
  FakeRateFleet fleet({ .domains = 4, .nodesPerDomain = 3 });
  Start(fleet, 100, 100);
  const std::uint64_t before = fleet.At(2).sentBytes;
  fleet.RunUntil(seconds(30));
  EXPECT_LE(fleet.At(2).sentBytes - before, 10U * 600U);
}

} // namespace
} // namespace jackdawwind
