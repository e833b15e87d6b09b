// Guards against a concurrency limit that overloads the target, leaves it underused, or is misled
// by outdated measurements.
#include "decisions/overload/concurrency_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;

struct Phase
{
  double trueSlots;
  int serviceMs;
  /// Fraction of the calls that the target refuses.
  double refusedFraction;
  int calls;
  /// Fraction of the mean service time that is exponentially distributed; the rest is constant.
  double variation = 0.75;
};

/// Target that always runs as many calls as the limit allows. Above its true slot count its service
/// time is proportional to concurrency.
class FakeLoadedTarget
{
public:
  explicit FakeLoadedTarget(std::uint32_t aSlots)
  {
    this->limit.SetSlots(aSlots);
    this->limit.ColdStart(this->now);
  }

  /// Runs the calls of the phase.
  void Run(const Phase& aPhase)
  {
    for (int call = 0; call < aPhase.calls; ++call) {
      while (this->running.size() < this->limit.Value()) {
        const double excess =
          std::max(1.0, static_cast<double>(this->running.size()) / aPhase.trueSlots);
        const double factor =
          1 - aPhase.variation - aPhase.variation * std::log(1 - this->random.Fraction());
        this->running.emplace(this->now + std::chrono::duration_cast<Duration>(
                                            milliseconds(aPhase.serviceMs) * excess * factor),
                              this->now);
      }
      const LimitSample sample{ .started = this->running.begin()->second,
                                .ended = this->running.begin()->first,
                                .limitReached = true };
      this->running.erase(this->running.begin());
      this->now = sample.ended;
      if (this->random.Fraction() < aPhase.refusedFraction) {
        this->limit.NoteRefused(sample);
      } else {
        this->limit.NoteAnswered(sample);
      }
    }
  }

  Time now{};
  ConcurrencyLimit limit;

private:
  Random random{ 1 };
  /// Maps the end of each running call to its start.
  std::multimap<Time, Time> running;
};

TEST(ConcurrencyLimit, AdaptsToTheCapacityOfTheTarget)
{
  struct Case
  {
    const char* name;
    std::vector<Phase> phases;
    std::uint32_t minLimit;
    std::uint32_t maxLimit;
  };
  const Phase healthy = { 60, 20, 0, 20000 };
  const Phase slow = { 60, 90, 0, 9000 };
  const Phase smaller = { 10, 20, 0, 20000 };
  // With almost constant latencies, a minimum that was raised in a slow phase and never rechecked
  // would hide the later congestion.
  const Phase steadySlow = { 60, 90, 0, 9000, 0.02 };
  const Phase steadySmaller = { 20, 20, 0, 60000, 0.02 };
  const Case cases[] = {
    { "cold target", {}, 7, 7 },
    { "healthy target", { healthy }, 60, 60 },
    { "fewer slots than configured", { smaller }, 10, 45 },
    { "refuses all", { healthy, { 60, 1, 1, 1000 } }, 1, 1 },
    { "refuses 2% for reasons other than overload", { { 60, 20, 0.02, 20000 } }, 15, 60 },
    { "slow for a reason other than concurrency", { healthy, slow }, 55, 60 },
    { "slow, then healthy", { healthy, slow, healthy }, 60, 60 },
    { "slow, then fewer slots", { healthy, steadySlow, steadySmaller }, 15, 45 },
    { "fast failures, then healthy", { { 60, 1, 0, 9000 }, healthy }, 55, 60 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    FakeLoadedTarget target(60);
    for (const Phase& phase : testCase.phases) {
      target.Run(phase);
    }
    EXPECT_GE(target.limit.Value(), testCase.minLimit);
    EXPECT_LE(target.limit.Value(), testCase.maxLimit);
  }
}

TEST(ConcurrencyLimit, DecreasesOnceForConcurrentRefusals)
{
  FakeLoadedTarget target(100);
  target.Run({ 100, 10, 0, 30000 });
  ASSERT_EQ(target.limit.Value(), 100U);
  const Time started = target.now;
  const Time ended = started + milliseconds(1);
  for (int call = 0; call < 100; ++call) {
    target.limit.NoteRefused({ .started = started, .ended = ended, .limitReached = true });
  }
  EXPECT_EQ(target.limit.Value(), 70U);
  target.limit.SetSlots(0);
  EXPECT_EQ(target.limit.Value(), 1U) << "a lower slot count must take effect at once";
}

} // namespace
} // namespace jackdawwind
