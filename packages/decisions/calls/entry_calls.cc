#include "decisions/calls/entry_calls.h"

#include <algorithm>
#include <utility>

#include "decisions/routing/route_match.h"

namespace jackdawwind {

namespace {

/// Time limit for settling a claim; a working log answers within a fraction of it.
constexpr Duration kClaimTimeout = std::chrono::seconds(3);
/// Retry hint for callers that were refused for lack of tokens or capacity.
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr std::uint32_t kServiceUnavailable = 503;

void
AddRefusal(Effects& aEffects, std::uint64_t aExchange, ResultCode aCode, RunState aRun)
{
  const bool temporary =
    HttpStatus(aCode) == kServiceUnavailable || aCode == ResultCode::kRateExceeded;
  aEffects.push_back(Refuse({ .exchange = aExchange,
                              .code = aCode,
                              .run = aRun,
                              .retryAfter = temporary ? kRetryAfter : Duration::zero() }));
}

bool
NeedsClaim(const Route& aRoute, const CallArrived& aRequest)
{
  return !aRoute.Idempotent() && !aRequest.IdempotencyKey().empty();
}

} // namespace

EntryCalls::EntryCalls(Modules aModules, AdmittedCalls::IdGenerator aMakeId, std::uint64_t aSeed)
  : modules(aModules)
  , makeId(std::move(aMakeId))
  , random(aSeed)
{
}

void
EntryCalls::Receive(const CallArrived& aArrived, Time aNow, Effects& aEffects)
{
  std::variant<EntryCall, ResultCode> admitted = this->Admit(aArrived, aNow);
  if (const ResultCode* code = std::get_if<ResultCode>(&admitted)) {
    AddRefusal(aEffects, aArrived.Exchange(), *code, RunState::kNotRun);
    aEffects.push_back(CallMeasured({ .code = *code, .atEntry = true }));
    return;
  }
  const std::pair<CallMap::iterator, bool> inserted =
    this->calls.emplace(aArrived.Exchange(), std::get<EntryCall>(std::move(admitted)));
  if (inserted.first->second.parentId.empty()) {
    this->TakeToken(inserted.first, aNow, aEffects);
  } else {
    this->RequestClaim(inserted.first, aNow, aEffects);
  }
}

std::variant<EntryCalls::EntryCall, ResultCode>
EntryCalls::Admit(const CallArrived& aArrived, Time aNow)
{
  const ControlState& state = this->modules.control.State();
  if (state.Revision().empty()) {
    return ResultCode::kNotConfigured;
  }
  const RouteMatch match =
    MatchRoute(state, aArrived.GetService(), aArrived.Method(), aArrived.Path());
  const Route* route = std::get_if<Route>(&match);
  // An authentication failure takes precedence over an unknown route, so that a caller without a
  // key cannot discover the routes.
  const AuthenticationResult authenticated =
    this->Authenticate(aArrived, route != nullptr && route->Open(), aNow);
  if (const ResultCode* code = std::get_if<ResultCode>(&authenticated)) {
    return *code;
  }
  if (route == nullptr) {
    return std::get<ResultCode>(match);
  }
  const Identity& identity = std::get<Identity>(authenticated);
  if (identity.parent) {
    const std::optional<ResultCode> problem =
      this->CheckChildCall(aArrived, *route, *identity.parent);
    if (problem) {
      return *problem;
    }
  } else if (this->refusingRootCalls) {
    return ResultCode::kNodeDraining;
  }
  return this->MakeCall(aArrived, *route, identity, aNow);
}

EntryCalls::AuthenticationResult
EntryCalls::Authenticate(const CallArrived& aArrived, bool aRouteIsOpen, Time aNow) const
{
  if (const KeyHash* key = std::get_if<KeyHash>(&aArrived.GetCredential())) {
    return this->AuthenticateKey(*key, aNow);
  }
  if (const ParentCall* parent = std::get_if<ParentCall>(&aArrived.GetCredential())) {
    const std::optional<AdmittedCalls::Parent> found =
      this->modules.admitted.FindParent(parent->CallId());
    if (!found) {
      return ResultCode::kUnknownCallId;
    }
    return Identity{ found->context.GetOrganisation(), found };
  }
  if (aRouteIsOpen) {
    return Identity{ kPublicOrganisation, std::nullopt };
  }
  return ResultCode::kMissingKey;
}

EntryCalls::AuthenticationResult
EntryCalls::AuthenticateKey(const KeyHash& aKey, Time aNow) const
{
  const ControlState& state = this->modules.control.State();
  const KeyRecord* record = state.FindKey(aKey.Hash());
  if (record == nullptr) {
    return ResultCode::kUnknownKey;
  }
  if (this->modules.control.NewsAge(aNow) > state.GetPolicy().StaleKeyLimitMs()) {
    return ResultCode::kKeyUnverifiable;
  }
  return Identity{ record->GetOrganisation(), std::nullopt };
}

std::optional<ResultCode>
EntryCalls::CheckChildCall(const CallArrived& aArrived,
                           const Route& aRoute,
                           const AdmittedCalls::Parent& aParent) const
{
  if (aParent.context.Depth() >= this->modules.control.State().GetPolicy().MaxDepth()) {
    return ResultCode::kTooDeep;
  }
  const bool unprotected = !aRoute.Idempotent() && aArrived.IdempotencyKey().empty();
  if (unprotected && aParent.context.Repeatable()) {
    // A retry of an ancestor would execute this call again.
    return ResultCode::kNonIdempotentUnderRepeatable;
  }
  return std::nullopt;
}

EntryCalls::EntryCall
EntryCalls::MakeCall(const CallArrived& aArrived,
                     const Route& aRoute,
                     const Identity& aIdentity,
                     Time aNow)
{
  const Policy& policy = this->modules.control.State().GetPolicy();
  EntryCall call;
  call.request = aArrived;
  call.route = aRoute;
  call.arrived = aNow;
  call.deadline = aNow + aArrived.Timeout().value_or(policy.DefaultTimeoutMs());
  CallContext::Fields fields{ .rootId = {},
                              .organisation = aIdentity.organisation,
                              .service = aArrived.GetService(),
                              .importance = aRoute.GetImportance(),
                              .depth = 1,
                              .idempotent = aRoute.Idempotent(),
                              .repeatable = aRoute.Idempotent() };
  if (aIdentity.parent) {
    const CallContext& parent = aIdentity.parent->context;
    call.parentId = std::get<ParentCall>(aArrived.GetCredential()).CallId();
    call.deadline = std::min(call.deadline, aIdentity.parent->deadline);
    call.allowance = RetryAllowance(this->modules.admitted.TakeAllowance(call.parentId));
    fields.rootId = parent.RootId();
    // A child call is at least as important as its parent, which depends on it: a look-up that a
    // booking makes must not be shed before the booking.
    fields.importance = std::min(parent.GetImportance(), aRoute.GetImportance());
    fields.priority = parent.Priority();
    fields.depth = parent.Depth() + 1;
    fields.repeatable = parent.Repeatable() || aRoute.Idempotent();
  } else {
    call.allowance = RetryAllowance(policy.RetryAllowance());
    fields.rootId = this->makeId();
    fields.priority = static_cast<std::uint32_t>(this->random.Below(kPrioritiesPerClass));
  }
  call.context = CallContext(std::move(fields));
  return call;
}

void
EntryCalls::TakeToken(CallMap::iterator aCall, Time aNow, Effects& aEffects)
{
  const std::string organisation = aCall->second.context.GetOrganisation();
  switch (this->modules.rate.Request(aCall->first, organisation, aNow, aEffects)) {
    case RateVerdict::kAdmitted:
      this->RequestClaim(aCall, aNow, aEffects);
      break;
    case RateVerdict::kWaiting:
      break;
    case RateVerdict::kRefused:
      this->FinishRefused(aCall, ResultCode::kRateExceeded, RunState::kNotRun, aNow, aEffects);
      break;
  }
}

void
EntryCalls::RequestClaim(CallMap::iterator aCall, Time aNow, Effects& aEffects)
{
  const EntryCall& call = aCall->second;
  if (!NeedsClaim(call.route, call.request)) {
    this->SendAttempt(aCall, aNow, aEffects);
    return;
  }
  this->modules.claims.Request(
    ClaimRequest{ .exchange = aCall->first,
                  .organisation = call.context.GetOrganisation(),
                  .key = call.request.IdempotencyKey(),
                  .fingerprint = call.request.Fingerprint(),
                  .deadline = std::min(call.deadline, aNow + kClaimTimeout) },
    aNow,
    aEffects);
}

void
EntryCalls::ResumeWaitingCalls(Time aNow, Effects& aEffects)
{
  for (const RateDecision& decision : this->modules.rate.TakeDecisions()) {
    const CallMap::iterator found = this->calls.find(decision.exchange);
    if (found == this->calls.end()) {
      continue;
    }
    if (decision.admitted) {
      this->RequestClaim(found, aNow, aEffects);
    } else {
      this->FinishRefused(found, ResultCode::kRateExceeded, RunState::kNotRun, aNow, aEffects);
    }
  }
  for (const ClaimDecision& decision : this->modules.claims.TakeDecisions()) {
    const CallMap::iterator found = this->calls.find(decision.exchange);
    if (found == this->calls.end()) {
      continue;
    }
    if (decision.code == ResultCode::kOk) {
      this->SendAttempt(found, aNow, aEffects);
    } else {
      this->FinishRefused(found, decision.code, decision.run, aNow, aEffects);
    }
  }
}

void
EntryCalls::SendAttempt(CallMap::iterator aCall, Time aNow, Effects& aEffects)
{
  EntryCall& call = aCall->second;
  const Duration timeout = std::min<Duration>(call.deadline - aNow, call.route.AttemptTimeoutMs());
  if (timeout <= Duration::zero()) {
    this->FinishRefused(aCall, ResultCode::kDeadlineTooShort, RunState::kNotRun, aNow, aEffects);
    return;
  }
  const PickRequest pick{ .service = call.context.GetService(),
                          .rank = RankOf(call.context.GetImportance(), call.context.Priority()),
                          .tried = call.tried };
  const std::variant<PeerAddress, ResultCode> picked =
    this->modules.picker.Pick(pick, this->modules.membership.Members(), aNow);
  if (const ResultCode* code = std::get_if<ResultCode>(&picked)) {
    this->FinishRefused(aCall, *code, RunState::kNotRun, aNow, aEffects);
    return;
  }
  if (call.attempt == 0) {
    this->modules.budget.Deposit(call.context.GetOrganisation());
  }
  const PeerAddress& peer = std::get<PeerAddress>(picked);
  call.attemptNode = peer.Node();
  call.tried.insert(peer.Node());
  ++call.attempt;
  call.attemptAllowance =
    call.parentId.empty() ? call.allowance.TakeAllButOne() : call.allowance.TakeHalf();
  CallContext::Fields fields = call.context.ToFields();
  fields.allowance = call.attemptAllowance;
  fields.attempt = call.attempt;
  fields.remaining = timeout;
  this->modules.picker.NoteSent(peer.Node());
  aEffects.push_back(Forward({ .exchange = aCall->first,
                               .peer = peer,
                               .context = CallContext(std::move(fields)),
                               .timeout = timeout }));
}

void
EntryCalls::Receive(const AttemptEnded& aEnded, Time aNow, Effects& aEffects)
{
  const CallMap::iterator found = this->calls.find(aEnded.Exchange());
  if (found == this->calls.end() || found->second.attempt != aEnded.Attempt()) {
    return;
  }
  this->modules.picker.NoteEnded(found->second.attemptNode, aEnded.Outcome(), aNow);
  struct Visitor
  {
    EntryCalls& self;
    CallMap::iterator call;
    Time now;
    Effects& effects;

    void operator()(const Answered& aOutcome) const
    {
      this->self.HandleAnswer(this->call, aOutcome, this->now, this->effects);
    }
    void operator()(const ConnectFailed& /*aOutcome*/) const
    {
      // Nothing was sent, so the attempt's allowance is returned in full.
      this->call->second.allowance.Return(this->call->second.attemptAllowance);
      this->Fail(ResultCode::kConnectFailed, RunState::kNotRun);
    }
    void operator()(const Lost& /*aOutcome*/) const
    {
      this->Fail(ResultCode::kAttemptLost, RunState::kUnknown);
    }
    void operator()(const TimedOut& /*aOutcome*/) const
    {
      this->Fail(ResultCode::kAttemptTimedOut, RunState::kUnknown);
    }
    void Fail(ResultCode aCode, RunState aRun) const
    {
      this->self.HandleFailure(this->call, aCode, aRun, this->now, this->effects);
    }
  };
  std::visit(Visitor{ *this, found, aNow, aEffects }, aEnded.Outcome());
}

void
EntryCalls::HandleAnswer(CallMap::iterator aCall,
                         const Answered& aAnswer,
                         Time aNow,
                         Effects& aEffects)
{
  EntryCall& call = aCall->second;
  // Caps the returned allowance at what was sent, so that a faulty peer cannot create allowance.
  call.allowance.Return(std::min(call.attemptAllowance, aAnswer.UnusedAllowance()));
  if (aAnswer.Code() != ResultCode::kOk) {
    this->HandleFailure(aCall, aAnswer.Code(), aAnswer.Run(), aNow, aEffects);
    return;
  }
  const bool targetShed = aAnswer.Status() == kServiceUnavailable && call.route.Idempotent();
  if (targetShed && this->TryRetry(aCall, RunState::kRan, aNow, aEffects)) {
    return;
  }
  this->FinishRelayed(aCall, aAnswer, aNow, aEffects);
}

void
EntryCalls::HandleFailure(CallMap::iterator aCall,
                          ResultCode aCode,
                          RunState aRun,
                          Time aNow,
                          Effects& aEffects)
{
  AddLogLine(aEffects,
             LogEvent::kAttemptFailed,
             "root=" + aCall->second.context.RootId() + " node=" + aCall->second.attemptNode +
               " result=" + std::string(ToText(aCode)) + " run=" + std::string(ToText(aRun)));
  if (!this->TryRetry(aCall, aRun, aNow, aEffects)) {
    this->FinishRefused(aCall, aCode, aRun, aNow, aEffects);
  }
}

bool
EntryCalls::TryRetry(CallMap::iterator aCall, RunState aRun, Time aNow, Effects& aEffects)
{
  EntryCall& call = aCall->second;
  call.mayHaveRun = call.mayHaveRun || aRun != RunState::kNotRun;
  if (aRun != RunState::kNotRun && !call.route.Idempotent()) {
    return false;
  }
  if (call.deadline <= aNow || call.allowance.Units() == 0 ||
      !this->modules.budget.TryWithdraw(call.context.GetOrganisation())) {
    return false;
  }
  call.allowance.TrySpend();
  AddLogLine(aEffects,
             LogEvent::kAttemptRetried,
             "root=" + call.context.RootId() + " depth=" + std::to_string(call.context.Depth()) +
               " attempt=" + std::to_string(call.attempt + 1));
  this->SendAttempt(aCall, aNow, aEffects);
  return true;
}

void
EntryCalls::FinishRelayed(CallMap::iterator aCall,
                          const Answered& aAnswer,
                          Time aNow,
                          Effects& aEffects)
{
  aEffects.push_back(Relay({ .exchange = aCall->first, .attempt = aCall->second.attempt }));
  this->modules.claims.Complete(aCall->first, aAnswer.Status());
  this->Erase(aCall, ResultCode::kOk, aNow, aEffects);
}

void
EntryCalls::FinishRefused(CallMap::iterator aCall,
                          ResultCode aCode,
                          RunState aRun,
                          Time aNow,
                          Effects& aEffects)
{
  const bool notRun = aRun == RunState::kNotRun && !aCall->second.mayHaveRun;
  if (notRun) {
    this->modules.claims.Release(aCall->first);
  } else {
    this->modules.claims.KeepClaimed(aCall->first);
  }
  // A last attempt that did not run does not prove that the earlier attempts did not run.
  const RunState run = aRun == RunState::kNotRun && !notRun ? RunState::kUnknown : aRun;
  AddRefusal(aEffects, aCall->first, aCode, run);
  this->Erase(aCall, aCode, aNow, aEffects);
}

void
EntryCalls::Receive(const CallAbandoned& aAbandoned, Time aNow, Effects& aEffects)
{
  const CallMap::iterator found = this->calls.find(aAbandoned.Exchange());
  if (found == this->calls.end()) {
    return;
  }
  const EntryCall& call = found->second;
  if (call.attempt > 0) {
    aEffects.push_back(CancelAttempt({ .exchange = found->first, .attempt = call.attempt }));
    this->modules.picker.NoteCancelled(call.attemptNode);
    this->modules.claims.KeepClaimed(found->first);
  } else {
    this->modules.rate.Abandon(found->first);
    this->modules.claims.Abandon(found->first);
  }
  this->Erase(found, ResultCode::kCancelled, aNow, aEffects);
}

void
EntryCalls::FinishAll(Time aNow, Effects& aEffects)
{
  while (!this->calls.empty()) {
    const CallMap::iterator call = this->calls.begin();
    if (call->second.attempt > 0) {
      this->FinishRefused(call, ResultCode::kAttemptLost, RunState::kUnknown, aNow, aEffects);
      continue;
    }
    this->modules.rate.Abandon(call->first);
    this->modules.claims.Abandon(call->first);
    this->FinishRefused(call, ResultCode::kNodeDraining, RunState::kNotRun, aNow, aEffects);
  }
}

void
EntryCalls::Erase(CallMap::iterator aCall, ResultCode aCode, Time aNow, Effects& aEffects)
{
  const EntryCall& call = aCall->second;
  if (!call.parentId.empty()) {
    this->modules.admitted.ReturnAllowance(call.parentId, call.allowance.Units());
  }
  aEffects.push_back(CallMeasured({ .organisation = call.context.GetOrganisation(),
                                    .importance = call.context.GetImportance(),
                                    .code = aCode,
                                    .atEntry = true,
                                    .total = aNow - call.arrived,
                                    .retries = call.attempt > 0 ? call.attempt - 1 : 0 }));
  this->calls.erase(aCall);
}

} // namespace jackdawwind
