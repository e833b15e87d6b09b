// Admission control for a node's local target: limits concurrency, queues calls that exceed the
// limit, and sheds calls under overload or when they cannot finish before their deadline.
//
// The admission level is the lowest rank (see RankOf()) that is admitted when all slots are busy;
// it rises while the queueing delay exceeds its target and is reported to entry nodes with every
// answer.
//
//   std::vector<AdmissionVerdict> verdicts = controller.Offer(call, now);
//   verdicts = controller.Finish(exchange, outcome, now);   // starts queued calls
//   verdicts = controller.Poll(now);                        // at NextWake()
//
// Cost: linear in the number of queued calls per event. Guarantees: every offered call gets exactly
// one verdict, start or reject, unless it is abandoned first; no call starts at or after its
// deadline; no call starts while the number of running calls is at or above the limit; an idle,
// ready target rejects no call whose deadline lies in the future. Time must not go backwards. Not
// thread-safe.
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

/// Verdict: dispatch the call to the target now.
struct StartCall
{
  std::uint64_t exchange = 0;
  Duration queued{};
  friend bool operator==(const StartCall&, const StartCall&) = default;
};

/// Verdict: refuse the call, which has not run.
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

  /// Applies policy, slot count and organisation weights. Running and queued calls are not
  /// affected.
  void Configure(const Policy& aPolicy,
                 std::uint32_t aSlots,
                 const std::map<std::string, double>& aWeights);
  /// On a transition to kReady the limit restarts low (cold start). In any other state no call
  /// starts, and queued calls are rejected at the next Poll() with kTargetDraining or kNoTarget.
  /// Until the first call of this function the target counts as ready.
  void SetTargetState(TargetState aState, Time aNow);

  /// Offers a call. Result codes of rejections:
  ///  - kDeadlineTooShort: the remaining time is shorter than the expected service time;
  ///  - kShedAtTarget: the rank is below the admission level, the call was evicted from a full
  ///    queue (the evicted call may be another than aCall), or it reached the queue timeout;
  ///  - kQueueExpired: the deadline passed in the queue;
  ///  - kTargetDraining, kNoTarget: the target is not ready.
  AdmissionVerdicts Offer(const PendingCall& aCall, Time aNow);
  /// Releases the slot of a started call and adapts the limit to the outcome.
  AdmissionVerdicts Finish(std::uint64_t aExchange, const TargetOutcome& aOutcome, Time aNow);
  /// Removes a queued call that the entry node has cancelled; no effect on a started call.
  void Abandon(std::uint64_t aExchange);
  /// Drops expired calls, starts queued calls and adapts the level.
  AdmissionVerdicts Poll(Time aNow);
  /// Time at which Poll() is due, never earlier than the last event; Time::max() for none.
  Time NextWake() const;

  /// Current admission level, to report with answers.
  std::uint32_t Level() const;
  /// Number of running and queued calls.
  std::uint32_t Load() const;
  LimitStatus Status() const;

private:
  struct RunningCall
  {
    Time started{};
    Importance importance = Importance::kNormal;
  };

  void Start(const PendingCall& aCall, Time aNow, AdmissionVerdicts& aVerdicts);
  /// Drops expired calls, fills free slots from the queue and adapts the level.
  void Advance(Time aNow, AdmissionVerdicts& aVerdicts);
  bool HasFreeSlot() const { return this->running.size() < this->limit.Value(); }
  /// Whether the deadline has passed or the expected service time exceeds the remaining time.
  bool CannotMeetDeadline(const PendingCall& aCall, Time aNow) const;
  /// Expected service times; zero while no call runs, so that outdated measurements cannot block an
  /// idle target.
  ExpectedServiceTimes Expected(Time aNow) const;

  PolicyKind kind = PolicyKind::kGoodput;
  TargetState state = TargetState::kReady;
  ShedPolicy policy;
  ConcurrencyLimit limit;
  AdmissionQueue queue;
  AdmissionLevel level;
  ServiceTimeEstimator serviceTimes;
  std::map<std::uint64_t, RunningCall> running;
  /// Time of the last event; the reference for NextWake(), which reads no clock.
  Time lastEventAt{};
};

} // namespace jackdawwind
