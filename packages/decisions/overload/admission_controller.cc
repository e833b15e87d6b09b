#include "decisions/overload/admission_controller.h"

#include <algorithm>

#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

namespace {

/// Queue length per slot: at the full limit the last of four waits about four service times.
constexpr std::uint32_t kQueuedPerSlot = 4;
/// Room for a burst at a target with few slots.
constexpr std::uint32_t kMinQueued = 16;

constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kTooManyRequests = 429;

/// What an outcome tells about the target's load.
enum class LoadSign
{
  kAnswered,
  kRefused,
  /// The connection was lost: neither a latency nor a refusal.
  kNone,
};

struct LoadSignOf
{
  LoadSign operator()(const TargetAnswered& aOutcome) const
  {
    const bool refused =
      aOutcome.Status() == kServiceUnavailable || aOutcome.Status() == kTooManyRequests;
    return refused ? LoadSign::kRefused : LoadSign::kAnswered;
  }
  LoadSign operator()(const ConnectFailed& /*aOutcome*/) const { return LoadSign::kRefused; }
  LoadSign operator()(const TimedOut& /*aOutcome*/) const { return LoadSign::kRefused; }
  LoadSign operator()(const Lost& /*aOutcome*/) const { return LoadSign::kNone; }
};

/// Refusal for a target that is not ready.
ResultCode
NotReadyCode(TargetState aState)
{
  return aState == TargetState::kDraining ? ResultCode::kTargetDraining : ResultCode::kNoTarget;
}

void
AddRejection(AdmissionVerdicts& aVerdicts, const PendingCall& aCall, ResultCode aCode, Time aNow)
{
  aVerdicts.push_back(
    RejectCall{ .exchange = aCall.exchange, .code = aCode, .queued = aNow - aCall.arrived });
}

} // namespace

AdmissionController::AdmissionController()
{
  this->Configure(Policy(), 1, {});
}

AdmissionController::~AdmissionController() = default;

void
AdmissionController::Configure(const Policy& aPolicy,
                               std::uint32_t aSlots,
                               const std::map<std::string, double>& aWeights)
{
  if (aPolicy.Kind() != this->kind) {
    this->kind = aPolicy.Kind();
    this->policy = MakeShedPolicy(this->kind);
    this->level.Reset();
  }
  SetWeights(this->policy, aWeights);
  this->limit.SetSlots(aSlots);
  this->queue.Configure(std::max(aSlots * kQueuedPerSlot, kMinQueued), aPolicy.QueueTimeoutMs());
  this->level.Configure(StepsOf(this->policy), aPolicy.QueueDelayTargetMs());
}

void
AdmissionController::SetTargetState(TargetState aState, Time aNow)
{
  if (aState == TargetState::kReady && this->state != aState) {
    this->limit.ColdStart(aNow);
    this->level.Reset();
  }
  this->state = aState;
}

AdmissionVerdicts
AdmissionController::Offer(const PendingCall& aCall, Time aNow)
{
  AdmissionVerdicts verdicts;
  this->Advance(aNow, verdicts);
  const bool overloaded = this->level.Value() > 0;
  if (this->state != TargetState::kReady) {
    AddRejection(verdicts, aCall, NotReadyCode(this->state), aNow);
  } else if (this->TooLate(aCall, aNow)) {
    AddRejection(verdicts, aCall, ResultCode::kDeadlineTooShort, aNow);
  } else if (this->HasFreeSlot()) {
    this->Start(aCall, aNow, verdicts);
  } else if (RankOf(aCall.importance, aCall.priority) < this->level.Value()) {
    AddRejection(verdicts, aCall, ResultCode::kShedAtTarget, aNow);
  } else if (const std::optional<PendingCall> shed =
               this->queue.Push(aCall, this->policy, overloaded, aNow)) {
    AddRejection(verdicts, *shed, ResultCode::kShedAtTarget, aNow);
  }
  return verdicts;
}

AdmissionVerdicts
AdmissionController::Finish(std::uint64_t aExchange, const TargetOutcome& aOutcome, Time aNow)
{
  AdmissionVerdicts verdicts;
  const std::map<std::uint64_t, RunningCall>::iterator found = this->running.find(aExchange);
  if (found != this->running.end()) {
    const RunningCall call = found->second;
    const LimitSample sample{ .started = call.started,
                              .ended = aNow,
                              .limited = !this->HasFreeSlot() };
    this->running.erase(found);
    const LoadSign sign = std::visit(LoadSignOf(), aOutcome);
    if (sign == LoadSign::kAnswered) {
      this->limit.NoteAnswered(sample);
      this->serviceTime.Note(call.importance, aNow - call.started, aNow);
    } else if (sign == LoadSign::kRefused) {
      this->limit.NoteRefused(sample);
    }
  }
  this->Advance(aNow, verdicts);
  return verdicts;
}

void
AdmissionController::Abandon(std::uint64_t aExchange)
{
  this->queue.Remove(aExchange);
}

AdmissionVerdicts
AdmissionController::Poll(Time aNow)
{
  AdmissionVerdicts verdicts;
  this->Advance(aNow, verdicts);
  return verdicts;
}

Time
AdmissionController::NextWake() const
{
  if (this->queue.Size() == 0 && this->level.Value() == 0) {
    return Time::max();
  }
  if (this->state != TargetState::kReady) {
    return this->queue.Size() > 0 ? this->seen : Time::max();
  }
  const Time expiry = this->queue.NextExpiry(this->Expected(this->seen));
  return std::max(this->seen, std::min(expiry, this->level.NextStep()));
}

std::uint32_t
AdmissionController::Level() const
{
  return this->level.Value();
}

std::uint32_t
AdmissionController::Load() const
{
  return static_cast<std::uint32_t>(this->running.size() + this->queue.Size());
}

LimitStatus
AdmissionController::Status() const
{
  return LimitStatus({ .limit = this->limit.Value(),
                       .running = static_cast<std::uint32_t>(this->running.size()),
                       .queued = static_cast<std::uint32_t>(this->queue.Size()),
                       .level = this->level.Value() });
}

void
AdmissionController::Start(const PendingCall& aCall, Time aNow, AdmissionVerdicts& aVerdicts)
{
  this->running[aCall.exchange] = { .started = aNow, .importance = aCall.importance };
  NoteStart(this->policy, aCall, aNow);
  aVerdicts.push_back(StartCall{ .exchange = aCall.exchange, .queued = aNow - aCall.arrived });
}

void
AdmissionController::Advance(Time aNow, AdmissionVerdicts& aVerdicts)
{
  this->seen = aNow;
  if (this->state != TargetState::kReady) {
    for (const PendingCall& call : this->queue.Clear()) {
      AddRejection(aVerdicts, call, NotReadyCode(this->state), aNow);
    }
    return;
  }
  for (const DroppedCall& dropped : this->queue.DropExpired(this->Expected(aNow), aNow)) {
    AddRejection(aVerdicts, dropped.call, dropped.code, aNow);
  }
  while (this->HasFreeSlot() && this->queue.Size() > 0) {
    this->Start(*this->queue.Pop(this->policy, this->level.Value() > 0, aNow), aNow, aVerdicts);
  }
  const bool idle = this->queue.Size() == 0 && this->HasFreeSlot();
  this->level.Observe(this->queue.Delay(this->level.NextRank(), aNow), idle, aNow);
}

bool
AdmissionController::TooLate(const PendingCall& aCall, Time aNow) const
{
  const Duration expected = this->Expected(aNow)[static_cast<std::size_t>(aCall.importance)];
  return aCall.deadline <= aNow || aCall.deadline - aNow < expected;
}

ExpectedTimes
AdmissionController::Expected(Time aNow) const
{
  return this->running.empty() ? ExpectedTimes{} : this->serviceTime.Expected(aNow);
}

} // namespace jackdawwind
