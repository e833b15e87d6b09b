// Guards against starvation of callers' requests by calls of other targets to the same service.
#include "decisions/mesh/target_scheduler.h"

#include <chrono>
#include <cstdint>
#include <optional>

#include <gtest/gtest.h>

#include "decisions/mesh/request_rank.h"

namespace jackdawwind {
namespace {

TargetScheduler::WaitingRequest
MakeWaitingRequest(std::uint64_t aExchange, std::uint32_t aRank)
{
  return { .exchange = aExchange,
           .context = HopContext({ .routeName = "r", .service = "fuel", .rank = aRank }),
           .arrived = Time{},
           .deadline = Time(std::chrono::seconds(10)) };
}

TEST(TargetScheduler, ReservesSlotsForWaitingCallersBeforeFurtherCalls)
{
  constexpr std::uint32_t kSlots = 4;
  TargetScheduler scheduler;
  scheduler.SetSlots(kSlots);
  const Time now{};
  for (std::uint64_t exchange = 1; exchange <= kSlots; ++exchange) {
    EXPECT_EQ(scheduler.Offer(MakeWaitingRequest(exchange, NestedCallRank()), now),
              TargetScheduler::Verdict::kRun);
  }
  EXPECT_EQ(scheduler.Offer(MakeWaitingRequest(5, NestedCallRank()), now),
            TargetScheduler::Verdict::kWait);
  EXPECT_EQ(scheduler.Offer(MakeWaitingRequest(6, CallerRank(0, 0)), now),
            TargetScheduler::Verdict::kWait);
  scheduler.Finish(MakeWaitingRequest(1, NestedCallRank()).context, {}, now);
  const std::optional<TargetScheduler::WaitingRequest> first = scheduler.TakeNext();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->exchange, 6U);
  EXPECT_FALSE(scheduler.TakeNext());
  // The share of the callers is in use, so the waiting call gets the next slot.
  scheduler.Finish(MakeWaitingRequest(2, NestedCallRank()).context, {}, now);
  const std::optional<TargetScheduler::WaitingRequest> second = scheduler.TakeNext();
  ASSERT_TRUE(second);
  EXPECT_EQ(second->exchange, 5U);
}

} // namespace
} // namespace jackdawwind
