// Guards against calls that leave the queue in the wrong order, more than once, late or never, by
// comparing the queue with a simple reference model on random operations.
#include "decisions/overload/admission_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <tuple>

#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCapacity = 6;
constexpr Duration kTimeout = milliseconds(40);
constexpr ExpectedServiceTimes kExpected = { milliseconds(1),
                                             milliseconds(2),
                                             milliseconds(3),
                                             milliseconds(4) };
const std::map<std::string, double> kWeights = { { "north", 1 }, { "south", 2 }, { "west", 0.5 } };

/// Reference model: sums all starts for every comparison and sorts all calls for every choice.
class ModelQueue
{
public:
  explicit ModelQueue(PolicyKind aKind)
    : kind(aKind)
  {
  }

  std::optional<PendingCall> Push(const PendingCall& aCall, bool aOverloaded, Time aNow)
  {
    this->calls.push_back(aCall);
    if (this->calls.size() <= kCapacity) {
      return std::nullopt;
    }
    this->Sort(aOverloaded, aNow, true);
    return this->TakeLast();
  }
  std::optional<PendingCall> Pop(bool aOverloaded, Time aNow)
  {
    if (this->calls.empty()) {
      return std::nullopt;
    }
    this->Sort(aOverloaded, aNow, false);
    std::reverse(this->calls.begin(), this->calls.end());
    PendingCall call = this->TakeLast();
    this->starts.emplace_back(call.organisation, aNow);
    return call;
  }
  bool Remove(std::uint64_t aExchange)
  {
    return std::erase_if(this->calls,
                         [&](const PendingCall& aCall) { return aCall.exchange == aExchange; }) > 0;
  }
  std::map<std::uint64_t, ResultCode> DropExpired(Time aNow)
  {
    std::map<std::uint64_t, ResultCode> dropped;
    for (const PendingCall& call : this->calls) {
      if (aNow >= call.deadline) {
        dropped[call.exchange] = ResultCode::kQueueExpired;
      } else if (aNow >= call.arrived + kTimeout) {
        dropped[call.exchange] = ResultCode::kShedAtTarget;
      } else if (call.deadline - aNow <= kExpected[static_cast<std::size_t>(call.importance)]) {
        dropped[call.exchange] = ResultCode::kDeadlineTooShort;
      }
    }
    std::erase_if(this->calls,
                  [&](const PendingCall& aCall) { return dropped.count(aCall.exchange) > 0; });
    return dropped;
  }
  std::size_t Size() const { return this->calls.size(); }

private:
  PendingCall TakeLast()
  {
    PendingCall call = this->calls.back();
    this->calls.pop_back();
    return call;
  }
  double ShareOf(const PendingCall& aCall, Time aNow, bool aWithQueue) const
  {
    double sum = 0;
    for (const std::pair<std::string, Time>& start : this->starts) {
      const double age = std::chrono::duration<double>(aNow - start.second).count();
      sum += start.first == aCall.organisation ? std::exp(-age / 2.0) : 0;
    }
    for (const PendingCall& call : this->calls) {
      sum += aWithQueue && call.organisation == aCall.organisation ? 1 : 0;
    }
    return sum / kWeights.at(aCall.organisation);
  }
  /// Sorts the calls: the first one is the next to run, the last one the next to shed.
  void Sort(bool aOverloaded, Time aNow, bool aWithQueue)
  {
    const bool fair = this->kind == PolicyKind::kFairness;
    const auto key = [&](const PendingCall& aCall) {
      const double share = fair ? this->ShareOf(aCall, aNow, aWithQueue) : 0;
      const std::int64_t age = aCall.arrived.time_since_epoch().count();
      return std::make_tuple(aCall.importance,
                             share,
                             fair ? aCall.organisation : std::string(),
                             -static_cast<int>(aCall.priority),
                             aOverloaded && !fair ? -age : age);
    };
    // Sorts a copy, because the keys are computed from this->calls.
    std::vector<PendingCall> sorted = this->calls;
    std::sort(
      sorted.begin(), sorted.end(), [&](const PendingCall& aLeft, const PendingCall& aRight) {
        return key(aLeft) < key(aRight);
      });
    this->calls = std::move(sorted);
  }

  PolicyKind kind;
  std::vector<PendingCall> calls;
  std::vector<std::pair<std::string, Time>> starts;
};

PendingCall
RandomCall(Random& aRandom, std::uint64_t aExchange, Time aNow)
{
  const std::array<const char*, 3> organisations = { "north", "south", "west" };
  return { .exchange = aExchange,
           .organisation = organisations[aRandom.Below(organisations.size())],
           .importance = static_cast<Importance>(aRandom.Below(4)),
           .priority = static_cast<std::uint32_t>(aRandom.Below(3)),
           .arrived = aNow,
           .deadline = aNow + milliseconds(aRandom.Below(80)) };
}

void
ExpectSameExpired(AdmissionQueue& aQueue, ModelQueue& aModel, Time aNow)
{
  std::map<std::uint64_t, ResultCode> codes;
  for (const DroppedCall& dropped : aQueue.DropExpired(kExpected, aNow)) {
    codes[dropped.call.exchange] = dropped.code;
  }
  EXPECT_EQ(codes, aModel.DropExpired(aNow));
  EXPECT_GT(aQueue.NextExpiry(kExpected), aNow);
}

void
RunAgainstModel(PolicyKind aKind, std::uint64_t aSeed)
{
  SCOPED_TRACE("seed " + std::to_string(aSeed) + ", policy " + std::string(ToText(aKind)));
  Random random(aSeed);
  ModelQueue model(aKind);
  AdmissionQueue queue;
  queue.Configure(kCapacity, kTimeout);
  ShedPolicy policy = MakeShedPolicy(aKind);
  SetWeights(policy, kWeights);
  Time now{};
  for (std::uint64_t step = 1; step <= 2000 && !testing::Test::HasFailure(); ++step) {
    now += Duration(1 + random.Below(5000));
    const bool overloaded = random.Below(2) == 0;
    const std::uint64_t action = random.Below(10);
    if (action < 6) {
      const PendingCall call = RandomCall(random, step, now);
      EXPECT_EQ(queue.Push(call, policy, overloaded, now), model.Push(call, overloaded, now));
    } else if (action < 8) {
      const std::optional<PendingCall> call = queue.Pop(policy, overloaded, now);
      EXPECT_EQ(call, model.Pop(overloaded, now));
      NoteStart(policy, call.value_or(PendingCall()), now);
    } else if (action < 9) {
      EXPECT_EQ(queue.Remove(step - 5), model.Remove(step - 5));
    } else {
      ExpectSameExpired(queue, model, now);
    }
    ASSERT_EQ(queue.Size(), model.Size());
  }
}

TEST(AdmissionQueue, AgreesWithTheReferenceModel)
{
  const std::uint64_t base = std::random_device()();
  std::printf("seed %llu\n", static_cast<unsigned long long>(base));
  for (std::uint64_t seed = base; seed < base + 20; ++seed) {
    RunAgainstModel(PolicyKind::kGoodput, seed);
    RunAgainstModel(PolicyKind::kFairness, seed);
  }
}

} // namespace
} // namespace jackdawwind
