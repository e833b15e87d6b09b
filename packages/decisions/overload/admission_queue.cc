#include "decisions/overload/admission_queue.h"

#include <algorithm>
#include <utility>

#include "decisions/overload/level_memory.h"

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
  ++this->byOrganisation[aCall.organisation];
  if (this->calls.size() <= this->capacity) {
    return std::nullopt;
  }
  const QueueView view{ .queued = this->byOrganisation, .overloaded = aOverloaded, .now = aNow };
  return this->Take(std::min_element(this->calls.begin(),
                                     this->calls.end(),
                                     [&](const PendingCall& aLeft, const PendingCall& aRight) {
                                       return ShedsBefore(aPolicy, aLeft, aRight, view);
                                     }));
}

std::optional<PendingCall>
AdmissionQueue::Pop(const ShedPolicy& aPolicy, bool aOverloaded, Time aNow)
{
  if (this->calls.empty()) {
    return std::nullopt;
  }
  const QueueView view{ .queued = this->byOrganisation, .overloaded = aOverloaded, .now = aNow };
  return this->Take(std::min_element(this->calls.begin(),
                                     this->calls.end(),
                                     [&](const PendingCall& aLeft, const PendingCall& aRight) {
                                       return RunsBefore(aPolicy, aLeft, aRight, view);
                                     }));
}

std::vector<DroppedCall>
AdmissionQueue::DropExpired(const Expected& aExpected, Time aNow)
{
  std::vector<DroppedCall> dropped;
  std::vector<PendingCall>::iterator position = this->calls.begin();
  while (position != this->calls.end()) {
    if (this->ExpiryOf(*position, aExpected) > aNow) {
      ++position;
      continue;
    }
    ResultCode code = ResultCode::kShedAtTarget;
    if (position->deadline <= aNow) {
      code = ResultCode::kQueueExpired;
    } else if (position->deadline - aExpected(*position) <= aNow) {
      code = ResultCode::kDeadlineTooShort;
    }
    const std::ptrdiff_t index = position - this->calls.begin();
    dropped.push_back({ .call = this->Take(position), .code = code });
    position = this->calls.begin() + index;
  }
  return dropped;
}

std::vector<PendingCall>
AdmissionQueue::Clear()
{
  this->byOrganisation.clear();
  return std::exchange(this->calls, {});
}

bool
AdmissionQueue::Remove(std::uint64_t aExchange)
{
  const std::vector<PendingCall>::iterator found =
    std::find_if(this->calls.begin(), this->calls.end(), [&](const PendingCall& aCall) {
      return aCall.exchange == aExchange;
    });
  if (found == this->calls.end()) {
    return false;
  }
  this->Take(found);
  return true;
}

Duration
AdmissionQueue::Delay(std::uint32_t aRank, Time aNow) const
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
AdmissionQueue::NextExpiry(const Expected& aExpected) const
{
  Time next = Time::max();
  for (const PendingCall& call : this->calls) {
    next = std::min(next, this->ExpiryOf(call, aExpected));
  }
  return next;
}

Time
AdmissionQueue::ExpiryOf(const PendingCall& aCall, const Expected& aExpected) const
{
  return std::min(aCall.arrived + this->timeout, aCall.deadline - aExpected(aCall));
}

PendingCall
AdmissionQueue::Take(std::vector<PendingCall>::iterator aPosition)
{
  PendingCall call = std::move(*aPosition);
  this->calls.erase(aPosition);
  const std::map<std::string, std::uint32_t>::iterator count =
    this->byOrganisation.find(call.organisation);
  if (--count->second == 0) {
    this->byOrganisation.erase(count);
  }
  return call;
}

} // namespace jackdawwind
