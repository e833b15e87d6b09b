#include "decisions/mesh/target_scheduler.h"

#include "decisions/mesh/request_rank.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawwind {

namespace {

/// Time of a route before its first answer: a usual look-up.
constexpr Duration kFirstGuess = std::chrono::milliseconds(100);
/// Weight of the newest sample in a mean of about ten.
constexpr double kSampleWeight = 0.1;
/// Time that a waiting request must have left to be started, in mean times of its route: one that
/// starts with less mostly fails at its deadline after all of its work.
constexpr double kTimeMargin = 1.5;
constexpr std::uint32_t kPerMille = 1000;
/// Part of the slots that is the callers' while one of them waits.
constexpr double kCallersPart = 0.25;

Duration
Blend(Duration aMean, Duration aSample)
{
  const double mean = static_cast<double>(aMean.count());
  const double sample = static_cast<double>(aSample.count());
  return Duration(static_cast<Duration::rep>(mean + (sample - mean) * kSampleWeight));
}

} // namespace

Duration
TargetScheduler::ExpectedTime(const std::string& aRoute) const
{
  const auto found = this->routeTime.find(aRoute);
  return found == this->routeTime.end() ? kFirstGuess : found->second;
}

void
TargetScheduler::SetSlots(std::uint32_t aSlots)
{
  this->slots = aSlots;
  this->chain.SetSlots(aSlots);
}

bool
TargetScheduler::CallerWaits() const
{
  return this->waiting.lower_bound(Key{ kFirstCallerRank, 0 }) != this->waiting.end();
}

bool
TargetScheduler::HasRoom(std::uint32_t aRank) const
{
  if (this->Running() >= this->slots) {
    return false;
  }
  if (!IsCall(aRank)) {
    return this->runningCallers < this->chain.Limit();
  }
  if (!this->CallerWaits()) {
    return true;
  }
  const std::size_t part = static_cast<std::size_t>(this->slots * kCallersPart);
  const std::size_t owned = std::min(part, this->chain.Limit());
  const std::size_t kept = owned > this->runningCallers ? owned - this->runningCallers : 0;
  return this->Running() + kept < this->slots;
}

void
TargetScheduler::CountRunning(std::uint32_t aRank)
{
  ++(IsCall(aRank) ? this->runningCalls : this->runningCallers);
}

TargetScheduler::Queue::iterator
TargetScheduler::NextToRun()
{
  const Queue::iterator first = this->waiting.begin();
  if (first == this->waiting.end() || this->HasRoom(first->first.rank)) {
    return first;
  }
  const Queue::iterator caller = this->waiting.lower_bound(Key{ kFirstCallerRank, 0 });
  if (caller == this->waiting.end() || !this->HasRoom(caller->first.rank)) {
    return this->waiting.end();
  }
  return caller;
}

Duration
TargetScheduler::ExpectedWait(std::uint32_t aRank) const
{
  const auto end = this->waiting.upper_bound(Key{ aRank, this->lastNumber });
  const auto ahead = std::distance(this->waiting.begin(), end);
  const Duration mean = this->meanTime > Duration::zero() ? this->meanTime : kFirstGuess;
  const std::size_t room = IsCall(aRank) ? this->slots : this->chain.Limit();
  return mean * (ahead + 1) / static_cast<std::int64_t>(std::max<std::size_t>(room, 1));
}

Duration
TargetScheduler::TimeNeeded(const HopContext& aContext) const
{
  const double expected = static_cast<double>(this->ExpectedTime(aContext.RouteName()).count());
  return Duration(static_cast<Duration::rep>(expected * kTimeMargin));
}

Time
TargetScheduler::ExpiryOf(const Waiting& aWaiting) const
{
  return aWaiting.deadline - this->TimeNeeded(aWaiting.context);
}

TargetScheduler::Verdict
TargetScheduler::Offer(const Waiting& aWaiting, Time aNow)
{
  const std::uint32_t rank = aWaiting.context.Rank();
  const bool overtakes = this->waiting.empty() || rank < this->waiting.begin()->first.rank;
  if (overtakes && this->HasRoom(rank)) {
    this->CountRunning(rank);
    return Verdict::kRun;
  }
  if (this->waiting.size() >= kMaxWaiting) {
    return Verdict::kFull;
  }
  const Duration needed = this->TimeNeeded(aWaiting.context);
  if (aNow + this->ExpectedWait(rank) + needed > aWaiting.deadline) {
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
TargetScheduler::Erase(Queue::iterator aEntry)
{
  const Key key = aEntry->first;
  this->expiries.erase({ aEntry->second.expiry, key });
  this->byExchange.erase(aEntry->second.request.exchange);
  this->waiting.erase(aEntry);
}

std::optional<TargetScheduler::Waiting>
TargetScheduler::TakeNext()
{
  const Queue::iterator entry = this->NextToRun();
  if (entry == this->waiting.end()) {
    return std::nullopt;
  }
  Waiting next = entry->second.request;
  this->Erase(entry);
  this->CountRunning(next.context.Rank());
  return next;
}

std::vector<TargetScheduler::Waiting>
TargetScheduler::TakeExpired(Time aNow)
{
  std::vector<Waiting> expired;
  while (!this->expiries.empty() && this->expiries.begin()->first <= aNow) {
    const auto entry = this->waiting.find(this->expiries.begin()->second);
    expired.push_back(entry->second.request);
    this->Erase(entry);
  }
  return expired;
}

std::vector<TargetScheduler::Waiting>
TargetScheduler::TakeAll()
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
TargetScheduler::Abandon(std::uint64_t aExchange)
{
  const auto found = this->byExchange.find(aExchange);
  if (found == this->byExchange.end()) {
    return false;
  }
  this->Erase(this->waiting.find(found->second));
  return true;
}

void
TargetScheduler::Finish(const HopContext& aContext, const End& aEnd, Time aNow)
{
  const std::uint32_t rank = aContext.Rank();
  std::size_t& running = IsCall(rank) ? this->runningCalls : this->runningCallers;
  if (!IsCall(rank) && aEnd.failed) {
    this->chain.NoteFailure(running, RoutePriorityOf(rank), aNow);
  } else if (!IsCall(rank) && aEnd.took) {
    this->chain.NoteSuccess(running);
  }
  if (running > 0) {
    --running;
  }
  if (!aEnd.took) {
    return;
  }
  const auto entry = this->routeTime.try_emplace(aContext.RouteName(), *aEnd.took).first;
  entry->second = Blend(entry->second, *aEnd.took);
  this->meanTime =
    this->meanTime > Duration::zero() ? Blend(this->meanTime, *aEnd.took) : *aEnd.took;
}

Time
TargetScheduler::NextExpiry() const
{
  return this->expiries.empty() ? Time::max() : this->expiries.begin()->first;
}

std::uint32_t
TargetScheduler::LoadPerMille() const
{
  const std::size_t load = this->Running() + this->waiting.size();
  const std::size_t all = load * kPerMille / std::max<std::uint32_t>(this->slots, 1);
  const std::size_t callers =
    this->runningCallers * kPerMille / std::max<std::size_t>(this->chain.Limit(), 1);
  return static_cast<std::uint32_t>(std::max(all, callers));
}

} // namespace jackdawwind
