#include "decisions/mesh/target_gate.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawwind {

namespace {

/// Time of a route before its first answer: a usual look-up.
constexpr Duration kFirstGuess = std::chrono::milliseconds(100);
/// Weight of the newest sample in a mean of about ten.
constexpr double kSampleWeight = 0.1;
constexpr std::uint32_t kPerMille = 1000;

Duration
Blend(Duration aMean, Duration aSample)
{
  const double mean = static_cast<double>(aMean.count());
  const double sample = static_cast<double>(aSample.count());
  return Duration(static_cast<Duration::rep>(mean + (sample - mean) * kSampleWeight));
}

} // namespace

Duration
TargetGate::ExpectedTime(const std::string& aRoute) const
{
  const auto found = this->routeTime.find(aRoute);
  return found == this->routeTime.end() ? kFirstGuess : found->second;
}

Duration
TargetGate::ExpectedWait(std::uint32_t aRank) const
{
  const auto end = this->waiting.upper_bound(Key{ aRank, this->lastNumber });
  const auto ahead = std::distance(this->waiting.begin(), end);
  const Duration mean = this->meanTime > Duration::zero() ? this->meanTime : kFirstGuess;
  return mean * (ahead + 1) / std::max<std::uint32_t>(this->slots, 1);
}

Time
TargetGate::ExpiryOf(const Waiting& aWaiting) const
{
  // Half of the mean: times spread widely, and many requests are faster than the mean.
  return aWaiting.deadline - this->ExpectedTime(aWaiting.context.RouteName()) / 2;
}

TargetGate::Verdict
TargetGate::Offer(const Waiting& aWaiting, Time aNow)
{
  if (this->running < this->slots && this->waiting.empty()) {
    ++this->running;
    return Verdict::kRun;
  }
  if (this->waiting.size() >= kMaxWaiting) {
    return Verdict::kFull;
  }
  const std::uint32_t rank = aWaiting.context.Rank();
  const Duration expected = this->ExpectedTime(aWaiting.context.RouteName());
  if (aNow + this->ExpectedWait(rank) + expected > aWaiting.deadline) {
    return Verdict::kTooLate;
  }
  const Key key{ rank, ++this->lastNumber };
  const Time expiry = this->ExpiryOf(aWaiting);
  this->waiting.emplace(key, Entry{ aWaiting, expiry });
  this->byExchange.emplace(aWaiting.exchange, key);
  this->expiries.emplace(expiry, key);
  return Verdict::kWait;
}

void
TargetGate::Erase(Queue::iterator aEntry)
{
  const Key key = aEntry->first;
  this->expiries.erase({ aEntry->second.expiry, key });
  this->byExchange.erase(aEntry->second.request.exchange);
  this->waiting.erase(aEntry);
}

std::optional<TargetGate::Waiting>
TargetGate::TakeNext()
{
  if (this->waiting.empty() || this->running >= this->slots) {
    return std::nullopt;
  }
  Waiting next = this->waiting.begin()->second.request;
  this->Erase(this->waiting.begin());
  ++this->running;
  return next;
}

std::vector<TargetGate::Waiting>
TargetGate::TakeExpired(Time aNow)
{
  std::vector<Waiting> expired;
  while (!this->expiries.empty() && this->expiries.begin()->first <= aNow) {
    const auto entry = this->waiting.find(this->expiries.begin()->second);
    expired.push_back(entry->second.request);
    this->Erase(entry);
  }
  return expired;
}

std::vector<TargetGate::Waiting>
TargetGate::TakeAll()
{
  std::vector<Waiting> all;
  for (const Queue::value_type& entry : this->waiting) {
    all.push_back(entry.second.request);
  }
  this->waiting.clear();
  this->byExchange.clear();
  this->expiries.clear();
  return all;
}

bool
TargetGate::Abandon(std::uint64_t aExchange)
{
  const auto found = this->byExchange.find(aExchange);
  if (found == this->byExchange.end()) {
    return false;
  }
  this->Erase(this->waiting.find(found->second));
  return true;
}

void
TargetGate::End(const std::string& aRoute, std::optional<Duration> aTook)
{
  if (this->running > 0) {
    --this->running;
  }
  if (!aTook) {
    return;
  }
  const auto entry = this->routeTime.try_emplace(aRoute, *aTook).first;
  entry->second = Blend(entry->second, *aTook);
  this->meanTime = this->meanTime > Duration::zero() ? Blend(this->meanTime, *aTook) : *aTook;
}

Time
TargetGate::NextExpiry() const
{
  return this->expiries.empty() ? Time::max() : this->expiries.begin()->first;
}

std::uint32_t
TargetGate::LoadPerMille() const
{
  const std::size_t load = this->running + this->waiting.size();
  return static_cast<std::uint32_t>(load * kPerMille / std::max<std::uint32_t>(this->slots, 1));
}

} // namespace jackdawwind
