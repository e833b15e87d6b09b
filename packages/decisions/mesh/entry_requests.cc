#include "decisions/mesh/entry_requests.h"

#include <algorithm>
#include <utility>

#include "decisions/mesh/request_rank.h"
#include "values/text.h"

namespace jackdawwind {

namespace {

/// Number of refusals by nodes after which a request is still retried. Under overload the remaining
/// nodes are likely to be full as well, and refusing costs them; a nested call gets one retry more,
/// because the work of the whole chain above it would be lost.
constexpr std::uint32_t kMaxRefusals = 2;
constexpr std::uint32_t kMaxOverloadRefusals = 1;
/// Start of the throttle's random stream, relative to that of this class.
constexpr std::uint64_t kThrottleSeed = 0x5851F42D4C957F2DULL;
/// An attempt with less time than this remaining is not sent, since it cannot be answered in time.
constexpr Duration kMinSendTime = std::chrono::milliseconds(20);
constexpr std::uint32_t kFirstServerErrorStatus = 500;

/// Delay before a caller should retry: short for causes that pass quickly, with jitter so that
/// callers do not return all at once.
struct RetryDelay
{
  Duration minimum;
  Duration jitter;
};

RetryDelay
RetryDelayFor(ResultCode aCode)
{
  using std::chrono::milliseconds;
  switch (aCode) {
    case ResultCode::kRateExceeded:
      return { milliseconds(500), milliseconds(700) };
    case ResultCode::kNotConfigured:
    case ResultCode::kNodeDraining:
      return { milliseconds(200), milliseconds(300) };
    case ResultCode::kNoTarget:
    case ResultCode::kTargetDraining:
    case ResultCode::kConnectFailed:
      return { milliseconds(200), milliseconds(400) };
    default:
      return { milliseconds(400), milliseconds(800) };
  }
}

Importance
ImportanceOf(const MeshRoute& aRoute)
{
  switch (aRoute.Priority()) {
    case 0:
      return Importance::kCritical;
    case 1:
      return Importance::kHigh;
    case 2:
      return Importance::kNormal;
    default:
      return Importance::kBulk;
  }
}

/// Whether a node refused because its target is overloaded.
bool
IsOverload(ResultCode aCode)
{
  return aCode == ResultCode::kShedAtTarget || aCode == ResultCode::kQueueExpired;
}

bool
IsIdempotent(const MeshRoute& aRoute)
{
  return aRoute.Kind() == RouteKind::kIdempotent || aRoute.Kind() == RouteKind::kDownload;
}

NodePicker::Load
LoadOf(const MeshRoute& aRoute, const HopAnswered& aAnswer)
{
  return { .perMille = aAnswer.Load(),
           .slots = aAnswer.Slots(),
           .route = aRoute.Name(),
           .expectedTime = aAnswer.ExpectedTime() };
}

} // namespace

EntryRequests::EntryRequests(Modules aModules, Options aOptions, std::uint64_t aSeed)
  : modules(aModules)
  , options(std::move(aOptions))
  , random(aSeed)
  , throttle(aSeed ^ kThrottleSeed)
{
}

void
EntryRequests::Receive(const MeshRequestArrived& aArrived, Time aNow, Effects& aEffects)
{
  Admission admission = this->Admit(aArrived, aNow);
  if (const ResultCode* code = std::get_if<ResultCode>(&admission)) {
    this->RejectUnadmitted(aArrived, *code, aEffects);
    return;
  }
  const Requests::iterator request =
    this->requests.emplace(aArrived.Exchange(), std::get<Request>(std::move(admission))).first;
  this->AcquireToken(request, aNow, aEffects);
}

EntryRequests::Admission
EntryRequests::Admit(const MeshRequestArrived& aArrived, Time aNow)
{
  const RouteTable* table = this->modules.configuration.Table();
  if (table == nullptr) {
    return ResultCode::kNotConfigured;
  }
  const MeshRoute* route = table->Find(aArrived.Host(), aArrived.Path());
  if (this->rejectingNew && !this->MayBeNestedCall(*table, route)) {
    return ResultCode::kNodeDraining;
  }
  if (route == nullptr) {
    return ResultCode::kUnknownRoute;
  }
  Request request;
  const MeshOrganisation* organisation = nullptr;
  if (table->NeedsKeys() && !route->Open()) {
    if (!aArrived.GetKeyHash()) {
      return ResultCode::kMissingKey;
    }
    organisation = table->FindOrganisationByKey(*aArrived.GetKeyHash());
    if (organisation == nullptr) {
      return ResultCode::kUnknownKey;
    }
    request.organisation = organisation->Name();
    request.rank = CallerRank(organisation->Priority(), route->Priority());
  }
  request.exchange = aArrived.Exchange();
  request.id = aArrived.RequestId();
  request.route = *route;
  request.residency = Residency::Of(*route, organisation);
  request.bodyBytes = aArrived.BodyBytes();
  request.service = this->modules.splits.Choose(*route);
  request.arrived = aNow;
  const Duration timeout =
    std::min<Duration>(aArrived.Timeout().value_or(route->Timeout()), route->Timeout());
  request.deadline = std::min(aNow + timeout, this->latestDeadline);
  return request;
}

bool
EntryRequests::MayBeNestedCall(const RouteTable& aTable, const MeshRoute* aRoute) const
{
  const bool open = aRoute != nullptr && aTable.NeedsKeys() && aRoute->Open();
  return open && this->modules.target.Scheduler().Running() > 0;
}

void
EntryRequests::AcquireToken(Requests::iterator aRequest, Time aNow, Effects& aEffects)
{
  const Request& request = aRequest->second;
  if (!IsNestedCall(request.rank) &&
      this->throttle.ShouldReject(request.service, request.rank, aNow)) {
    this->FinishRejected(aRequest, ResultCode::kShedAtTarget, RunState::kNotRun, aNow, aEffects);
    return;
  }
  if (aRequest->second.organisation.empty()) {
    this->SendFirst(aRequest, aNow, aEffects);
    return;
  }
  const std::string organisation = aRequest->second.organisation;
  switch (this->modules.quota.Acquire(aRequest->first, organisation, aNow)) {
    case QuotaPool::Verdict::kAdmitted:
      this->SendFirst(aRequest, aNow, aEffects);
      break;
    case QuotaPool::Verdict::kPending:
      break;
    case QuotaPool::Verdict::kRejected:
      this->FinishRejected(aRequest, ResultCode::kRateExceeded, RunState::kNotRun, aNow, aEffects);
      break;
  }
}

void
EntryRequests::SendFirst(Requests::iterator aRequest, Time aNow, Effects& aEffects)
{
  aRequest->second.hasToken = !aRequest->second.organisation.empty();
  this->modules.budget.NoteRequest(aRequest->second.service);
  if (!this->Send(aRequest, aNow, aEffects)) {
    const ResultCode code = this->modules.picker.AbsenceCode(
      this->CriteriaOf(aRequest->second, aRequest->second.deadline - aNow));
    this->FinishRejected(aRequest, code, RunState::kNotRun, aNow, aEffects);
  }
}

NodePicker::Criteria
EntryRequests::CriteriaOf(const Request& aRequest, Duration aRemaining)
{
  return { .service = aRequest.service,
           .tried = aRequest.tried,
           .bodyBytes = aRequest.bodyBytes,
           .residency = aRequest.residency,
           .route = aRequest.route.Name(),
           .remaining = aRemaining,
           .nested = IsNestedCall(aRequest.rank) };
}

bool
EntryRequests::Send(Requests::iterator aRequest, Time aNow, Effects& aEffects)
{
  Request& request = aRequest->second;
  const Duration remaining = request.deadline - aNow;
  if (remaining < kMinSendTime) {
    return false;
  }
  const std::optional<PeerAddress> peer =
    this->modules.picker.Pick(this->CriteriaOf(request, remaining), aNow);
  if (!peer) {
    return false;
  }
  ++request.attempt;
  request.node = peer->Node();
  request.nodeDeadline = request.deadline;
  request.tried.insert(peer->Node());
  this->modules.picker.NoteSent(peer->Node());
  HopContext context({ .routeName = request.route.Name(),
                       .service = request.service,
                       .organisation = request.organisation,
                       .callerService = this->options.service,
                       .rank = request.rank,
                       .idempotent = IsIdempotent(request.route),
                       .remaining = remaining,
                       .allowedRegions = request.residency.Regions() });
  if (peer->Node() == this->options.node) {
    this->modules.target.Offer({ .exchange = request.exchange,
                                 .attempt = request.attempt,
                                 .requestId = request.id,
                                 .context = std::move(context),
                                 .deadline = request.deadline,
                                 .local = true },
                               aNow,
                               aEffects);
    return true;
  }
  aEffects.push_back(ForwardHop({ .exchange = request.exchange,
                                  .attempt = request.attempt,
                                  .peer = *peer,
                                  .context = std::move(context),
                                  .timeout = remaining }));
  return true;
}

bool
EntryRequests::Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects)
{
  const Requests::iterator found = this->requests.find(aEnded.Exchange());
  if (found == this->requests.end() || found->second.attempt != aEnded.Attempt()) {
    return false;
  }
  struct Visitor
  {
    EntryRequests& self;
    Requests::iterator request;
    Time now;
    Effects& effects;

    void operator()(const HopAnswered& aAnswer) const
    {
      this->self.modules.picker.NoteAnswer(
        this->request->second.node, LoadOf(this->request->second.route, aAnswer), this->now);
      this->self.HandleAnswer(this->request, aAnswer, this->now, this->effects);
    }
    void operator()(const TargetReplied& /*aOutcome*/) const {}
    void operator()(const ConnectFailed& /*aOutcome*/) const
    {
      this->Fail(ResultCode::kConnectFailed, RunState::kNotRun);
    }
    void operator()(const Lost& /*aOutcome*/) const
    {
      this->Fail(ResultCode::kAttemptLost, RunState::kUnknown);
    }
    void operator()(const TimedOut& /*aOutcome*/) const
    {
      this->self.modules.picker.NoteEnded(this->request->second.node);
      this->self.HandleAnswer(
        this->request,
        HopAnswered({ .code = ResultCode::kAttemptTimedOut, .run = RunState::kUnknown }),
        this->now,
        this->effects);
    }
    void Fail(ResultCode aCode, RunState aRun) const
    {
      this->self.modules.picker.NoteFailure(this->request->second.node, this->now);
      this->self.unresponsiveNodes.push_back(this->request->second.node);
      this->self.HandleAnswer(
        this->request, HopAnswered({ .code = aCode, .run = aRun }), this->now, this->effects);
    }
  };
  std::visit(Visitor{ *this, found, aNow, aEffects }, aEnded.Outcome());
  return true;
}

void
EntryRequests::Continue(Time aNow, Effects& aEffects)
{
  for (const QuotaPool::Decision& decision : this->modules.quota.TakeDecisions()) {
    const Requests::iterator found = this->requests.find(decision.exchange);
    if (found == this->requests.end()) {
      continue;
    }
    if (decision.admitted) {
      this->SendFirst(found, aNow, aEffects);
    } else {
      this->FinishRejected(found, ResultCode::kRateExceeded, RunState::kNotRun, aNow, aEffects);
    }
  }
  // An answer of the local target may cause a retry on it, which may be answered at once.
  std::vector<LocalTarget::Outcome> outcomes = this->modules.target.TakeOutcomes();
  while (!outcomes.empty()) {
    for (const LocalTarget::Outcome& outcome : outcomes) {
      const Requests::iterator found = this->requests.find(outcome.exchange);
      if (found != this->requests.end() && found->second.attempt == outcome.attempt) {
        this->modules.picker.NoteAnswer(
          this->options.node, LoadOf(found->second.route, outcome.answer), aNow);
        this->HandleAnswer(found, outcome.answer, aNow, aEffects);
      }
    }
    outcomes = this->modules.target.TakeOutcomes();
  }
}

void
EntryRequests::HandleAnswer(Requests::iterator aRequest,
                            const HopAnswered& aAnswer,
                            Time aNow,
                            Effects& aEffects)
{
  Request& request = aRequest->second;
  this->NoteForThrottle(request, aAnswer, aNow);
  const std::string node = request.node;
  const std::uint32_t attempt = request.attempt;
  const Retry retry = this->DecideRetry(request, aAnswer, aNow);
  if (retry != Retry::kNo && this->Send(aRequest, aNow, aEffects)) {
    AddLogLine(
      aEffects,
      LogEvent::kAttemptRetried,
      "request=" + request.id + " node=" + node + " code=" + std::string(ToText(aAnswer.Code())) +
        " run=" + std::string(ToText(aAnswer.Run())) + " attempt=" + std::to_string(attempt));
    return;
  }
  if (retry == Retry::kCharged) {
    this->modules.budget.Return(request.service);
  }
  if (aAnswer.Code() == ResultCode::kOk) {
    this->FinishRelayed(aRequest, aAnswer, aNow, aEffects);
  } else {
    this->FinishRejected(aRequest, aAnswer.Code(), aAnswer.Run(), aNow, aEffects);
  }
}

void
EntryRequests::NoteForThrottle(Request& aRequest, const HopAnswered& aAnswer, Time aNow)
{
  // Only overload counts as refused: other failures have causes that throttling doesn't relieve.
  if (!aRequest.noted && !IsOverload(aAnswer.Code())) {
    aRequest.noted = true;
    this->throttle.NoteAccepted(aRequest.service, aRequest.rank, aNow);
  }
}

EntryRequests::Retry
EntryRequests::DecideRetry(Request& aRequest, const HopAnswered& aAnswer, Time aNow)
{
  const bool idempotent = IsIdempotent(aRequest.route);
  if (aAnswer.Code() == ResultCode::kOk &&
      (aAnswer.Status() < kFirstServerErrorStatus || !idempotent)) {
    return Retry::kNo;
  }
  const bool reachedTarget =
    aAnswer.Run() != RunState::kNotRun || aAnswer.Code() == ResultCode::kTargetRefused;
  if (aAnswer.Run() != RunState::kNotRun) {
    ++aRequest.possibleRuns;
    if (!idempotent) {
      return Retry::kNo;
    }
  }
  if (aRequest.deadline - aNow < kMinSendTime) {
    return Retry::kNo;
  }
  if (!reachedTarget) {
    ++aRequest.refusals;
    const bool limited = IsOverload(aAnswer.Code()) && !IsNestedCall(aRequest.rank);
    const std::uint32_t limit = limited ? kMaxOverloadRefusals : kMaxRefusals;
    return aRequest.refusals <= limit ? Retry::kFree : Retry::kNo;
  }
  const bool allowed = aRequest.possibleRuns < aRequest.route.MaxAttempts() &&
                       this->modules.budget.TryTake(aRequest.service);
  return allowed ? Retry::kCharged : Retry::kNo;
}

void
EntryRequests::FinishRelayed(Requests::iterator aRequest,
                             const HopAnswered& aAnswer,
                             Time aNow,
                             Effects& aEffects)
{
  const Request& request = aRequest->second;
  aEffects.push_back(RelayReply({ .exchange = request.exchange, .attempt = request.attempt }));
  this->ReportResult(request, ResultCode::kOk, RunState::kRan, aAnswer.Status(), aNow, aEffects);
  this->requests.erase(aRequest);
}

void
EntryRequests::FinishRejected(Requests::iterator aRequest,
                              ResultCode aCode,
                              RunState aRun,
                              Time aNow,
                              Effects& aEffects)
{
  const Request& request = aRequest->second;
  // That the last attempt did not run proves nothing about the attempts before it.
  const RunState run = request.possibleRuns > 0 ? RunState::kUnknown : aRun;
  if (run == RunState::kNotRun && request.hasToken) {
    this->modules.quota.Refund(request.organisation);
  }
  aEffects.push_back(RejectRequest(
    { .exchange = request.exchange,
      .code = aCode,
      .run = run,
      .retryAfter = run == RunState::kNotRun ? this->RetryAfter(aCode) : Duration::zero() }));
  this->ReportResult(request, aCode, run, HttpStatus(aCode), aNow, aEffects);
  this->requests.erase(aRequest);
}

void
EntryRequests::RejectUnadmitted(const MeshRequestArrived& aArrived,
                                ResultCode aCode,
                                Effects& aEffects)
{
  aEffects.push_back(RejectRequest({ .exchange = aArrived.Exchange(),
                                     .code = aCode,
                                     .run = RunState::kNotRun,
                                     .retryAfter = this->RetryAfter(aCode) }));
  AddLogLine(aEffects,
             LogEvent::kRequestAnswered,
             "request=" + aArrived.RequestId() + " host=" + aArrived.Host() +
               " path=" + aArrived.Path() + " code=" + std::string(ToText(aCode)) +
               " run=not_run version=" + text::NumberOrNone(this->modules.configuration.Version()));
  aEffects.push_back(CallMeasured({ .code = aCode, .atEntry = true }));
}

Duration
EntryRequests::RetryAfter(ResultCode aCode)
{
  const RetryDelay delay = RetryDelayFor(aCode);
  const double jitter = static_cast<double>(delay.jitter.count()) * this->random.Fraction();
  return delay.minimum + Duration(static_cast<Duration::rep>(jitter));
}

void
EntryRequests::ReportResult(const Request& aRequest,
                            ResultCode aCode,
                            RunState aRun,
                            std::uint32_t aStatus,
                            Time aNow,
                            Effects& aEffects) const
{
  const Duration took = aNow - aRequest.arrived;
  AddLogLine(aEffects,
             LogEvent::kRequestAnswered,
             "request=" + aRequest.id + " route=" + aRequest.route.Name() + " organisation=" +
               aRequest.organisation + " service=" + aRequest.service + " node=" + aRequest.node +
               " code=" + std::string(ToText(aCode)) + " run=" + std::string(ToText(aRun)) +
               " status=" + std::to_string(aStatus) + " sends=" + std::to_string(aRequest.attempt) +
               " took_us=" + std::to_string(took.count()) +
               " version=" + text::NumberOrNone(this->modules.configuration.Version()));
  aEffects.push_back(CallMeasured({ .organisation = aRequest.organisation,
                                    .importance = ImportanceOf(aRequest.route),
                                    .code = aCode,
                                    .atEntry = true,
                                    .total = took,
                                    .retries = aRequest.attempt > 0 ? aRequest.attempt - 1 : 0 }));
}

std::vector<std::string>
EntryRequests::TakeUnresponsiveNodes()
{
  std::vector<std::string> taken;
  taken.swap(this->unresponsiveNodes);
  return taken;
}

void
EntryRequests::LimitDeadlines(Time aLatest)
{
  this->latestDeadline = aLatest;
  for (Requests::value_type& entry : this->requests) {
    entry.second.deadline = std::min(entry.second.deadline, aLatest);
  }
}

std::map<std::string, std::vector<std::string>>
EntryRequests::HopsWithLaterDeadline() const
{
  std::map<std::string, std::vector<std::string>> hops;
  for (const Requests::value_type& entry : this->requests) {
    const Request& request = entry.second;
    const bool forwarded = request.attempt > 0 && request.node != this->options.node;
    if (forwarded && request.nodeDeadline > request.deadline) {
      hops[request.node].push_back(request.id);
    }
  }
  return hops;
}

bool
EntryRequests::Withdraw(const Request& aRequest)
{
  if (aRequest.attempt == 0) {
    this->modules.quota.Abandon(aRequest.exchange);
    return true;
  }
  return aRequest.node == this->options.node && this->modules.target.Withdraw(aRequest.exchange);
}

void
EntryRequests::FinishAll(Time aNow, Effects& aEffects)
{
  while (!this->requests.empty()) {
    const Requests::iterator request = this->requests.begin();
    if (this->Withdraw(request->second)) {
      this->FinishRejected(request, ResultCode::kNodeDraining, RunState::kNotRun, aNow, aEffects);
    } else {
      this->FinishRejected(request, ResultCode::kAttemptLost, RunState::kUnknown, aNow, aEffects);
    }
  }
}

bool
EntryRequests::Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects)
{
  const Requests::iterator found = this->requests.find(aExchange);
  if (found == this->requests.end()) {
    return false;
  }
  const Request& request = found->second;
  if (request.attempt == 0) {
    this->modules.quota.Abandon(aExchange);
    aEffects.push_back(ForgetExchange({ .exchange = aExchange }));
  } else {
    this->modules.picker.NoteEnded(request.node);
    if (!this->modules.target.Abandon(aExchange, aNow, aEffects)) {
      // The node of the target lets a request that must not be interrupted run to completion.
      aEffects.push_back(CancelSend({ .exchange = aExchange, .attempt = request.attempt }));
      aEffects.push_back(ForgetExchange({ .exchange = aExchange }));
    }
  }
  AddLogLine(aEffects,
             LogEvent::kRequestAbandoned,
             "request=" + request.id + " node=" + request.node +
               " took_us=" + std::to_string((aNow - request.arrived).count()));
  aEffects.push_back(CallMeasured({ .organisation = request.organisation,
                                    .importance = ImportanceOf(request.route),
                                    .code = ResultCode::kCancelled,
                                    .atEntry = true,
                                    .total = aNow - request.arrived }));
  this->requests.erase(found);
  return true;
}

} // namespace jackdawwind
