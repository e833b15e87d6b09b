#include "decisions/calls/admitted_calls.h"

#include <utility>
#include <variant>

namespace jackdawwind {

namespace {

/// Result that is reported to the entry node for a dispatch without an answer.
struct DispatchFailure
{
  ResultCode code = ResultCode::kTargetFailed;
  RunState run = RunState::kUnknown;
};

std::optional<DispatchFailure>
FailureOf(const TargetOutcome& aOutcome)
{
  struct Visitor
  {
    std::optional<DispatchFailure> operator()(const TargetAnswered& /*aOutcome*/) const
    {
      return std::nullopt;
    }
    std::optional<DispatchFailure> operator()(const ConnectFailed& /*aOutcome*/) const
    {
      return DispatchFailure{ ResultCode::kConnectFailed, RunState::kNotRun };
    }
    std::optional<DispatchFailure> operator()(const Lost& /*aOutcome*/) const
    {
      return DispatchFailure{ ResultCode::kTargetFailed, RunState::kUnknown };
    }
    std::optional<DispatchFailure> operator()(const TimedOut& /*aOutcome*/) const
    {
      return DispatchFailure{ ResultCode::kAttemptTimedOut, RunState::kUnknown };
    }
  };
  return std::visit(Visitor{}, aOutcome);
}

} // namespace

AdmittedCalls::AdmittedCalls(AdmissionController& aController, IdGenerator aMakeId)
  : controller(aController)
  , makeId(std::move(aMakeId))
{
}

void
AdmittedCalls::SetTarget(const TargetAnnounced& aTarget, Time aNow, Effects& aEffects)
{
  if (this->target.State() != aTarget.State()) {
    this->controller.SetTargetState(aTarget.State(), aNow);
    AddLogLine(aEffects,
               LogEvent::kTargetChanged,
               "service=" + aTarget.GetService() +
                 " state=" + std::string(ToText(aTarget.State())));
  }
  this->target = aTarget;
}

void
AdmittedCalls::Receive(const AttemptArrived& aArrived, Time aNow, Effects& aEffects)
{
  const CallContext& context = aArrived.Context();
  const std::optional<ResultCode> problem = this->CheckTarget(context);
  if (problem) {
    this->RefuseAttempt(aArrived, *problem, aEffects);
    return;
  }
  const Time deadline = aNow + context.Remaining();
  this->calls.emplace(aArrived.Exchange(),
                      AdmittedCall{ .context = context,
                                    .arrived = aNow,
                                    .deadline = deadline,
                                    .queued = {},
                                    .allowance = RetryAllowance(context.Allowance()),
                                    .callId = "" });
  const PendingCall pending{ .exchange = aArrived.Exchange(),
                             .organisation = context.GetOrganisation(),
                             .importance = context.GetImportance(),
                             .priority = context.Priority(),
                             .arrived = aNow,
                             .deadline = deadline };
  this->ApplyVerdicts(this->controller.Offer(pending, aNow), aNow, aEffects);
}

std::optional<ResultCode>
AdmittedCalls::CheckTarget(const CallContext& aContext) const
{
  if (this->target.State() == TargetState::kDraining) {
    return ResultCode::kTargetDraining;
  }
  if (this->target.State() != TargetState::kReady ||
      this->target.GetService() != aContext.GetService()) {
    return ResultCode::kNoTarget;
  }
  return std::nullopt;
}

void
AdmittedCalls::RefuseAttempt(const AttemptArrived& aArrived, ResultCode aCode, Effects& aEffects)
{
  aEffects.push_back(Refuse({ .exchange = aArrived.Exchange(),
                              .code = aCode,
                              .run = RunState::kNotRun,
                              .unusedAllowance = aArrived.Context().Allowance(),
                              .level = this->controller.Level(),
                              .load = this->controller.Load() }));
}

void
AdmittedCalls::Receive(const TargetEnded& aEnded, Time aNow, Effects& aEffects)
{
  const AdmissionVerdicts verdicts =
    this->controller.Finish(aEnded.Exchange(), aEnded.Outcome(), aNow);
  const CallMap::iterator found = this->calls.find(aEnded.Exchange());
  if (found != this->calls.end()) {
    const std::optional<DispatchFailure> failure = FailureOf(aEnded.Outcome());
    if (failure) {
      this->FinishRefused(found, failure->code, failure->run, aNow, aEffects);
    } else {
      aEffects.push_back(Complete({ .exchange = aEnded.Exchange(),
                                    .unusedAllowance = found->second.allowance.Units(),
                                    .level = this->controller.Level(),
                                    .load = this->controller.Load() }));
      this->ReportCall(found->second, ResultCode::kOk, aNow, aEffects);
      this->Erase(found);
    }
  }
  this->ApplyVerdicts(verdicts, aNow, aEffects);
}

void
AdmittedCalls::Receive(const AttemptAbandoned& aAbandoned, Time aNow, Effects& aEffects)
{
  const CallMap::iterator found = this->calls.find(aAbandoned.Exchange());
  if (found == this->calls.end()) {
    return;
  }
  if (found->second.callId.empty()) {
    this->controller.Abandon(aAbandoned.Exchange());
    this->Erase(found);
    return;
  }
  if (!found->second.context.Idempotent()) {
    // Cancelling a call that is not idempotent would leave its effect unknown, so it runs to its
    // end.
    return;
  }
  aEffects.push_back(CancelDispatch({ .exchange = aAbandoned.Exchange() }));
  this->ReportCall(found->second, ResultCode::kCancelled, aNow, aEffects);
  this->Erase(found);
  this->ApplyVerdicts(this->controller.Finish(aAbandoned.Exchange(), Lost(), aNow), aNow, aEffects);
}

void
AdmittedCalls::FinishAll(Time aNow, Effects& aEffects)
{
  while (!this->calls.empty()) {
    const CallMap::iterator call = this->calls.begin();
    if (call->second.callId.empty()) {
      this->FinishRefused(call, ResultCode::kNodeDraining, RunState::kNotRun, aNow, aEffects);
    } else {
      this->FinishRefused(call, ResultCode::kAttemptLost, RunState::kUnknown, aNow, aEffects);
    }
  }
}

void
AdmittedCalls::Poll(Time aNow, Effects& aEffects)
{
  this->ApplyVerdicts(this->controller.Poll(aNow), aNow, aEffects);
}

void
AdmittedCalls::ApplyVerdicts(const AdmissionVerdicts& aVerdicts, Time aNow, Effects& aEffects)
{
  for (const AdmissionVerdict& verdict : aVerdicts) {
    if (const StartCall* start = std::get_if<StartCall>(&verdict)) {
      this->Start(*start, aNow, aEffects);
    } else if (const RejectCall* reject = std::get_if<RejectCall>(&verdict)) {
      this->Reject(*reject, aNow, aEffects);
    }
  }
}

void
AdmittedCalls::Start(const StartCall& aStart, Time aNow, Effects& aEffects)
{
  const CallMap::iterator found = this->calls.find(aStart.exchange);
  if (found == this->calls.end()) {
    return;
  }
  AdmittedCall& call = found->second;
  call.queued = aStart.queued;
  call.callId = this->makeId();
  this->exchangeByCallId.emplace(call.callId, aStart.exchange);
  aEffects.push_back(Dispatch({ .exchange = aStart.exchange,
                                .callId = call.callId,
                                .host = this->target.Host(),
                                .port = this->target.Port(),
                                .remaining = call.deadline - aNow,
                                .idempotent = call.context.Idempotent() }));
}

void
AdmittedCalls::Reject(const RejectCall& aReject, Time aNow, Effects& aEffects)
{
  const CallMap::iterator found = this->calls.find(aReject.exchange);
  if (found != this->calls.end()) {
    found->second.queued = aReject.queued;
    this->FinishRefused(found, aReject.code, RunState::kNotRun, aNow, aEffects);
  }
}

void
AdmittedCalls::FinishRefused(CallMap::iterator aCall,
                             ResultCode aCode,
                             RunState aRun,
                             Time aNow,
                             Effects& aEffects)
{
  aEffects.push_back(Refuse({ .exchange = aCall->first,
                              .code = aCode,
                              .run = aRun,
                              .unusedAllowance = aCall->second.allowance.Units(),
                              .level = this->controller.Level(),
                              .load = this->controller.Load() }));
  this->ReportCall(aCall->second, aCode, aNow, aEffects);
  this->Erase(aCall);
}

void
AdmittedCalls::ReportCall(const AdmittedCall& aCall,
                          ResultCode aCode,
                          Time aNow,
                          Effects& aEffects) const
{
  aEffects.push_back(CallMeasured({ .organisation = aCall.context.GetOrganisation(),
                                    .importance = aCall.context.GetImportance(),
                                    .code = aCode,
                                    .atEntry = false,
                                    .total = aNow - aCall.arrived,
                                    .queued = aCall.queued }));
}

void
AdmittedCalls::Erase(CallMap::iterator aCall)
{
  this->exchangeByCallId.erase(aCall->second.callId);
  this->calls.erase(aCall);
}

AdmittedCalls::AdmittedCall*
AdmittedCalls::FindByCallId(const std::string& aCallId)
{
  const std::map<std::string, std::uint64_t>::const_iterator found =
    this->exchangeByCallId.find(aCallId);
  return found == this->exchangeByCallId.end() ? nullptr : &this->calls.at(found->second);
}

std::optional<AdmittedCalls::Parent>
AdmittedCalls::FindParent(const std::string& aCallId) const
{
  const std::map<std::string, std::uint64_t>::const_iterator found =
    this->exchangeByCallId.find(aCallId);
  if (found == this->exchangeByCallId.end()) {
    return std::nullopt;
  }
  const AdmittedCall& call = this->calls.at(found->second);
  return Parent{ call.context, call.deadline };
}

std::uint32_t
AdmittedCalls::TakeAllowance(const std::string& aCallId)
{
  AdmittedCall* call = this->FindByCallId(aCallId);
  return call == nullptr ? 0 : call->allowance.TakeHalf();
}

void
AdmittedCalls::ReturnAllowance(const std::string& aCallId, std::uint32_t aUnits)
{
  AdmittedCall* call = this->FindByCallId(aCallId);
  if (call != nullptr) {
    call->allowance.Return(aUnits);
  }
}

} // namespace jackdawwind
