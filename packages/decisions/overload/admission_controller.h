// The admission point of the target beside a node: limits what runs at once, queues the rest, sheds
// what would be wasted.
//
//   std::vector<AdmissionVerdict> verdicts = controller.Offer(call, now);
//   verdicts = controller.Finish(exchange, outcome, now);   // starts queued calls
//   verdicts = controller.Poll(now);                          // at NextWake()
//
// Cost: linear in the queued calls per event. Guarantees: every offered call gets exactly one
// verdict, start or reject, unless it is abandoned first; no call starts at or after its deadline;
// no call starts while as many run as the limit allows; a target at which nothing runs refuses no
// call that is in time. Time must not go backwards. Not safe for more than one thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "decisions/overload/admission_level.h"
#include "decisions/overload/admission_queue.h"
#include "decisions/overload/concurrency_limit.h"
#include "decisions/overload/pending_call.h"
#include "decisions/overload/service_time_estimator.h"
#include "decisions/overload/shed_policy.h"
#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/configuration.h"

namespace jackdawwind {

/// Run the call now.
struct StartCall
{
  std::uint64_t exchange = 0;
  Duration queued{};
  friend bool operator==(const StartCall&, const StartCall&) = default;
};

/// Refuse the call; it did not run.
struct RejectCall
{
  std::uint64_t exchange = 0;
  ResultCode code = ResultCode::kShedAtTarget;
  Duration queued{};
  friend bool operator==(const RejectCall&, const RejectCall&) = default;
};

using AdmissionVerdict = std::variant<StartCall, RejectCall>;
using AdmissionVerdicts = std::vector<AdmissionVerdict>;

class AdmissionController
{
public:
  AdmissionController();
  ~AdmissionController();

  /// Takes over policy, slots and the organisations' weights; running and queued calls stay.
  void Configure(const Policy& aPolicy,
                 std::uint32_t aSlots,
                 const std::map<std::string, double>& aWeights);
  /// A target that becomes ready after any other state begins with a low limit. In any other state
  /// nothing starts; queued calls are rejected at the next Poll, kTargetDraining or kNoTarget.
  /// Until the first call of this function the target counts as ready.
  void SetTargetState(TargetState aState, Time aNow);

  /// Rejections: kDeadlineTooShort before queueing; kShedAtTarget below the level, when the queue
  /// is full (of the lowest call, which may be another) and at the queue timeout; kQueueExpired.
  AdmissionVerdicts Offer(const PendingCall& aCall, Time aNow);
  /// A started call ended.
  AdmissionVerdicts Finish(std::uint64_t aExchange, const TargetOutcome& aOutcome, Time aNow);
  /// The entry node no longer waits for a queued call; nothing happens when it was started.
  void Abandon(std::uint64_t aExchange);
  /// Drops expired calls and adapts the level.
  AdmissionVerdicts Poll(Time aNow);
  /// Time at which Poll is due, not before the last event; Time::max() for none.
  Time NextWake() const;

  /// Admission level to send with answers.
  std::uint32_t Level() const;
  /// Calls running or queued.
  std::uint32_t Load() const;
  LimitStatus Status() const;

private:
  struct RunningCall
  {
    Time started{};
    Importance importance = Importance::kNormal;
  };

  void Start(const PendingCall& aCall, Time aNow, AdmissionVerdicts& aVerdicts);
  /// Drops expired calls, starts what fits and adapts the level.
  void Advance(Time aNow, AdmissionVerdicts& aVerdicts);
  bool HasFreeSlot() const { return this->running.size() < this->limit.Value(); }
  /// Whether the call cannot end in time.
  bool TooLate(const PendingCall& aCall, Time aNow) const;
  /// Zero while nothing runs: an idle target is tried whatever was measured before.
  ExpectedTimes Expected(Time aNow) const;

  PolicyKind kind = PolicyKind::kGoodput;
  TargetState state = TargetState::kReady;
  ShedPolicy policy;
  ConcurrencyLimit limit;
  AdmissionQueue queue;
  AdmissionLevel level;
  ServiceTime serviceTime;
  std::map<std::uint64_t, RunningCall> running;
  /// Time of the last event; NextWake() judges by it.
  Time seen{};
};

} // namespace jackdawwind
