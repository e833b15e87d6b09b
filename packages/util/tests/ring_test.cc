// Guards against lost, duplicated or reordered elements, a ring that grows past its capacity and a
// reader that is not woken.
#include "util/ring.h"

#include <thread>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

constexpr Duration kPatience = std::chrono::seconds(10);

TEST(Ring, RefusesWhenFull)
{
  Ring<int> ring(2);
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.PopReady(), (std::vector<int>{ 1, 2 }));
  EXPECT_TRUE(ring.TryPush(4));
}

TEST(Ring, DropsTheOldestWhenAsked)
{
  Ring<int> ring(2);
  EXPECT_TRUE(ring.PushDroppingOldest(1));
  EXPECT_TRUE(ring.PushDroppingOldest(2));
  EXPECT_FALSE(ring.PushDroppingOldest(3));
  EXPECT_EQ(ring.PopReady(), (std::vector<int>{ 2, 3 }));
}

TEST(Ring, CallsTheWakerOnlyWhenItStopsBeingEmpty)
{
  int wakes = 0;
  Ring<int> ring(4, [&wakes] { ++wakes; });
  ring.TryPush(1);
  ring.TryPush(2);
  EXPECT_EQ(wakes, 1);
  ring.PopReady();
  ring.TryPush(3);
  EXPECT_EQ(wakes, 2);
}

TEST(Ring, RefusesAfterClose)
{
  Ring<int> ring(4);
  ring.TryPush(1);
  ring.Close();
  EXPECT_FALSE(ring.TryPush(2));
  EXPECT_FALSE(ring.Push(2));
  EXPECT_EQ(ring.PopAll(Clock::now() + kPatience), (std::vector<int>{ 1 }));
}

TEST(Ring, KeepsEveryElementOfConcurrentWritersInTheirOrder)
{
  constexpr int kWriters = 4;
  constexpr int kPerWriter = 10'000;
  Ring<int> ring(64);
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int writer = 0; writer < kWriters; ++writer) {
    writers.emplace_back([&ring, writer] {
      for (int index = 0; index < kPerWriter; ++index) {
        ring.Push(writer * kPerWriter + index);
      }
    });
  }
  std::vector<int> next(kWriters, 0);
  int total = 0;
  while (total < kWriters * kPerWriter) {
    const std::vector<int> batch = ring.PopAll(Clock::now() + kPatience);
    ASSERT_LE(batch.size(), 64U);
    ASSERT_FALSE(batch.empty());
    for (const int element : batch) {
      const std::size_t writer = static_cast<std::size_t>(element / kPerWriter);
      ASSERT_EQ(element % kPerWriter, next[writer]);
      ++next[writer];
      ++total;
    }
  }
  for (std::thread& writer : writers) {
    writer.join();
  }
}

} // namespace
} // namespace jackdawwind
