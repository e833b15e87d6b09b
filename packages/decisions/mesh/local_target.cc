#include "decisions/mesh/local_target.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "values/text.h"

namespace jackdawwind {

namespace {

/// Backoff after the target refused a connection; a restart of the target takes about a second.
constexpr Duration kConnectBackoff = std::chrono::milliseconds(300);
/// A request that waited for less than 1/kWaitDivisor of its time budget had enough time left.
constexpr int kWaitDivisor = 4;
constexpr std::uint32_t kFirstSuccess = 200;
constexpr std::uint32_t kFirstRedirect = 300;
constexpr std::uint32_t kFirstServerError = 500;

} // namespace

bool
LocalTarget::AcceptsRequests(Time aNow) const
{
  return this->registration.State() == TargetState::kReady && !this->evacuated &&
         aNow >= this->unreachableUntil;
}

ResultCode
LocalTarget::UnavailableCode() const
{
  const bool leaving = this->evacuated || this->registration.State() == TargetState::kDraining;
  return leaving ? ResultCode::kTargetDraining : ResultCode::kNoTarget;
}

void
LocalTarget::Configure(const MeshConfiguration& aConfiguration, Time aNow)
{
  this->coldStart.Configure(aConfiguration.ColdStarts(), aNow);
}

void
LocalTarget::SetEvacuated(bool aEvacuated, Effects& aEffects)
{
  this->evacuated = aEvacuated;
  if (aEvacuated) {
    this->RefuseWaiting(aEffects);
  }
}

void
LocalTarget::UpdateStartLimit(Time aNow)
{
  this->scheduler.SetStartLimit(
    { .closed = !this->coldStart.MayStart(aNow), .interval = this->coldStart.Interval(aNow) });
}

void
LocalTarget::LogColdState(Time aNow, Effects& aEffects)
{
  const bool cold = this->coldStart.IsCold(aNow);
  if (cold == this->loggedCold) {
    return;
  }
  this->loggedCold = cold;
  if (cold) {
    this->limitedRequests = 0;
    const Duration left = this->coldStart.ColdUntil() - aNow;
    AddLogLine(aEffects,
               LogEvent::kTargetCold,
               "service=" + this->registration.Service() +
                 " cold_us=" + std::to_string(left.count()) +
                 " interval_us=" + std::to_string(this->coldStart.Interval(aNow).count()));
  } else {
    AddLogLine(aEffects,
               LogEvent::kTargetWarm,
               "service=" + this->registration.Service() +
                 " limited=" + std::to_string(this->limitedRequests));
  }
}

void
LocalTarget::Offer(const Request& aRequest, Time aNow, Effects& aEffects)
{
  const bool misdirected = aRequest.context.GetService() != this->registration.Service();
  if (!this->AcceptsRequests(aNow) || misdirected) {
    this->Refuse(aRequest, misdirected ? ResultCode::kNoTarget : this->UnavailableCode(), aEffects);
    return;
  }
  Entry entry{ .request = aRequest, .offeredAt = aNow };
  entry.request.deadline = std::min(aRequest.deadline, this->latestDeadline);
  const TargetScheduler::WaitingRequest waiting{
    .exchange = aRequest.exchange,
    .context = aRequest.context,
    .arrived = aNow,
    .deadline = entry.request.deadline,
  };
  this->UpdateStartLimit(aNow);
  if (this->scheduler.IsStartClosed()) {
    ++this->limitedRequests;
    aEffects.push_back(MetricUpdated(
      { .metric = Metric::kColdLimitedTotal, .label = this->registration.Service(), .value = 1 }));
  }
  switch (this->scheduler.Offer(waiting, aNow)) {
    case TargetScheduler::Verdict::kRun:
      this->Run(this->requests[aRequest.exchange] = std::move(entry), aNow, aEffects);
      break;
    case TargetScheduler::Verdict::kWait:
      this->requests[aRequest.exchange] = std::move(entry);
      break;
    case TargetScheduler::Verdict::kTooLate:
    case TargetScheduler::Verdict::kQueueFull:
      this->Refuse(aRequest, ResultCode::kShedAtTarget, aEffects);
      break;
  }
}

void
LocalTarget::Run(Entry& aEntry, Time aNow, Effects& aEffects)
{
  aEntry.running = true;
  aEntry.startedAt = aNow;
  this->coldStart.NoteStart(aNow);
  this->UpdateStartLimit(aNow);
  const TargetHeartbeat& target = *this->registration.Current();
  const HopContext& context = aEntry.request.context;
  aEffects.push_back(CallTarget({
    .exchange = aEntry.request.exchange,
    .attempt = aEntry.request.attempt,
    .host = target.Host(),
    .port = target.Port(),
    .instance = target.Instance(),
    .organisation = context.GetOrganisation(),
    .callerService = context.CallerService(),
    .timeout = std::max(aEntry.request.deadline - aNow, Duration::zero()),
    .idempotent = context.Idempotent(),
  }));
}

void
LocalTarget::RunWaiting(Time aNow, Effects& aEffects)
{
  this->UpdateStartLimit(aNow);
  if (!this->AcceptsRequests(aNow)) {
    return;
  }
  // A slot may become free long after the last timer, for example when a suspended process resumes.
  this->RefuseExpired(aNow, aEffects);
  while (std::optional<TargetScheduler::WaitingRequest> next = this->scheduler.TakeNext()) {
    const Entries::iterator entry = this->requests.find(next->exchange);
    this->Run(entry->second, aNow, aEffects);
  }
}

void
LocalTarget::RefuseExpired(Time aNow, Effects& aEffects)
{
  for (const TargetScheduler::WaitingRequest& waiting : this->scheduler.TakeExpired(aNow)) {
    const Entries::iterator entry = this->requests.find(waiting.exchange);
    this->Refuse(entry->second.request, ResultCode::kQueueExpired, aEffects);
    this->requests.erase(entry);
  }
}

void
LocalTarget::Refuse(const Request& aRequest, ResultCode aCode, Effects& aEffects)
{
  const HopAnswered answer({ .status = HttpStatus(aCode),
                             .code = aCode,
                             .run = RunState::kNotRun,
                             .load = this->scheduler.LoadPerMille(),
                             .slots = this->scheduler.Capacity(),
                             .expectedTime = this->routeTimes.Mean(aRequest.context.RouteName()) });
  if (!aRequest.local) {
    AddLogLine(aEffects,
               LogEvent::kHopRefused,
               "request=" + aRequest.requestId + " route=" + aRequest.context.RouteName() +
                 " code=" + std::string(ToText(aCode)) +
                 " running=" + std::to_string(this->scheduler.Running()) +
                 " waiting=" + std::to_string(this->scheduler.WaitingCount()));
  }
  this->Finish(Entry{ .request = aRequest }, answer, aEffects);
}

void
LocalTarget::Finish(const Entry& aEntry, const HopAnswered& aAnswer, Effects& aEffects)
{
  const Request& request = aEntry.request;
  if (aEntry.abandoned) {
    aEffects.push_back(ForgetExchange({ .exchange = request.exchange }));
    return;
  }
  if (request.local) {
    this->outcomes.push_back({ request.exchange, request.attempt, aAnswer });
    return;
  }
  if (aAnswer.Code() == ResultCode::kOk) {
    aEffects.push_back(RelayReply({ .exchange = request.exchange,
                                    .attempt = request.attempt,
                                    .load = aAnswer.Load(),
                                    .slots = aAnswer.Slots(),
                                    .expectedTime = aAnswer.ExpectedTime() }));
    return;
  }
  aEffects.push_back(RejectRequest({ .exchange = request.exchange,
                                     .code = aAnswer.Code(),
                                     .run = aAnswer.Run(),
                                     .load = aAnswer.Load(),
                                     .slots = aAnswer.Slots(),
                                     .expectedTime = aAnswer.ExpectedTime() }));
}

HopAnswered
LocalTarget::ToAnswer(const SendOutcome& aOutcome, const std::string& aRoute) const
{
  struct Visitor
  {
    std::uint32_t load;
    std::uint32_t slots;
    Duration expectedTime;

    HopAnswered Make(ResultCode aCode, RunState aRun) const
    {
      return HopAnswered({ .status = HttpStatus(aCode),
                           .code = aCode,
                           .run = aRun,
                           .load = this->load,
                           .slots = this->slots,
                           .expectedTime = this->expectedTime });
    }
    HopAnswered operator()(const TargetReplied& aReply) const
    {
      if (aReply.NotExecuted()) {
        return this->Make(ResultCode::kTargetRefused, RunState::kNotRun);
      }
      const bool success = aReply.Status() >= kFirstSuccess && aReply.Status() < kFirstRedirect;
      if (success && !aReply.Genuine()) {
        return this->Make(ResultCode::kTargetFailed, RunState::kUnknown);
      }
      return HopAnswered({ .status = aReply.Status(),
                           .code = ResultCode::kOk,
                           .run = RunState::kRan,
                           .load = this->load,
                           .slots = this->slots,
                           .expectedTime = this->expectedTime });
    }
    HopAnswered operator()(const HopAnswered& aAnswer) const { return aAnswer; }
    HopAnswered operator()(const ConnectFailed& /*aOutcome*/) const
    {
      return this->Make(ResultCode::kConnectFailed, RunState::kNotRun);
    }
    HopAnswered operator()(const Lost& /*aOutcome*/) const
    {
      return this->Make(ResultCode::kTargetFailed, RunState::kUnknown);
    }
    HopAnswered operator()(const TimedOut& /*aOutcome*/) const
    {
      return this->Make(ResultCode::kAttemptTimedOut, RunState::kUnknown);
    }
  };
  return std::visit(Visitor{ this->scheduler.LoadPerMille(),
                             this->scheduler.Capacity(),
                             this->routeTimes.Mean(aRoute) },
                    aOutcome);
}

void
LocalTarget::NoteTime(const Entry& aEntry, const SendOutcome& aOutcome, Time aNow)
{
  const std::string& route = aEntry.request.context.RouteName();
  const Duration took = aNow - aEntry.startedAt;
  if (std::holds_alternative<TimedOut>(aOutcome)) {
    this->routeTimes.NoteTimeout(route, took, aNow);
    return;
  }
  // A failure may come at once, which says nothing about the speed.
  const TargetReplied* reply = std::get_if<TargetReplied>(&aOutcome);
  if (reply != nullptr && !reply->NotExecuted() && reply->Status() < kFirstServerError) {
    this->routeTimes.NoteAnswer(route, took, aNow);
  }
}

bool
LocalTarget::Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects)
{
  const Entries::iterator found = this->requests.find(aEnded.Exchange());
  if (found == this->requests.end() || found->second.request.attempt != aEnded.Attempt()) {
    return false;
  }
  const Entry entry = std::move(found->second);
  this->requests.erase(found);
  this->UpdateStartLimit(aNow);
  const bool answered = std::holds_alternative<TargetReplied>(aEnded.Outcome());
  this->NoteTime(entry, aEnded.Outcome(), aNow);
  const HopAnswered answer = this->ToAnswer(aEnded.Outcome(), entry.request.context.RouteName());
  const bool ran = answered && answer.Run() == RunState::kRan;
  const bool timedOut = answer.Code() == ResultCode::kAttemptTimedOut;
  // After a long wait here a request may fail because too little time was left, which is no sign of
  // overload in the services that it calls.
  const Duration waited = entry.startedAt - entry.offeredAt;
  const bool hadEnoughTime = waited * kWaitDivisor < entry.request.deadline - entry.offeredAt;
  this->scheduler.Finish(
    entry.request.context,
    { .took = ran ? std::optional<Duration>(aNow - entry.startedAt) : std::nullopt,
      .failed = hadEnoughTime && (timedOut || (ran && answer.Status() >= kFirstServerError)) },
    aNow);
  if (answer.Code() == ResultCode::kConnectFailed) {
    this->unreachableUntil = aNow + kConnectBackoff;
  }
  this->Finish(entry, answer, aEffects);
  this->RunWaiting(aNow, aEffects);
  return true;
}

bool
LocalTarget::Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects)
{
  const Entries::iterator found = this->requests.find(aExchange);
  if (found == this->requests.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (entry.running && !entry.request.context.Idempotent()) {
    entry.abandoned = true;
    return true;
  }
  if (entry.running) {
    aEffects.push_back(CancelSend({ .exchange = aExchange, .attempt = entry.request.attempt }));
    this->NoteTime(entry, TimedOut(), aNow);
    this->scheduler.Finish(entry.request.context, {}, aNow);
  } else {
    this->scheduler.Abandon(aExchange);
  }
  aEffects.push_back(ForgetExchange({ .exchange = aExchange }));
  this->requests.erase(found);
  this->RunWaiting(aNow, aEffects);
  return true;
}

void
LocalTarget::ShortenDeadline(Entry& aEntry, Time aDeadline)
{
  if (!aEntry.running) {
    aEntry.request.deadline = std::min(aEntry.request.deadline, aDeadline);
    this->scheduler.ShortenDeadline(aEntry.request.exchange, aDeadline);
  }
}

void
LocalTarget::LimitDeadlines(Time aLatest)
{
  this->latestDeadline = aLatest;
  for (Entries::value_type& entry : this->requests) {
    this->ShortenDeadline(entry.second, aLatest);
  }
}

void
LocalTarget::Receive(const HopDeadlines& aDeadlines, Time aNow)
{
  const std::vector<std::string>& ids = aDeadlines.Requests();
  const std::set<std::string> named(ids.begin(), ids.end());
  for (Entries::value_type& entry : this->requests) {
    if (!entry.second.request.local && named.contains(entry.second.request.requestId)) {
      this->ShortenDeadline(entry.second, aNow + aDeadlines.Remaining());
    }
  }
}

bool
LocalTarget::Withdraw(std::uint64_t aExchange)
{
  return this->scheduler.Abandon(aExchange) && this->requests.erase(aExchange) > 0;
}

void
LocalTarget::FinishAll(Effects& aEffects)
{
  for (const Entries::value_type& item : this->requests) {
    const Entry& entry = item.second;
    if (entry.request.local) {
      continue;
    }
    const ResultCode code = entry.running ? ResultCode::kAttemptLost : ResultCode::kNodeDraining;
    this->Finish(entry,
                 HopAnswered({ .status = HttpStatus(code),
                               .code = code,
                               .run = entry.running ? RunState::kUnknown : RunState::kNotRun,
                               .load = this->scheduler.LoadPerMille(),
                               .slots = this->scheduler.Capacity() }),
                 aEffects);
  }
  this->requests.clear();
  this->scheduler = TargetScheduler();
}

void
LocalTarget::RefuseWaiting(Effects& aEffects)
{
  for (const TargetScheduler::WaitingRequest& waiting : this->scheduler.TakeAll()) {
    const Entries::iterator entry = this->requests.find(waiting.exchange);
    this->Refuse(entry->second.request, this->UnavailableCode(), aEffects);
    this->requests.erase(entry);
  }
}

bool
LocalTarget::Receive(const TargetHeartbeat& aBeat, Time aNow, Effects& aEffects)
{
  const TargetRegistration::Verdict verdict = this->registration.Receive(aBeat, aNow);
  if (verdict == TargetRegistration::Verdict::kStale) {
    AddLogLine(aEffects,
               LogEvent::kBeatRejected,
               "instance=" + aBeat.Instance() + " sequence=" + std::to_string(aBeat.Sequence()) +
                 " born=" + text::NumberOrNone(aBeat.StartedAtMs()) + " reason=stale");
    return false;
  }
  this->coldStart.Receive(aBeat, aNow);
  if (verdict == TargetRegistration::Verdict::kRenewed) {
    return false;
  }
  this->scheduler.SetSlots(aBeat.Slots());
  this->unreachableUntil = Time{};
  AddLogLine(aEffects,
             LogEvent::kTargetChanged,
             "instance=" + aBeat.Instance() + " service=" + aBeat.GetService() + " state=" +
               std::string(ToText(aBeat.State())) + " slots=" + std::to_string(aBeat.Slots()));
  if (aBeat.State() != TargetState::kReady) {
    this->RefuseWaiting(aEffects);
  }
  this->RunWaiting(aNow, aEffects);
  return true;
}

bool
LocalTarget::Receive(const TargetDeregistered& aGone, Time aNow, Effects& aEffects)
{
  const bool current = this->registration.Receive(aGone, aNow);
  AddLogLine(aEffects,
             LogEvent::kTargetChanged,
             "instance=" + aGone.Instance() + " state=gone" + (current ? "" : " current=no"));
  if (!current) {
    return false;
  }
  this->RefuseWaiting(aEffects);
  return true;
}

bool
LocalTarget::Poll(Time aNow, Effects& aEffects)
{
  this->LogColdState(aNow, aEffects);
  this->RefuseExpired(aNow, aEffects);
  if (aNow >= this->unreachableUntil) {
    this->unreachableUntil = Time{};
  }
  this->RunWaiting(aNow, aEffects);
  if (!this->registration.Expire(aNow)) {
    return false;
  }
  AddLogLine(aEffects, LogEvent::kTargetChanged, "state=lapsed");
  this->RefuseWaiting(aEffects);
  return true;
}

Time
LocalTarget::NextWake() const
{
  const bool waiting = this->scheduler.WaitingCount() > 0;
  const bool blocked = waiting && this->unreachableUntil > Time{};
  const bool limited = waiting && this->scheduler.IsStartClosed();
  return std::min({ this->scheduler.NextExpiry(),
                    this->registration.LeaseEnd(),
                    blocked ? this->unreachableUntil : Time::max(),
                    limited ? this->coldStart.OpensAt() : Time::max() });
}

std::vector<LocalTarget::Outcome>
LocalTarget::TakeOutcomes()
{
  std::vector<Outcome> taken;
  taken.swap(this->outcomes);
  return taken;
}

} // namespace jackdawwind
