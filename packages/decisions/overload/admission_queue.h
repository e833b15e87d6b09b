// Calls that wait for a slot of the target: bounded in length and in time.
//
//   std::optional<PendingCall> evicted = queue.Push(call, policy, overloaded, now);
//   std::vector<DroppedCall> expired = queue.DropExpired(expected, now);
//   std::optional<PendingCall> next = queue.Pop(policy, overloaded, now);
//
// Cost: linear in the queued calls per operation. The length is bounded by a few times the slots of
// one target, and FairnessPolicy changes its order with every start, which a sorted container
// cannot follow. Guarantees: never holds more than the capacity; every pushed call leaves exactly
// once.
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

/// A call that left the queue without running, and why.
struct DroppedCall
{
  PendingCall call;
  ResultCode code = ResultCode::kShedAtTarget;
};

class AdmissionQueue
{
public:
  /// aCapacity must be at least 1. Calls over a smaller capacity stay until they run or expire.
  void Configure(std::size_t aCapacity, Duration aTimeout);

  /// Takes the call; returns the call shed for it when the queue is full, possibly the same one.
  std::optional<PendingCall> Push(const PendingCall& aCall,
                                  const ShedPolicy& aPolicy,
                                  bool aOverloaded,
                                  Time aNow);
  /// Removes the call to run next.
  std::optional<PendingCall> Pop(const ShedPolicy& aPolicy, bool aOverloaded, Time aNow);
  /// Removes calls past their deadline (kQueueExpired), calls with less than their expected service
  /// time left (kDeadlineTooShort) and calls queued for the timeout (kShedAtTarget).
  std::vector<DroppedCall> DropExpired(const ExpectedTimes& aExpected, Time aNow);
  /// Removes all calls.
  std::vector<PendingCall> Clear();
  /// Removes one call; false when it is not queued.
  bool Remove(std::uint64_t aExchange);

  std::size_t Size() const { return this->calls.size(); }
  /// Longest time that a call with at least this rank has waited; zero without such a call.
  Duration Delay(std::uint32_t aRank, Time aNow) const;
  /// Earliest time at which DropExpired has work.
  Time NextExpiry(const ExpectedTimes& aExpected) const;

private:
  Time ExpiryOf(const PendingCall& aCall, const ExpectedTimes& aExpected) const;
  PendingCall Take(std::size_t aIndex);

  std::size_t capacity = 1;
  Duration timeout{};
  std::vector<PendingCall> calls;
  std::map<std::string, std::uint32_t> byOrganisation;
};

} // namespace jackdawwind
