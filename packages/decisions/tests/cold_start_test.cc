// Guards against more requests at a cold target than it takes, whatever kind they are and however
// they arrive, and against a limit where the configuration asks for none.
#include <algorithm>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/mesh/local_target.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 5.3;
constexpr std::size_t kBound = 7; // rate x 1 s + kBurst

/// A target that answers each request after 20 ms, and its node.
class ColdTarget
{
public:
  explicit ColdTarget(Duration aColdTime)
  {
    this->target.Configure(
      MeshConfiguration({ .version = 1,
                          .coldStarts = { ColdStartRule(
                            { .service = "fleet", .time = aColdTime, .rate = kRate }) } }),
      this->now);
  }
  ColdTarget() = default;

  void Beat(Duration aColdLeft, std::uint64_t aStartedAtMs = 1)
  {
    this->target.Receive(TargetHeartbeat({ .instance = "i1",
                                           .host = "10.0.0.1",
                                           .port = 80,
                                           .service = "fleet",
                                           .state = TargetState::kReady,
                                           .slots = 40,
                                           .coldStartRemaining = aColdLeft,
                                           .sequence = ++this->sequence,
                                           .startedAtMs = aStartedAtMs }),
                         this->now,
                         this->effects);
    this->Apply();
  }

  /// Offers a request every aInterval, calls and callers' requests in turn.
  void Load(Duration aTime, Duration aInterval = milliseconds(10))
  {
    const Time end = this->now + aTime;
    Time nextOffer = this->now;
    while (this->now < end) {
      if (this->now >= nextOffer) {
        this->Offer();
        nextOffer += aInterval;
      }
      const Time answer = this->running.empty() ? Time::max() : this->running.front().second;
      const Time next = std::min({ nextOffer, answer, this->target.NextWake(), end });
      // A wake-up that is due already would make the node's thread spin.
      ASSERT_TRUE(next > this->now || answer <= this->now);
      this->now = std::max(this->now, next);
      if (answer <= this->now) {
        const std::uint64_t exchange = this->running.front().first;
        this->running.erase(this->running.begin());
        this->target.Receive(
          SendEnded({ .exchange = exchange,
                      .attempt = 1,
                      .outcome = TargetReplied({ .status = 200, .genuine = true }) }),
          this->now,
          this->effects);
      }
      this->target.Poll(this->now, this->effects);
      this->Apply();
    }
  }

  void Offer()
  {
    const std::uint64_t exchange = ++this->lastExchange;
    this->target.Offer({ .exchange = exchange,
                         .requestId = "r" + std::to_string(exchange),
                         .context = HopContext({ .routeName = "r",
                                                 .service = "fleet",
                                                 .rank = exchange % 2 == 0 ? 0U : 1000U,
                                                 .idempotent = true }),
                         .deadline = this->now + seconds(5) },
                       this->now,
                       this->effects);
    this->Apply();
  }

  /// Most requests that started within a second, from aFrom on.
  std::size_t MostInOneSecond(Time aFrom) const
  {
    std::size_t most = 0;
    for (std::size_t first = 0; first < this->starts.size(); ++first) {
      std::size_t count = 0;
      for (std::size_t index = first;
           index < this->starts.size() && this->starts[index] < this->starts[first] + seconds(1);
           ++index) {
        ++count;
      }
      most = this->starts[first] >= aFrom ? std::max(most, count) : most;
    }
    return most;
  }

  LocalTarget target;
  Time now{ seconds(100) };
  std::vector<Time> starts;

private:
  void Apply()
  {
    for (const Effect& effect : this->effects) {
      if (const CallTarget* call = std::get_if<CallTarget>(&effect)) {
        this->starts.push_back(this->now);
        this->running.emplace_back(call->Exchange(), this->now + milliseconds(20));
      }
    }
    this->effects.clear();
  }

  Effects effects;
  std::vector<std::pair<std::uint64_t, Time>> running;
  std::uint64_t sequence = 0;
  std::uint64_t lastExchange = 0;
};

TEST(ColdStart, LimitsAllRequestsWhileTheTargetIsCold)
{
  ColdTarget cold(seconds(3));
  cold.Beat(seconds(3));
  const Time begin = cold.now;
  cold.Load(milliseconds(2900));
  EXPECT_LE(cold.MostInOneSecond(begin), kBound);
  // The target is used at its rate, and fully once it is warm.
  EXPECT_GE(cold.starts.size(), 14U);
  EXPECT_GE(cold.target.Scheduler().LoadPerMille(), 1000U);
  cold.Beat(Duration::zero());
  cold.Load(seconds(2));
  EXPECT_GE(cold.starts.size(), 200U);
}

TEST(ColdStart, LimitsATargetThatBecomesColdAgain)
{
  ColdTarget cold(seconds(3));
  cold.Beat(Duration::zero());
  cold.Load(seconds(1));
  EXPECT_GE(cold.starts.size(), 90U);
  for (int round = 0; round < 3; ++round) {
    cold.Beat(milliseconds(1500));
    const Time begin = cold.now;
    cold.Load(milliseconds(1400));
    EXPECT_LE(cold.MostInOneSecond(begin), kBound);
    cold.Beat(Duration::zero());
    cold.Load(milliseconds(500));
  }
}

TEST(ColdStart, NewStartIsColdForTheConfiguredTime)
{
  ColdTarget cold(seconds(3));
  cold.Beat(Duration::zero(), 1);
  cold.Beat(milliseconds(100), 2);
  const Time begin = cold.now;
  cold.Load(milliseconds(2950));
  EXPECT_LE(cold.MostInOneSecond(begin), kBound);
  cold.Load(seconds(1));
  EXPECT_GE(cold.MostInOneSecond(begin), 90U);
}

TEST(ColdStart, OneRequestASecondBeforeTheFirstConfiguration)
{
  ColdTarget cold;
  cold.Beat(seconds(10));
  cold.Load(seconds(5), milliseconds(100));
  EXPECT_GE(cold.starts.size(), 4U);
  EXPECT_LE(cold.starts.size(), 5U);
  cold.target.Configure(MeshConfiguration({ .version = 1 }), cold.now);
  cold.Load(seconds(1));
  EXPECT_GE(cold.starts.size(), 90U);
}

TEST(ColdStart, ServiceWithoutARateHasNoLimit)
{
  ColdTarget cold;
  cold.target.Configure(
    MeshConfiguration(
      { .version = 1, .coldStarts = { ColdStartRule({ .service = "hires", .rate = 1 }) } }),
    cold.now);
  cold.Beat(seconds(10));
  cold.Load(seconds(1));
  EXPECT_GE(cold.starts.size(), 99U);
}

} // namespace
} // namespace jackdawwind
