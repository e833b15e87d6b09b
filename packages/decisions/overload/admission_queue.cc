#include "decisions/overload/admission_queue.h"

#include <algorithm>
#include <utility>

#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

void
AdmissionQueue::Configure(std::size_t aCapacity, Duration aTimeout)
{
  this->capacity = aCapacity;
  this->timeout = aTimeout;
}

std::optional<PendingCall>
AdmissionQueue::Push(const PendingCall& aCall,
                     const ShedPolicy& aPolicy,
                     bool aOverloaded,
                     Time aNow)
{
  this->calls.push_back(aCall);
  ++this->queuedByOrganisation[aCall.organisation];
  if (this->calls.size() <= this->capacity) {
    return std::nullopt;
  }
  const QueueView view{ .queued = this->queuedByOrganisation,
                        .overloaded = aOverloaded,
                        .now = aNow };
  return this->RemoveAt(NextToShed(aPolicy, this->calls, view));
}

std::optional<PendingCall>
AdmissionQueue::Pop(const ShedPolicy& aPolicy, bool aOverloaded, Time aNow)
{
  if (this->calls.empty()) {
    return std::nullopt;
  }
  const QueueView view{ .queued = this->queuedByOrganisation,
                        .overloaded = aOverloaded,
                        .now = aNow };
  return this->RemoveAt(NextToRun(aPolicy, this->calls, view));
}

std::vector<DroppedCall>
AdmissionQueue::DropExpired(const ExpectedServiceTimes& aExpected, Time aNow)
{
  std::vector<DroppedCall> dropped;
  for (std::size_t index = 0; index < this->calls.size();) {
    const PendingCall& call = this->calls[index];
    if (this->ExpiryOf(call, aExpected) > aNow) {
      ++index;
      continue;
    }
    ResultCode code = ResultCode::kShedAtTarget;
    if (call.deadline <= aNow) {
      code = ResultCode::kQueueExpired;
    } else if (call.arrived + this->timeout > aNow) {
      code = ResultCode::kDeadlineTooShort;
    }
    dropped.push_back({ .call = this->RemoveAt(index), .code = code });
  }
  return dropped;
}

std::vector<PendingCall>
AdmissionQueue::Clear()
{
  this->queuedByOrganisation.clear();
  return std::exchange(this->calls, {});
}

bool
AdmissionQueue::Remove(std::uint64_t aExchange)
{
  for (std::size_t index = 0; index < this->calls.size(); ++index) {
    if (this->calls[index].exchange == aExchange) {
      this->RemoveAt(index);
      return true;
    }
  }
  return false;
}

Duration
AdmissionQueue::LongestDelay(std::uint32_t aRank, Time aNow) const
{
  Duration delay{};
  for (const PendingCall& call : this->calls) {
    if (RankOf(call.importance, call.priority) >= aRank) {
      delay = std::max(delay, aNow - call.arrived);
    }
  }
  return delay;
}

Time
AdmissionQueue::NextExpiry(const ExpectedServiceTimes& aExpected) const
{
  Time next = Time::max();
  for (const PendingCall& call : this->calls) {
    next = std::min(next, this->ExpiryOf(call, aExpected));
  }
  return next;
}

Time
AdmissionQueue::ExpiryOf(const PendingCall& aCall, const ExpectedServiceTimes& aExpected) const
{
  const Duration expected = aExpected[static_cast<std::size_t>(aCall.importance)];
  return std::min(aCall.arrived + this->timeout, aCall.deadline - expected);
}

PendingCall
AdmissionQueue::RemoveAt(std::size_t aIndex)
{
  std::swap(this->calls[aIndex], this->calls.back());
  PendingCall call = std::move(this->calls.back());
  this->calls.pop_back();
  const std::map<std::string, std::uint32_t>::iterator count =
    this->queuedByOrganisation.find(call.organisation);
  if (--count->second == 0) {
    this->queuedByOrganisation.erase(count);
  }
  return call;
}

} // namespace jackdawwind
