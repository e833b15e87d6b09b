// Calls that this node admits to the target beside it: from the arrival of an attempt to its
// answer.
//
// While a call runs, its call id stands for it: a child call that shows the id runs for the same
// organisation, with the same priority and deadline, and draws on the same retry allowance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "decisions/effects.h"
#include "decisions/overload/admission_controller.h"
#include "decisions/retry/retry_allowance.h"
#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class AdmittedCalls
{
public:
  /// Makes an unguessable id.
  using IdMaker = std::function<std::string()>;

  AdmittedCalls(AdmissionController& aController, IdMaker aMakeId);

  /// The target announced itself or its lease lapsed.
  void SetTarget(const TargetAnnounced& aTarget, Time aNow, Effects& aEffects);
  const TargetAnnounced& Target() const { return this->target; }

  void Receive(const AttemptArrived& aArrived, Time aNow, Effects& aEffects);
  void Receive(const TargetEnded& aEnded, Time aNow, Effects& aEffects);
  void Receive(const AttemptAbandoned& aAbandoned, Time aNow, Effects& aEffects);
  /// Refuses an attempt before it is offered to the target.
  void RefuseAttempt(const AttemptArrived& aArrived, ResultCode aCode, Effects& aEffects);

  void Poll(Time aNow, Effects& aEffects);

  /// A running call as its children see it.
  struct Parent
  {
    CallContext context;
    Time deadline{};
  };
  /// The running call of an id; nothing when it is unknown or has ended.
  std::optional<Parent> FindParent(const std::string& aCallId) const;
  /// Moves part of a running call's allowance to a child; 0 when the call has ended.
  std::uint32_t TakeAllowance(const std::string& aCallId);
  /// Returns what a child did not use; lost when the call has ended.
  void ReturnAllowance(const std::string& aCallId, std::uint32_t aUnits);

  std::size_t Count() const { return this->calls.size(); }

private:
  struct AdmittedCall
  {
    CallContext context;
    Time arrived{};
    Time deadline{};
    Duration queued{};
    RetryAllowance allowance;
    /// Empty while the call is queued.
    std::string callId;
  };
  using CallMap = std::map<std::uint64_t, AdmittedCall>;

  std::optional<ResultCode> TargetProblem(const CallContext& aContext) const;
  void Carry(const AdmissionVerdicts& aVerdicts, Time aNow, Effects& aEffects);
  void Start(const StartCall& aStart, Time aNow, Effects& aEffects);
  void Reject(const RejectCall& aReject, Time aNow, Effects& aEffects);
  void FinishRefused(CallMap::iterator aCall,
                     ResultCode aCode,
                     RunState aRun,
                     Time aNow,
                     Effects& aEffects);
  void Measure(const AdmittedCall& aCall, ResultCode aCode, Time aNow, Effects& aEffects) const;
  void Erase(CallMap::iterator aCall);
  AdmittedCall* FindByCallId(const std::string& aCallId);

  AdmissionController& controller;
  IdMaker makeId;
  TargetAnnounced target;
  CallMap calls;
  std::map<std::string, std::uint64_t> exchangeByCallId;
};

} // namespace jackdawwind
