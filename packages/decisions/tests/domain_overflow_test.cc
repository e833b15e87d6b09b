// Guards against traffic that swings between domains of which each looks better in turn, against a
// domain that stays overloaded beside an idle one, and against requests that fail at home although
// another domain could serve them.
#include "decisions/mesh/domain_overflow.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/fake_targets.h"
#include "decisions/tests/test_seed.h"
#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "fuel";
constexpr Distance kDomain = Distance::kOwnRegion;

class DomainOverflowTest : public testing::Test
{
protected:
  DomainOverflowTest() { this->overflow.SetMinGain(kDomain, milliseconds(40)); }

  /// Observes this gain for one step; returns the share.
  double Step(int aGain, double aLoad)
  {
    this->overflow.Observe(
      kService,
      kDomain,
      { .near = milliseconds(200 + aGain), .far = milliseconds(200), .nearLoad = aLoad },
      this->now);
    this->now += DomainOverflow::kStepInterval;
    this->overflow.Poll(this->now);
    return this->overflow.Share(kService, kDomain);
  }

  DomainOverflow overflow;
  Time now{ seconds(100) };
};

TEST_F(DomainOverflowTest, RisesAndFallsInBoundedStepsAndReportsThem)
{
  EXPECT_DOUBLE_EQ(this->Step(30, 1.2), 0) << "under the minimum gain";
  EXPECT_DOUBLE_EQ(this->Step(400, 1.2), 0.1);
  EXPECT_DOUBLE_EQ(this->Step(400, 1.2), 0.2);
  EXPECT_DOUBLE_EQ(this->Step(400, 1.0), 0.2) << "the queue shrinks already";
  int sent = 0;
  for (int index = 0; index < 50; ++index) {
    sent += this->overflow.Take(kService, kDomain) ? 1 : 0;
  }
  EXPECT_EQ(sent, 10);
  std::vector<DomainOverflow::Change> changes = this->overflow.TakeChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_TRUE(changes[0].reported && changes[1].reported);
  for (int index = 0; index < 20; ++index) {
    this->Step(-400, 0.1);
  }
  changes = this->overflow.TakeChanges();
  EXPECT_DOUBLE_EQ(changes.back().share, 0);
  EXPECT_EQ(this->overflow.NextWake(), Time::max());
}

TEST_F(DomainOverflowTest, EndsTheShareOfAServiceWithoutRequests)
{
  this->Step(400, 1.2);
  this->now = this->overflow.NextWake();
  this->overflow.Poll(this->now);
  EXPECT_DOUBLE_EQ(this->overflow.Share(kService, kDomain), 0);
}

TEST_F(DomainOverflowTest, DoesNotFollowDomainsThatLookBetterInTurn)
{
  double low = 1;
  double high = 0;
  for (int step = 0; step < 300; ++step) {
    const double share = this->Step(step / 3 % 2 == 0 ? 150 : -150, 0.9);
    low = step < 50 ? 1 : std::min(low, share);
    high = step < 50 ? 0 : std::max(high, share);
  }
  EXPECT_LE(high - low, 0.3);
}

TEST_F(DomainOverflowTest, AgreesWithAnObviousModel)
{
  for (const std::uint64_t seed : TestSeeds(300)) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    this->overflow = DomainOverflow();
    const double minGain = 1 + static_cast<double>(random.Below(100));
    this->overflow.SetMinGain(kDomain, milliseconds(static_cast<int>(minGain)));
    std::vector<double> gains;
    std::vector<double> loads;
    double share = 0;
    for (int step = 0; step < 40; ++step) {
      const int gain = static_cast<int>(random.Below(400)) - 150;
      const double load = random.Fraction() * 1.5;
      gains.push_back(gains.empty() ? gain : (gains.back() + gain) / 2);
      loads.push_back(loads.empty() ? load : (loads.back() + load) / 2);
      const double smooth = gains.back();
      const bool falling = step > 0 && loads[loads.size() - 1] < loads[loads.size() - 2] - 0.02;
      if (smooth > minGain && !falling) {
        const double excess = (smooth - minGain) / minGain;
        share += std::min(0.1, std::max(0.01, 0.1 * excess));
      } else if (smooth < minGain / 2) {
        const double lack = std::min(1.0, (minGain / 2 - smooth) / (minGain / 2));
        share -= 0.2 * lack * std::min(1.0, std::max(0.1, (1 - loads.back()) * 4));
        share = share < 0.01 ? 0 : share;
      }
      share = std::min(share, 1.0);
      ASSERT_NEAR(this->Step(gain, load), share, 1e-6);
    }
  }
}

TEST(DomainOverflowFleet, ADomainTooSmallByAThirdSendsWhatItCannotServe)
{
  FakeTargets fleet({ { "ikeja", 6 }, { "apapa", 6 } },
                    RegionPolicy({ .region = "lagos", .minGain = milliseconds(40) }));
  fleet.SetRate("ikeja", 420); // capacity of a domain: 300
  fleet.SetRate("apapa", 60);
  fleet.Advance(seconds(10));
  const std::size_t settled = fleet.Log().size();
  const std::size_t moves = fleet.SharesOf("ikeja0").size();
  fleet.Advance(seconds(20));
  double left = 0;
  double late = 0;
  double all = 0;
  for (std::size_t index = settled; index < fleet.Log().size(); ++index) {
    const FakeTargets::Done& done = fleet.Log()[index];
    if (done.domain == "ikeja") {
      all += 1;
      left += done.node.starts_with("ikeja") ? 0 : 1;
      late += done.took > milliseconds(500) ? 1 : 0;
    }
  }
  EXPECT_GT(left / all, 0.25);
  EXPECT_LT(left / all, 0.5);
  EXPECT_LT(late / all, 0.02);
  // With full steps whatever the gain, the share swings between 0 and 0.9.
  const std::vector<double>& shares = fleet.SharesOf("ikeja0");
  ASSERT_GT(moves, 0U);
  const auto first = shares.begin() + static_cast<std::ptrdiff_t>(moves) - 1;
  const auto range = std::minmax_element(first, shares.end());
  EXPECT_LT(*range.second - *range.first, 0.5);
}

TEST(DomainOverflowFleet, StaysAtHomeWhileThereIsRoom)
{
  FakeTargets fleet({ { "ikeja", 6 }, { "apapa", 6 } }, RegionPolicy({ .region = "lagos" }));
  fleet.SetRate("ikeja", 210);
  fleet.SetRate("apapa", 210);
  fleet.Advance(seconds(10));
  for (const FakeTargets::Done& done : fleet.Log()) {
    ASSERT_TRUE(done.node.starts_with(done.domain)) << done.node;
  }
}

} // namespace
} // namespace jackdawwind
