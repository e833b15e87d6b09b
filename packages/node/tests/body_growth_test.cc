// Guards against bodies of unknown length that take more memory than the budget has counted: the
// process would be ended for its memory limit, and the requests of all other clients with it.
#include "node/body_growth.h"

#include <string>

#include <gtest/gtest.h>

namespace jackdawwind::node {
namespace {

constexpr std::size_t kBudgetBytes = 4U << 20U;
constexpr std::size_t kReadBytes = 20000;

TEST(BodyGrowth, CountsAllMemoryOfAnEndlessBodyUntilTheBudgetEnds)
{
  BodyBudget budget(kBudgetBytes);
  BodyReservation reservation(budget);
  std::string body;
  while (ReserveBodyMemory(body, std::nullopt, kReadBytes, reservation)) {
    ASSERT_GE(budget.UsedBytes(), body.capacity());
    ASSERT_LE(budget.UsedBytes(), kBudgetBytes);
    const std::size_t capacity = body.capacity();
    body.append(kReadBytes, static_cast<char>('a' + body.size() / kReadBytes % 26));
    if (body.size() > 65536 + kReadBytes) {
      ASSERT_EQ(body.capacity(), capacity) << "the body grew by itself at " << body.size();
    }
  }
  // The copy and the memory before it fit into the budget together.
  EXPECT_GE(body.size(), kBudgetBytes / 3);
  for (std::size_t index = 0; index < body.size(); ++index) {
    ASSERT_EQ(body[index], static_cast<char>('a' + index / kReadBytes % 26));
  }
}

TEST(BodyGrowth, CountsAnAnnouncedLengthAtOnce)
{
  BodyBudget budget(kBudgetBytes);
  BodyReservation reservation(budget);
  std::string body;
  EXPECT_FALSE(ReserveBodyMemory(body, kBudgetBytes + 1, kReadBytes, reservation));
  EXPECT_EQ(budget.UsedBytes(), 0U);
  EXPECT_TRUE(ReserveBodyMemory(body, kBudgetBytes, kReadBytes, reservation));
  EXPECT_EQ(budget.UsedBytes(), kBudgetBytes);
  reservation.Release();
  EXPECT_EQ(budget.UsedBytes(), 0U);
}

} // namespace
} // namespace jackdawwind::node
