#include "decisions/mesh/target_side.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "values/text.h"

namespace jackdawwind {

namespace {

/// Time without new sends after the target refused a connection; a target that restarts takes
/// about a second.
constexpr Duration kUnreachable = std::chrono::milliseconds(300);
/// A request that waited for less than one such part of its time had enough left.
constexpr int kWaitedParts = 4;
constexpr std::uint32_t kFirstSuccess = 200;
constexpr std::uint32_t kFirstRedirect = 300;
constexpr std::uint32_t kFirstServerError = 500;

} // namespace

bool
TargetSide::TakesWork(Time aNow) const
{
  return this->registration.State() == TargetState::kReady && aNow >= this->unreachableUntil;
}

ResultCode
TargetSide::ClosedCode() const
{
  return this->registration.State() == TargetState::kDraining ? ResultCode::kTargetDraining
                                                              : ResultCode::kNoTarget;
}

void
TargetSide::Offer(const Request& aRequest, Time aNow, Effects& aEffects)
{
  const bool misdirected = aRequest.context.GetService() != this->registration.Service();
  if (!this->TakesWork(aNow) || misdirected) {
    this->Refuse(aRequest, misdirected ? ResultCode::kNoTarget : this->ClosedCode(), aEffects);
    return;
  }
  const TargetGate::Waiting waiting{
    .exchange = aRequest.exchange,
    .context = aRequest.context,
    .arrived = aNow,
    .deadline = aRequest.deadline,
  };
  switch (this->gate.Offer(waiting, aNow)) {
    case TargetGate::Verdict::kRun:
      this->Run(this->requests[aRequest.exchange] = Entry{ .request = aRequest, .offeredAt = aNow },
                aNow,
                aEffects);
      break;
    case TargetGate::Verdict::kWait:
      this->requests[aRequest.exchange] = Entry{ .request = aRequest, .offeredAt = aNow };
      break;
    case TargetGate::Verdict::kTooLate:
    case TargetGate::Verdict::kFull:
      this->Refuse(aRequest, ResultCode::kShedAtTarget, aEffects);
      break;
  }
}

void
TargetSide::Run(Entry& aEntry, Time aNow, Effects& aEffects)
{
  aEntry.running = true;
  aEntry.startedAt = aNow;
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
TargetSide::RunWaiting(Time aNow, Effects& aEffects)
{
  if (!this->TakesWork(aNow)) {
    return;
  }
  while (std::optional<TargetGate::Waiting> next = this->gate.TakeNext()) {
    const Entries::iterator entry = this->requests.find(next->exchange);
    this->Run(entry->second, aNow, aEffects);
  }
}

void
TargetSide::Refuse(const Request& aRequest, ResultCode aCode, Effects& aEffects)
{
  const HopAnswered answer({ .status = HttpStatus(aCode),
                             .code = aCode,
                             .run = RunState::kNotRun,
                             .load = this->gate.LoadPerMille() });
  if (!aRequest.local) {
    AddLogLine(aEffects,
               LogEvent::kHopRefused,
               "request=" + aRequest.requestId + " route=" + aRequest.context.RouteName() +
                 " code=" + std::string(ToText(aCode)) +
                 " running=" + std::to_string(this->gate.Running()) +
                 " waiting=" + std::to_string(this->gate.WaitingCount()));
  }
  this->Finish(Entry{ .request = aRequest }, answer, aEffects);
}

void
TargetSide::Finish(const Entry& aEntry, const HopAnswered& aAnswer, Effects& aEffects)
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
    aEffects.push_back(RelayReply(
      { .exchange = request.exchange, .attempt = request.attempt, .load = aAnswer.Load() }));
    return;
  }
  aEffects.push_back(RejectRequest({ .exchange = request.exchange,
                                     .code = aAnswer.Code(),
                                     .run = aAnswer.Run(),
                                     .load = aAnswer.Load() }));
}

HopAnswered
TargetSide::Judge(const SendOutcome& aOutcome) const
{
  struct Visitor
  {
    std::uint32_t load;

    HopAnswered Make(ResultCode aCode, RunState aRun) const
    {
      return HopAnswered(
        { .status = HttpStatus(aCode), .code = aCode, .run = aRun, .load = this->load });
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
                           .load = this->load });
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
  return std::visit(Visitor{ this->gate.LoadPerMille() }, aOutcome);
}

bool
TargetSide::Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects)
{
  const Entries::iterator found = this->requests.find(aEnded.Exchange());
  if (found == this->requests.end() || found->second.request.attempt != aEnded.Attempt()) {
    return false;
  }
  const Entry entry = std::move(found->second);
  this->requests.erase(found);
  const bool answered = std::holds_alternative<TargetReplied>(aEnded.Outcome());
  const HopAnswered answer = this->Judge(aEnded.Outcome());
  const bool ran = answered && answer.Run() == RunState::kRan;
  const bool timedOut = answer.Code() == ResultCode::kAttemptTimedOut;
  // A request that waited for long here may fail for want of time, which says nothing of its calls.
  const Duration waited = entry.startedAt - entry.offeredAt;
  const bool hadTime = waited * kWaitedParts < entry.request.deadline - entry.offeredAt;
  this->gate.Finish(
    entry.request.context,
    { .took = ran ? std::optional<Duration>(aNow - entry.startedAt) : std::nullopt,
      .failed = hadTime && (timedOut || (ran && answer.Status() >= kFirstServerError)) },
    aNow);
  if (answer.Code() == ResultCode::kConnectFailed) {
    this->unreachableUntil = aNow + kUnreachable;
  }
  this->Finish(entry, answer, aEffects);
  this->RunWaiting(aNow, aEffects);
  return true;
}

bool
TargetSide::Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects)
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
    this->gate.Finish(entry.request.context, {}, aNow);
  } else {
    this->gate.Abandon(aExchange);
  }
  aEffects.push_back(ForgetExchange({ .exchange = aExchange }));
  this->requests.erase(found);
  this->RunWaiting(aNow, aEffects);
  return true;
}

void
TargetSide::RefuseAll(Effects& aEffects)
{
  for (const TargetGate::Waiting& waiting : this->gate.TakeAll()) {
    const Entries::iterator entry = this->requests.find(waiting.exchange);
    this->Refuse(entry->second.request, this->ClosedCode(), aEffects);
    this->requests.erase(entry);
  }
}

bool
TargetSide::Receive(const TargetHeartbeat& aBeat, Time aNow, Effects& aEffects)
{
  const TargetRegistration::Verdict verdict = this->registration.Receive(aBeat, aNow);
  if (verdict == TargetRegistration::Verdict::kStale) {
    AddLogLine(aEffects,
               LogEvent::kBeatRejected,
               "instance=" + aBeat.Instance() + " sequence=" + std::to_string(aBeat.Sequence()) +
                 " born=" + std::to_string(aBeat.StartedAtMs()) + " reason=stale");
    return false;
  }
  if (verdict == TargetRegistration::Verdict::kRenewed) {
    return false;
  }
  this->gate.SetSlots(aBeat.Slots());
  this->unreachableUntil = Time{};
  AddLogLine(aEffects,
             LogEvent::kTargetChanged,
             "instance=" + aBeat.Instance() + " service=" + aBeat.GetService() + " state=" +
               std::string(ToText(aBeat.State())) + " slots=" + std::to_string(aBeat.Slots()));
  if (aBeat.State() != TargetState::kReady) {
    this->RefuseAll(aEffects);
  }
  this->RunWaiting(aNow, aEffects);
  return true;
}

bool
TargetSide::Receive(const TargetDeregistered& aGone, Time /*aNow*/, Effects& aEffects)
{
  if (!this->registration.Receive(aGone)) {
    AddLogLine(
      aEffects, LogEvent::kBeatRejected, "instance=" + aGone.Instance() + " reason=not_current");
    return false;
  }
  AddLogLine(aEffects, LogEvent::kTargetChanged, "instance=" + aGone.Instance() + " state=gone");
  this->RefuseAll(aEffects);
  return true;
}

bool
TargetSide::Poll(Time aNow, Effects& aEffects)
{
  for (const TargetGate::Waiting& waiting : this->gate.TakeExpired(aNow)) {
    const Entries::iterator entry = this->requests.find(waiting.exchange);
    this->Refuse(entry->second.request, ResultCode::kQueueExpired, aEffects);
    this->requests.erase(entry);
  }
  if (aNow >= this->unreachableUntil) {
    this->unreachableUntil = Time{};
  }
  this->RunWaiting(aNow, aEffects);
  if (!this->registration.Expire(aNow)) {
    return false;
  }
  AddLogLine(aEffects, LogEvent::kTargetChanged, "state=lapsed");
  this->RefuseAll(aEffects);
  return true;
}

Time
TargetSide::NextWake() const
{
  const bool waits = this->gate.WaitingCount() > 0 && this->unreachableUntil > Time{};
  return std::min({ this->gate.NextExpiry(),
                    this->registration.LeaseEnd(),
                    waits ? this->unreachableUntil : Time::max() });
}

std::vector<TargetSide::Outcome>
TargetSide::TakeOutcomes()
{
  std::vector<Outcome> taken;
  taken.swap(this->outcomes);
  return taken;
}

} // namespace jackdawwind
