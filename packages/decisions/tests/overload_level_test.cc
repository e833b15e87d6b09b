// Guards against an admission level that does not rise under overload or does not fall afterwards.
#include "decisions/overload/admission_level.h"

#include <gtest/gtest.h>

#include <vector>

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;

TEST(AdmissionLevel, RisesAndFallsWithTheQueueingDelay)
{
  struct Span
  {
    int delayMs;
    bool idle;
    int lengthMs;
  };
  struct Case
  {
    const char* name;
    std::vector<Span> spans;
    std::uint32_t value;
  };
  const LevelSteps steps{
    .up = 32, .down = 8, .upAfter = milliseconds(20), .downAfter = milliseconds(10)
  };
  const Case cases[] = {
    { "no delay", { { 0, true, 1000 } }, 0 },
    { "delay at the target", { { 20, false, 1000 } }, 0 },
    { "short delay", { { 30, false, 19 }, { 0, false, 1000 } }, 0 },
    { "intermittent delay", { { 30, false, 15 }, { 0, false, 1 }, { 30, false, 15 } }, 0 },
    { "persistent delay", { { 30, false, 101 } }, 160 },
    { "falls slowly while calls wait", { { 30, false, 101 }, { 5, false, 31 } }, 136 },
    { "falls fast at an idle target", { { 30, false, 101 }, { 0, true, 31 } }, 20 },
    { "falls to zero", { { 30, false, 101 }, { 5, false, 1000 } }, 0 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    AdmissionLevel level;
    level.Configure(steps, milliseconds(20));
    Time now{};
    for (const Span& span : testCase.spans) {
      for (int step = 0; step < span.lengthMs; ++step) {
        level.Observe(milliseconds(span.delayMs), span.idle, now);
        now += milliseconds(1);
      }
    }
    EXPECT_EQ(level.Value(), testCase.value);
  }
}

} // namespace
} // namespace jackdawwind
