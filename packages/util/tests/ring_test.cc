// Guards against lost, duplicated or reordered elements, a ring that exceeds its capacity and a
// consumer that is not woken.
#include "util/ring.h"

#include <thread>

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

TEST(Ring, RejectsElementsWhenFull)
{
  Ring<int> ring(2);
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.PopReady(), (std::vector<int>{ 1, 2 }));
  EXPECT_TRUE(ring.TryPush(4));
}

TEST(Ring, PushDroppingOldestDropsTheOldestWhenFull)
{
  Ring<int> ring(2);
  EXPECT_TRUE(ring.PushDroppingOldest(1));
  EXPECT_TRUE(ring.PushDroppingOldest(2));
  EXPECT_FALSE(ring.PushDroppingOldest(3));
  EXPECT_EQ(ring.PopReady(), (std::vector<int>{ 2, 3 }));
}

TEST(Ring, CallsTheWakerOnlyWhenItBecomesNonEmpty)
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

TEST(Ring, RejectsElementsAfterClose)
{
  Ring<int> ring(4);
  ring.TryPush(1);
  ring.Close();
  EXPECT_FALSE(ring.TryPush(2));
  EXPECT_FALSE(ring.Push(2));
  EXPECT_EQ(ring.PopAll(Clock::now() + kTimeout), (std::vector<int>{ 1 }));
}

TEST(Ring, PreservesTheElementsAndOrderOfEachConcurrentProducer)
{
  constexpr int kProducers = 4;
  constexpr int kElementsPerProducer = 10'000;
  Ring<int> ring(64);
  std::vector<std::thread> producers;
  producers.reserve(kProducers);
  for (int producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&ring, producer] {
      for (int index = 0; index < kElementsPerProducer; ++index) {
        ring.Push(producer * kElementsPerProducer + index);
      }
    });
  }
  std::vector<int> next(kProducers, 0);
  int total = 0;
  while (total < kProducers * kElementsPerProducer) {
    const std::vector<int> batch = ring.PopAll(Clock::now() + kTimeout);
    ASSERT_LE(batch.size(), 64U);
    ASSERT_FALSE(batch.empty());
    for (const int element : batch) {
      const std::size_t producer = static_cast<std::size_t>(element / kElementsPerProducer);
      ASSERT_EQ(element % kElementsPerProducer, next[producer]);
      ++next[producer];
      ++total;
    }
  }
  for (std::thread& producer : producers) {
    producer.join();
  }
}

} // namespace
} // namespace jackdawwind
