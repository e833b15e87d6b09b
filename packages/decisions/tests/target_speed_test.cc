// Guards against targets of uneven speed that are chosen as if all were alike, and against a slow
// target that is never tried again, or by many requests at once.
#include "decisions/mesh/target_speed.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/mesh/local_target.h"
#include "decisions/tests/fake_targets.h"
#include "decisions/tests/test_seed.h"
#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionPolicy kPolicy({ .region = "lagos" });

double
MeanTime(const FakeTargets& aFleet)
{
  double sum = 0;
  for (const FakeTargets::Done& done : aFleet.Log()) {
    sum += Seconds(done.took);
  }
  return sum / static_cast<double>(aFleet.Log().size());
}

/// Share of the answers after aFrom that came from nodes before aEnd in the order of names.
double
ShareOf(const FakeTargets& aFleet, Time aFrom, const std::string& aEnd)
{
  double all = 0;
  double found = 0;
  for (const FakeTargets::Done& done : aFleet.Log()) {
    all += done.at >= aFrom ? 1 : 0;
    found += done.at >= aFrom && done.node < aEnd ? 1 : 0;
  }
  return found / all;
}

TEST(RouteTimes, FollowsAChangeOfSpeedWithinAFewAnswers)
{
  RouteTimes times;
  Time now{ seconds(100) };
  EXPECT_EQ(times.Mean("read"), Duration::zero());
  for (int index = 0; index < 20; ++index) {
    times.NoteAnswer("read", milliseconds(160), now += milliseconds(20));
  }
  times.NoteAnswer("read", milliseconds(1920), now += milliseconds(20));
  times.NoteAnswer("read", milliseconds(1920), now += milliseconds(20));
  EXPECT_GT(times.Mean("read"), milliseconds(480));
  times.NoteTimeout("read", milliseconds(50), now += milliseconds(20));
  EXPECT_GT(times.Mean("read"), milliseconds(480)) << "a short wait is no fast answer";
  times.NoteTimeout("read", seconds(5), now += seconds(3));
  EXPECT_EQ(times.Mean("read"), seconds(5));
  times.NoteAnswer("read", milliseconds(160), now += seconds(3));
  EXPECT_EQ(times.Mean("read"), milliseconds(160)) << "one fast answer after a pause";
}

TEST(RouteTimes, AreStatedWithEachAnswerOfTheLocalTarget)
{
  LocalTarget target;
  Effects effects;
  Time now{ seconds(100) };
  target.Receive(TargetHeartbeat({ .instance = "i1",
                                   .host = "10.0.0.1",
                                   .port = 80,
                                   .service = "fuel",
                                   .state = TargetState::kReady,
                                   .slots = 4,
                                   .sequence = 1,
                                   .startedAtMs = 1 }),
                 now,
                 effects);
  const auto answer = [&](std::uint64_t aExchange, std::uint32_t aStatus, Duration aTook) {
    target.Offer({ .exchange = aExchange,
                   .requestId = "r",
                   .context = HopContext({ .routeName = "read", .service = "fuel" }),
                   .deadline = now + seconds(5) },
                 now,
                 effects);
    now += aTook;
    effects.clear();
    target.Receive(SendEnded({ .exchange = aExchange,
                               .attempt = 1,
                               .outcome = TargetReplied({ .status = aStatus, .genuine = true }) }),
                   now,
                   effects);
    const RelayReply* reply = std::get_if<RelayReply>(&effects.front());
    return reply == nullptr ? Duration(-1) : reply->ExpectedTime();
  };
  EXPECT_EQ(answer(1, 200, milliseconds(160)), milliseconds(160));
  EXPECT_EQ(answer(2, 500, milliseconds(1)), milliseconds(160)) << "a quick failure is no speed";
  target.Refuse({ .exchange = 3, .requestId = "r", .context = HopContext({ .routeName = "read" }) },
                ResultCode::kNodeDraining,
                effects);
  const RejectRequest* refusal = std::get_if<RejectRequest>(&effects.back());
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->ExpectedTime(), milliseconds(160));
}

TEST(TargetSpeed, FadesToTheMeanOfTheOthersAndStaysSlow)
{
  TargetSpeed speed;
  const std::vector<std::string_view> nodes{ "a", "b", "c", "new" };
  const Time start{ seconds(100) };
  speed.Note("a", "read", milliseconds(1200), start);
  const auto at = [&](Duration aAge) {
    speed.Note("b", "read", milliseconds(90), start + aAge);
    speed.Note("c", "read", milliseconds(110), start + aAge);
    return speed.Estimates("read", nodes, start + aAge);
  };
  using Estimate = TargetSpeed::Estimate;
  EXPECT_EQ(at(seconds(2))[0], (Estimate{ milliseconds(1200), true, true }));
  EXPECT_EQ(at(seconds(3))[0], (Estimate{ milliseconds(650), true, true }));
  EXPECT_EQ(at(seconds(4))[0], (Estimate{ milliseconds(100), true, true }));
  EXPECT_EQ(at(seconds(11))[0], (Estimate{ milliseconds(100), false, false }));
  EXPECT_EQ(at(seconds(11))[3], (Estimate{ milliseconds(100), false, false }));
  EXPECT_EQ(speed.Estimates("write", nodes, start)[1], Estimate{});
}

TEST(TargetSpeed, AgreesWithAnObviousModel)
{
  for (const std::uint64_t seed : TestSeeds(300)) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    TargetSpeed speed;
    const Time now{ seconds(100) };
    const std::size_t count = 1 + random.Below(8);
    std::vector<std::string> names;
    std::vector<double> times;
    std::vector<double> ages;
    for (std::size_t index = 0; index < count; ++index) {
      names.push_back("n" + std::to_string(index));
      times.push_back(static_cast<double>(random.Below(random.Below(2) == 0 ? 200 : 2000)));
      ages.push_back(static_cast<double>(random.Below(12000)));
      speed.Note(names.back(),
                 "read",
                 milliseconds(static_cast<int>(times.back())),
                 now - milliseconds(static_cast<int>(ages.back())));
    }
    std::vector<double> known;
    for (std::size_t index = 0; index < count; ++index) {
      if (times[index] > 0 && ages[index] <= 10000) {
        known.push_back(times[index]);
      }
    }
    std::sort(known.begin(), known.end());
    const std::vector<TargetSpeed::Estimate> estimates =
      speed.Estimates("read", { names.begin(), names.end() }, now);
    for (std::size_t index = 0; index < count; ++index) {
      double others = 0;
      double weight = 0;
      for (std::size_t other = 0; other < count; ++other) {
        if (other != index && times[other] > 0 && ages[other] <= 10000) {
          others += times[other];
          weight += 1;
        }
      }
      const bool own = times[index] > 0 && ages[index] <= 10000;
      const double mean = weight > 0 ? others / weight : own ? times[index] : 0;
      double expected = mean;
      bool slow = false;
      if (own) {
        const double faded = ages[index] <= 2000   ? 0
                             : ages[index] >= 4000 ? 1
                                                   : (ages[index] - 2000) / 2000;
        expected = times[index] * (1 - faded) + mean * faded;
        const double median = known[(known.size() - 1) / 2];
        slow = times[index] > 3 * median && times[index] - median > 20;
      }
      EXPECT_NEAR(Seconds(estimates[index].expected) * 1000, expected, 0.01);
      EXPECT_EQ(estimates[index].slow, slow);
      EXPECT_EQ(estimates[index].known, own);
    }
  }
}

TEST(TargetSpeed, UnevenTargetsServeABurstFasterThanByLoadAlone)
{
  double means[2] = {};
  for (const bool byTime : { false, true }) {
    FakeTargets fleet({ { "ikeja", 6 } }, byTime ? std::optional(kPolicy) : std::nullopt);
    for (int index = 0; index < 6; ++index) {
      fleet.TargetAt("ikeja" + std::to_string(index)).speed = 0.5 + 0.2 * index;
    }
    fleet.SetRate("ikeja", 110);
    fleet.Advance(seconds(5));
    fleet.SetRate("ikeja", 260); // 87% of the capacity
    fleet.Advance(seconds(6));
    fleet.SetRate("ikeja", 110);
    fleet.Advance(seconds(5));
    means[byTime ? 1 : 0] = MeanTime(fleet);
  }
  EXPECT_LT(means[1], means[0]);
}

TEST(TargetSpeed, SlowTargetsAreLeftAndUsedAgain)
{
  FakeTargets fleet({ { "ikeja", 10 } }, kPolicy);
  fleet.SetRate("ikeja", 180); // 60% of the capacity of the six others
  fleet.Advance(seconds(5));
  for (int index = 0; index < 4; ++index) {
    fleet.TargetAt("ikeja" + std::to_string(index)).speed = 1.0 / 12;
  }
  fleet.Advance(seconds(4));
  const Time left = fleet.Now();
  fleet.Advance(seconds(5));
  EXPECT_LT(ShareOf(fleet, left, "ikeja4"), 0.1);
  for (int index = 0; index < 4; ++index) {
    fleet.TargetAt("ikeja" + std::to_string(index)).speed = 1;
  }
  fleet.Advance(seconds(6));
  const Time back = fleet.Now();
  fleet.Advance(seconds(5));
  EXPECT_GT(ShareOf(fleet, back, "ikeja4"), 0.3);
}

} // namespace
} // namespace jackdawwind
