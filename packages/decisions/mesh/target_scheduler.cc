#include "decisions/mesh/target_scheduler.h"

#include "decisions/mesh/request_rank.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawwind {

namespace {

/// Mean time that is assumed for a route before its first answer: that of a typical look-up.
constexpr Duration kInitialMeanTime = std::chrono::milliseconds(100);
/// Weight of the newest sample in a mean time, which averages over about 10 samples.
constexpr double kSampleWeight = 0.1;
/// Time that a waiting request must have left to be started, as a multiple of its route's mean
/// time. Requests started with less mostly miss their deadline after all of their work is done.
constexpr double kTimeMargin = 1.5;
constexpr std::uint32_t kPerMille = 1000;
/// Share of the slots that is reserved for callers' requests while one of them waits.
constexpr double kCallerShare = 0.25;

Duration
UpdatedMean(Duration aMean, Duration aSample)
{
  const double mean = static_cast<double>(aMean.count());
  const double sample = static_cast<double>(aSample.count());
  return Duration(static_cast<Duration::rep>(mean + (sample - mean) * kSampleWeight));
}

} // namespace

Duration
TargetScheduler::ExpectedTime(const std::string& aRoute) const
{
  const auto found = this->meanTimeByRoute.find(aRoute);
  return found == this->meanTimeByRoute.end() ? kInitialMeanTime : found->second;
}

void
TargetScheduler::SetSlots(std::uint32_t aSlots)
{
  this->slots = aSlots;
  this->callerLimit.SetSlots(aSlots);
}

bool
TargetScheduler::CallerWaits() const
{
  return this->waiting.lower_bound(Key{ kFirstCallerRank, 0 }) != this->waiting.end();
}

bool
TargetScheduler::HasFreeSlot(std::uint32_t aRank) const
{
  if (this->startLimit.closed || this->Running() >= this->slots) {
    return false;
  }
  if (!IsNestedCall(aRank)) {
    return this->runningCallers < this->callerLimit.Limit();
  }
  if (!this->CallerWaits()) {
    return true;
  }
  const std::size_t share = static_cast<std::size_t>(this->slots * kCallerShare);
  const std::size_t reserved = std::min(share, this->callerLimit.Limit());
  const std::size_t unused = reserved > this->runningCallers ? reserved - this->runningCallers : 0;
  return this->Running() + unused < this->slots;
}

void
TargetScheduler::IncrementRunning(std::uint32_t aRank)
{
  ++(IsNestedCall(aRank) ? this->runningCalls : this->runningCallers);
}

TargetScheduler::Queue::iterator
TargetScheduler::NextToRun()
{
  const Queue::iterator first = this->waiting.begin();
  if (first == this->waiting.end() || this->HasFreeSlot(first->first.rank)) {
    return first;
  }
  const Queue::iterator caller = this->waiting.lower_bound(Key{ kFirstCallerRank, 0 });
  if (caller == this->waiting.end() || !this->HasFreeSlot(caller->first.rank)) {
    return this->waiting.end();
  }
  return caller;
}

Duration
TargetScheduler::ExpectedWait(std::uint32_t aRank) const
{
  const auto end = this->waiting.upper_bound(Key{ aRank, this->lastSequence });
  const auto ahead = std::distance(this->waiting.begin(), end);
  const Duration mean = this->meanTime > Duration::zero() ? this->meanTime : kInitialMeanTime;
  const std::size_t concurrency = IsNestedCall(aRank) ? this->slots : this->callerLimit.Limit();
  const Duration wait =
    mean * (ahead + 1) / static_cast<std::int64_t>(std::max<std::size_t>(concurrency, 1));
  return std::max<Duration>(wait, this->startLimit.interval * (ahead + 1));
}

Duration
TargetScheduler::RequiredTime(const HopContext& aContext) const
{
  const double expected = static_cast<double>(this->ExpectedTime(aContext.RouteName()).count());
  return Duration(static_cast<Duration::rep>(expected * kTimeMargin));
}

Time
TargetScheduler::ExpiryOf(const WaitingRequest& aRequest) const
{
  return aRequest.deadline - this->RequiredTime(aRequest.context);
}

TargetScheduler::Verdict
TargetScheduler::Offer(const WaitingRequest& aRequest, Time aNow)
{
  const std::uint32_t rank = aRequest.context.Rank();
  const bool isFirst = this->waiting.empty() || rank < this->waiting.begin()->first.rank;
  if (isFirst && this->HasFreeSlot(rank)) {
    this->IncrementRunning(rank);
    return Verdict::kRun;
  }
  if (this->waiting.size() >= kMaxWaiting) {
    return Verdict::kQueueFull;
  }
  const Duration required = this->RequiredTime(aRequest.context);
  if (aNow + this->ExpectedWait(rank) + required > aRequest.deadline) {
    return Verdict::kTooLate;
  }
  const Key key{ rank, ++this->lastSequence };
  const Time expiry = this->ExpiryOf(aRequest);
  this->waiting.emplace(key, Entry{ aRequest, expiry });
  this->byExchange.emplace(aRequest.exchange, key);
  this->byExpiry.emplace(expiry, key);
  return Verdict::kWait;
}

void
TargetScheduler::Erase(Queue::iterator aEntry)
{
  const Key key = aEntry->first;
  this->byExpiry.erase({ aEntry->second.expiry, key });
  this->byExchange.erase(aEntry->second.request.exchange);
  this->waiting.erase(aEntry);
}

std::optional<TargetScheduler::WaitingRequest>
TargetScheduler::TakeNext()
{
  const Queue::iterator entry = this->NextToRun();
  if (entry == this->waiting.end()) {
    return std::nullopt;
  }
  WaitingRequest next = entry->second.request;
  this->Erase(entry);
  this->IncrementRunning(next.context.Rank());
  return next;
}

std::vector<TargetScheduler::WaitingRequest>
TargetScheduler::TakeExpired(Time aNow)
{
  std::vector<WaitingRequest> expired;
  while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= aNow) {
    const auto entry = this->waiting.find(this->byExpiry.begin()->second);
    expired.push_back(entry->second.request);
    this->Erase(entry);
  }
  return expired;
}

std::vector<TargetScheduler::WaitingRequest>
TargetScheduler::TakeAll()
{
  std::vector<WaitingRequest> all;
  for (const Queue::value_type& entry : this->waiting) {
    all.push_back(entry.second.request);
  }
  this->waiting.clear();
  this->byExchange.clear();
  this->byExpiry.clear();
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
TargetScheduler::ShortenDeadline(std::uint64_t aExchange, Time aDeadline)
{
  const auto found = this->byExchange.find(aExchange);
  if (found == this->byExchange.end()) {
    return;
  }
  const Key key = found->second;
  Entry& entry = this->waiting.at(key);
  this->byExpiry.erase({ entry.expiry, key });
  entry.request.deadline = std::min(entry.request.deadline, aDeadline);
  entry.expiry = this->ExpiryOf(entry.request);
  this->byExpiry.emplace(entry.expiry, key);
}

void
TargetScheduler::Finish(const HopContext& aContext, const Completion& aCompletion, Time aNow)
{
  const std::uint32_t rank = aContext.Rank();
  std::size_t& running = IsNestedCall(rank) ? this->runningCalls : this->runningCallers;
  if (!IsNestedCall(rank) && aCompletion.failed) {
    this->callerLimit.NoteFailure(running, RoutePriorityOf(rank), aNow);
  } else if (!IsNestedCall(rank) && aCompletion.took) {
    this->callerLimit.NoteSuccess(running);
  }
  if (running > 0) {
    --running;
  }
  if (!aCompletion.took) {
    return;
  }
  const auto entry =
    this->meanTimeByRoute.try_emplace(aContext.RouteName(), *aCompletion.took).first;
  entry->second = UpdatedMean(entry->second, *aCompletion.took);
  this->meanTime = this->meanTime > Duration::zero()
                     ? UpdatedMean(this->meanTime, *aCompletion.took)
                     : *aCompletion.took;
}

Time
TargetScheduler::NextExpiry() const
{
  return this->byExpiry.empty() ? Time::max() : this->byExpiry.begin()->first;
}

std::uint32_t
TargetScheduler::Capacity() const
{
  if (this->slots == 0 || this->startLimit.interval == Duration::zero()) {
    return this->slots;
  }
  const Duration mean = this->meanTime > Duration::zero() ? this->meanTime : kInitialMeanTime;
  return static_cast<std::uint32_t>(
    std::clamp<Duration::rep>(mean / this->startLimit.interval, 1, this->slots));
}

std::uint32_t
TargetScheduler::LoadPerMille() const
{
  const std::size_t load = this->Running() + this->waiting.size();
  const std::size_t all =
    std::max<std::size_t>(load * kPerMille / std::max<std::uint32_t>(this->Capacity(), 1),
                          this->startLimit.closed ? kPerMille : 0);
  const std::size_t callers =
    this->runningCallers * kPerMille / std::max<std::size_t>(this->callerLimit.Limit(), 1);
  return static_cast<std::uint32_t>(std::max(all, callers));
}

} // namespace jackdawwind
