// Queue of calls that wait for a slot of the target, bounded in length and waiting time.
//
//   std::optional<PendingCall> evicted = queue.Push(call, policy, overloaded, now);
//   std::vector<DroppedCall> expired = queue.DropExpired(expected, now);
//   std::optional<PendingCall> next = queue.Pop(policy, overloaded, now);
//
// Cost: linear in the number of queued calls per operation. The length is bounded by a small
// multiple of one target's slots, and FairnessPolicy reorders the queue with every start, which
// rules out a sorted container. Guarantees: Push() never lets the queue grow beyond its capacity;
// every pushed call leaves exactly once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/overload/pending_call.h"
#include "decisions/overload/service_time_estimator.h"
#include "decisions/overload/shed_policy.h"
#include "util/clock.h"
#include "values/generated/results.h"

namespace jackdawwind {

/// A call that was dropped from the queue, and the result code for it.
struct DroppedCall
{
  PendingCall call;
  ResultCode code = ResultCode::kShedAtTarget;
};

class AdmissionQueue
{
public:
  /// aCapacity must be at least 1. Calls beyond a reduced capacity stay until they run or expire.
  void Configure(std::size_t aCapacity, Duration aTimeout);

  /// Enqueues aCall. When the queue is full, evicts and returns the call that the policy sheds
  /// first, which may be aCall itself.
  std::optional<PendingCall> Push(const PendingCall& aCall,
                                  const ShedPolicy& aPolicy,
                                  bool aOverloaded,
                                  Time aNow);
  /// Dequeues the call to run next; empty when no call is queued.
  std::optional<PendingCall> Pop(const ShedPolicy& aPolicy, bool aOverloaded, Time aNow);
  /// Removes calls past their deadline (kQueueExpired), calls with no more than their expected
  /// service time left (kDeadlineTooShort) and calls that reached the queue timeout
  /// (kShedAtTarget).
  std::vector<DroppedCall> DropExpired(const ExpectedServiceTimes& aExpected, Time aNow);
  /// Removes and returns all calls.
  std::vector<PendingCall> Clear();
  /// Removes one call; false when it is not queued.
  bool Remove(std::uint64_t aExchange);

  std::size_t Size() const { return this->calls.size(); }
  /// Longest queueing delay of the calls with a rank of at least aRank; zero if there are none.
  Duration LongestDelay(std::uint32_t aRank, Time aNow) const;
  /// Earliest time at which DropExpired() removes a call; Time::max() for an empty queue.
  Time NextExpiry(const ExpectedServiceTimes& aExpected) const;

private:
  Time ExpiryOf(const PendingCall& aCall, const ExpectedServiceTimes& aExpected) const;
  PendingCall RemoveAt(std::size_t aIndex);

  std::size_t capacity = 1;
  Duration timeout{};
  std::vector<PendingCall> calls;
  std::map<std::string, std::uint32_t> queuedByOrganisation;
};

} // namespace jackdawwind
