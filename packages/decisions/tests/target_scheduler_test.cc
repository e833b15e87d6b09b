// Guards the callers of a service whose slots are wanted by calls of other targets too.
#include "decisions/mesh/target_scheduler.h"

#include <chrono>
#include <cstdint>
#include <optional>

#include <gtest/gtest.h>

#include "decisions/mesh/request_rank.h"

namespace jackdawwind {
namespace {

TargetScheduler::Waiting
MakeWaiting(std::uint64_t aExchange, std::uint32_t aRank)
{
  return { .exchange = aExchange,
           .context = HopContext({ .routeName = "r", .service = "fuel", .rank = aRank }),
           .arrived = Time{},
           .deadline = Time(std::chrono::seconds(10)) };
}

TEST(TargetScheduler, AWaitingCallerGetsItsPartOfTheSlotsBeforeMoreCalls)
{
  constexpr std::uint32_t kSlots = 4;
  TargetScheduler gate;
  gate.SetSlots(kSlots);
  const Time now{};
  for (std::uint64_t exchange = 1; exchange <= kSlots; ++exchange) {
    EXPECT_EQ(gate.Offer(MakeWaiting(exchange, CallRank()), now), TargetScheduler::Verdict::kRun);
  }
  EXPECT_EQ(gate.Offer(MakeWaiting(5, CallRank()), now), TargetScheduler::Verdict::kWait);
  EXPECT_EQ(gate.Offer(MakeWaiting(6, CallerRank(0, 0)), now), TargetScheduler::Verdict::kWait);
  gate.Finish(MakeWaiting(1, CallRank()).context, {}, now);
  const std::optional<TargetScheduler::Waiting> first = gate.TakeNext();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->exchange, 6U);
  EXPECT_FALSE(gate.TakeNext());
  // The caller has its part; the next slot is the waiting call's.
  gate.Finish(MakeWaiting(2, CallRank()).context, {}, now);
  const std::optional<TargetScheduler::Waiting> second = gate.TakeNext();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->exchange, 5U);
}

} // namespace
} // namespace jackdawwind
