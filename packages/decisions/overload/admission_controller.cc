#include "decisions/overload/admission_controller.h"

#include <algorithm>

#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

namespace {

/// With four queued calls per slot, the last one waits about four service times at the full limit.
constexpr std::uint32_t kQueueLengthPerSlot = 4;
/// Lets a target with few slots absorb a burst.
constexpr std::uint32_t kMinQueueLength = 16;

constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kTooManyRequests = 429;

/// Load signal that an outcome gives about the target.
enum class LoadSignal
{
  kAnswered,
  kRefused,
  /// The connection was lost, which is neither a latency sample nor a refusal.
  kNone,
};

struct LoadSignalOf
{
  LoadSignal operator()(const TargetAnswered& aOutcome) const
  {
    const bool refused =
      aOutcome.Status() == kServiceUnavailable || aOutcome.Status() == kTooManyRequests;
    return refused ? LoadSignal::kRefused : LoadSignal::kAnswered;
  }
  LoadSignal operator()(const ConnectFailed& /*aOutcome*/) const { return LoadSignal::kRefused; }
  LoadSignal operator()(const TimedOut& /*aOutcome*/) const { return LoadSignal::kRefused; }
  LoadSignal operator()(const Lost& /*aOutcome*/) const { return LoadSignal::kNone; }
};

/// Result code of calls rejected because the target is not ready.
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
  this->queue.Configure(std::max(aSlots * kQueueLengthPerSlot, kMinQueueLength),
                        aPolicy.QueueTimeoutMs());
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
  } else if (this->CannotMeetDeadline(aCall, aNow)) {
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
                              .limitReached = !this->HasFreeSlot() };
    this->running.erase(found);
    const LoadSignal signal = std::visit(LoadSignalOf(), aOutcome);
    if (signal == LoadSignal::kAnswered) {
      this->limit.NoteAnswered(sample);
      this->serviceTimes.AddSample(call.importance, aNow - call.started, aNow);
    } else if (signal == LoadSignal::kRefused) {
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
    return this->queue.Size() > 0 ? this->lastEventAt : Time::max();
  }
  const Time expiry = this->queue.NextExpiry(this->Expected(this->lastEventAt));
  return std::max(this->lastEventAt, std::min(expiry, this->level.NextStepTime()));
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
  this->lastEventAt = aNow;
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
  this->level.Observe(this->queue.LongestDelay(this->level.RaisedLevel(), aNow), idle, aNow);
}

bool
AdmissionController::CannotMeetDeadline(const PendingCall& aCall, Time aNow) const
{
  const Duration expected = this->Expected(aNow)[static_cast<std::size_t>(aCall.importance)];
  return aCall.deadline <= aNow || aCall.deadline - aNow < expected;
}

ExpectedServiceTimes
AdmissionController::Expected(Time aNow) const
{
  return this->running.empty() ? ExpectedServiceTimes{} : this->serviceTimes.Expected(aNow);
}

} // namespace jackdawwind
