// Attempts of calls that arrive for this node's local target, from arrival to answer.
//
// Each attempt passes admission control and is then dispatched to the target with a new call id.
// The call id is the credential of the call's children: while the call runs, a child call that
// presents the id runs for the same organisation, with the same priority, no later deadline and a
// share of the call's retry allowance.
//
// Not thread-safe.
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
  /// Generates an unguessable id.
  using IdGenerator = std::function<std::string()>;

  AdmittedCalls(AdmissionController& aController, IdGenerator aMakeId);

  /// Sets the state of the target after an announcement or the end of its lease.
  void SetTarget(const TargetAnnounced& aTarget, Time aNow, Effects& aEffects);
  const TargetAnnounced& Target() const { return this->target; }

  void Receive(const AttemptArrived& aArrived, Time aNow, Effects& aEffects);
  void Receive(const TargetEnded& aEnded, Time aNow, Effects& aEffects);
  void Receive(const AttemptAbandoned& aAbandoned, Time aNow, Effects& aEffects);
  /// Refuses an attempt without offering it to admission control.
  void RefuseAttempt(const AttemptArrived& aArrived, ResultCode aCode, Effects& aEffects);

  /// Answers all queued and running calls, because the node exits now.
  void FinishAll(Time aNow, Effects& aEffects);

  /// Applies the verdicts that are due at this time.
  void Poll(Time aNow, Effects& aEffects);

  /// Properties of a running call that its child calls inherit.
  struct Parent
  {
    CallContext context;
    Time deadline{};
  };
  /// Finds a running call by its call id; empty when the id is unknown or the call has ended.
  std::optional<Parent> FindParent(const std::string& aCallId) const;
  /// Transfers half of a running call's allowance, rounded up, to a child call and returns the
  /// number of units; 0 when the call has ended.
  std::uint32_t TakeAllowance(const std::string& aCallId);
  /// Returns the unused allowance of a child call. Discarded when the parent call has ended.
  void ReturnAllowance(const std::string& aCallId, std::uint32_t aUnits);

  /// Number of queued and running calls.
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

  /// Returns the result code if the target cannot take the call; empty otherwise.
  std::optional<ResultCode> CheckTarget(const CallContext& aContext) const;
  void ApplyVerdicts(const AdmissionVerdicts& aVerdicts, Time aNow, Effects& aEffects);
  void Start(const StartCall& aStart, Time aNow, Effects& aEffects);
  void Reject(const RejectCall& aReject, Time aNow, Effects& aEffects);
  void FinishRefused(CallMap::iterator aCall,
                     ResultCode aCode,
                     RunState aRun,
                     Time aNow,
                     Effects& aEffects);
  void ReportCall(const AdmittedCall& aCall, ResultCode aCode, Time aNow, Effects& aEffects) const;
  void Erase(CallMap::iterator aCall);
  AdmittedCall* FindByCallId(const std::string& aCallId);

  AdmissionController& controller;
  IdGenerator makeId;
  TargetAnnounced target;
  CallMap calls;
  std::map<std::string, std::uint64_t> exchangeByCallId;
};

} // namespace jackdawwind
