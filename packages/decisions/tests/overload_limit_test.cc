// Guards against a limit that overloads the target, starves it, or is misled by what it measured
// before.
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
  /// Part of the calls that the target refuses.
  double refused;
  int calls;
  /// Part of the service time that varies.
  double spread = 0.75;
};

/// Target whose service time grows in proportion above its true slots, always called at the limit.
class FakeLoadedTarget
{
public:
  explicit FakeLoadedTarget(std::uint32_t aSlots)
  {
    this->limit.SetSlots(aSlots);
    this->limit.ColdStart(this->now);
  }

  /// Ends the calls of the phase.
  void Run(const Phase& aPhase)
  {
    for (int call = 0; call < aPhase.calls; ++call) {
      while (this->running.size() < this->limit.Value()) {
        const double excess =
          std::max(1.0, static_cast<double>(this->running.size()) / aPhase.trueSlots);
        const double variation =
          1 - aPhase.spread - aPhase.spread * std::log(1 - this->random.Fraction());
        this->running.emplace(this->now + std::chrono::duration_cast<Duration>(
                                            milliseconds(aPhase.serviceMs) * excess * variation),
                              this->now);
      }
      const LimitSample sample{ .started = this->running.begin()->second,
                                .ended = this->running.begin()->first,
                                .limited = true };
      this->running.erase(this->running.begin());
      this->now = sample.ended;
      if (this->random.Fraction() < aPhase.refused) {
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
  /// Start of each running call by its end.
  std::multimap<Time, Time> running;
};

TEST(ConcurrencyLimit, FollowsWhatTheTargetBears)
{
  struct Case
  {
    const char* name;
    std::vector<Phase> phases;
    std::uint32_t least;
    std::uint32_t most;
  };
  const Phase healthy = { 60, 20, 0, 20000 };
  const Phase slow = { 60, 90, 0, 9000 };
  const Phase smaller = { 10, 20, 0, 20000 };
  // Latencies that hardly vary show whether a minimum raised in a slow phase is kept for good.
  const Phase steadySlow = { 60, 90, 0, 9000, 0.02 };
  const Phase steadySmaller = { 20, 20, 0, 60000, 0.02 };
  const Case cases[] = {
    { "cold target", {}, 7, 7 },
    { "healthy target", { healthy }, 60, 60 },
    { "fewer slots than configured", { smaller }, 10, 45 },
    { "refuses all", { healthy, { 60, 1, 1, 1000 } }, 1, 1 },
    { "refuses 2% for other reasons", { { 60, 20, 0.02, 20000 } }, 15, 60 },
    { "slow for another reason than concurrency", { healthy, slow }, 55, 60 },
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
    EXPECT_GE(target.limit.Value(), testCase.least);
    EXPECT_LE(target.limit.Value(), testCase.most);
  }
}

TEST(ConcurrencyLimit, CountsTheRefusalsOfOneRoundOnce)
{
  FakeLoadedTarget target(100);
  target.Run({ 100, 10, 0, 30000 });
  ASSERT_EQ(target.limit.Value(), 100U);
  const Time started = target.now;
  const Time ended = started + milliseconds(1);
  for (int call = 0; call < 100; ++call) {
    target.limit.NoteRefused({ .started = started, .ended = ended, .limited = true });
  }
  EXPECT_EQ(target.limit.Value(), 70U);
  target.limit.SetSlots(0);
  EXPECT_EQ(target.limit.Value(), 1U) << "fewer slots take effect at once";
}

} // namespace
} // namespace jackdawwind
