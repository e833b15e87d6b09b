#include "decisions/node_core.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "decisions/calls/admitted_calls.h"
#include "decisions/calls/entry_calls.h"
#include "decisions/claims/claim_ledger.h"
#include "decisions/config/control_follower.h"
#include "decisions/graceful_shutdown.h"
#include "decisions/membership/announcer.h"
#include "decisions/membership/membership.h"
#include "decisions/overload/admission_controller.h"
#include "decisions/rate/rate_limiter.h"
#include "decisions/retry/retry_budget.h"
#include "decisions/routing/picker.h"

namespace jackdawwind {

namespace {

/// A target gets no new calls unless it renews its announcement within this time.
constexpr Duration kTargetLease = std::chrono::seconds(3);

/// Each module has its own random generator, so that the draws of one module do not change those of
/// another.
enum class RandomStream : std::uint64_t
{
  kMembership = 1,
  kControl,
  kRate,
  kPicker,
  kCalls,
};

std::uint64_t
DeriveSeed(std::uint64_t aSeed, RandomStream aStream)
{
  // 2^64 divided by the golden ratio; spreads the seeds of the modules over all bits.
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
  return aSeed ^ (kGoldenRatio * static_cast<std::uint64_t>(aStream));
}

Member
SelfMember(const NodeCore::Options& aOptions)
{
  return Member({ .address = aOptions.self,
                  .incarnation = aOptions.incarnation,
                  .domain = aOptions.settings.GetDomain(),
                  .region = aOptions.settings.Region(),
                  .state = NodeState::kAlive });
}

RateLimiter::Options
RateOptions(const NodeCore::Options& aOptions)
{
  return { .self = aOptions.self,
           .domain = aOptions.settings.GetDomain(),
           .region = aOptions.settings.Region(),
           .incarnation = aOptions.incarnation };
}

NodeAnnounced
AnnouncementOf(const NodeCore::Options& aOptions)
{
  return NodeAnnounced({ .address = aOptions.self,
                         .domain = aOptions.settings.GetDomain(),
                         .region = aOptions.settings.Region(),
                         .incarnation = aOptions.incarnation });
}

} // namespace

class NodeCore::Impl
{
public:
  explicit Impl(Options aOptions)
    : options(std::move(aOptions))
    , control({ .self = this->options.self, .retention = this->options.settings.Log().Retention() },
              tickets,
              DeriveSeed(this->options.seed, RandomStream::kControl))
    , membership({ .self = SelfMember(this->options), .seeds = this->options.settings.Seeds() },
                 DeriveSeed(this->options.seed, RandomStream::kMembership))
    , announcer(AnnouncementOf(this->options), this->options.settings.Log().Retention(), tickets)
    , rate(RateOptions(this->options), DeriveSeed(this->options.seed, RandomStream::kRate))
    , claims({ .owner = this->options.self.Node() + "/" + std::to_string(this->options.incarnation),
               .unixTimeAtClockZero = this->options.unixTimeAtClockZero },
             tickets)
    , picker(
        { .domain = this->options.settings.GetDomain(), .region = this->options.settings.Region() },
        DeriveSeed(this->options.seed, RandomStream::kPicker))
    , admitted(controller, this->options.makeId)
    , entry({ control, membership, rate, claims, budget, picker, admitted },
            this->options.makeId,
            DeriveSeed(this->options.seed, RandomStream::kCalls))
  {
  }

  Effects Start(Time aNow)
  {
    Effects effects;
    this->control.Start(aNow, effects);
    this->membership.Start(aNow, effects);
    this->ProcessPendingWork(aNow, effects);
    return effects;
  }

  Effects Handle(const Event& aEvent, Time aNow)
  {
    Effects effects;
    if (this->shutdown.RefusesNewRequests(aNow)) {
      this->entry.RefuseRootCalls();
    }
    std::visit([this, aNow, &effects](const auto& aMember) { this->On(aMember, aNow, effects); },
               aEvent);
    this->ProcessPendingWork(aNow, effects);
    return effects;
  }

  Time NextWake() const
  {
    return std::min({ this->control.NextWake(),
                      this->membership.NextWake(),
                      this->announcer.NextWake(),
                      this->rate.NextWake(),
                      this->claims.NextWake(),
                      this->controller.NextWake(),
                      this->targetLeaseEnd,
                      this->shutdown.NextWake() });
  }

private:
  void On(const CallArrived& aEvent, Time aNow, Effects& aEffects)
  {
    this->entry.Receive(aEvent, aNow, aEffects);
  }
  void On(const AttemptEnded& aEvent, Time aNow, Effects& aEffects)
  {
    this->entry.Receive(aEvent, aNow, aEffects);
  }
  void On(const CallAbandoned& aEvent, Time aNow, Effects& aEffects)
  {
    this->entry.Receive(aEvent, aNow, aEffects);
  }
  void On(const AttemptArrived& aEvent, Time aNow, Effects& aEffects)
  {
    if (this->shutdown.RefusesNewRequests(aNow)) {
      this->admitted.RefuseAttempt(aEvent, ResultCode::kNodeDraining, aEffects);
      return;
    }
    this->admitted.Receive(aEvent, aNow, aEffects);
  }
  void On(const TargetEnded& aEvent, Time aNow, Effects& aEffects)
  {
    this->admitted.Receive(aEvent, aNow, aEffects);
  }
  void On(const AttemptAbandoned& aEvent, Time aNow, Effects& aEffects)
  {
    this->admitted.Receive(aEvent, aNow, aEffects);
  }
  void On(const TargetAnnounced& aEvent, Time aNow, Effects& aEffects)
  {
    this->targetLeaseEnd = aNow + kTargetLease;
    this->SetTarget(aEvent, aNow, aEffects);
  }
  void On(const PeerReceived& aEvent, Time aNow, Effects& aEffects)
  {
    std::visit(
      [this, aNow, &aEffects](const auto& aMessage) { this->OnPeer(aMessage, aNow, aEffects); },
      aEvent.Message());
  }
  void On(const LogRead& aEvent, Time aNow, Effects& aEffects)
  {
    if (aEvent.Stream() == kControlStream) {
      this->control.Receive(aEvent, aNow, aEffects);
    } else {
      this->claims.Receive(aEvent);
    }
  }
  void On(const LogReadFailed& aEvent, Time aNow, Effects& aEffects)
  {
    if (aEvent.Stream() == kControlStream) {
      this->control.Receive(aEvent, aNow, aEffects);
    }
  }
  void On(const LogAppended& aEvent, Time aNow, Effects& aEffects)
  {
    this->control.Receive(aEvent, aNow, aEffects);
    this->claims.Receive(aEvent, aNow);
    this->announcer.Receive(aEvent, aNow);
  }
  void On(const StatusRequested& aEvent, Time aNow, Effects& aEffects)
  {
    aEffects.push_back(StatusReady({ .ticket = aEvent.Ticket(), .status = this->Status(aNow) }));
  }
  void On(const DrainRequested& /*aEvent*/, Time aNow, Effects& aEffects)
  {
    const Time refuseAt = aNow + this->options.settings.DrainDelayMs();
    const Time forcedExitAt = refuseAt + this->options.settings.DrainTimeoutMs();
    if (this->shutdown.Begin({ .refuseAt = refuseAt, .forcedExitAt = forcedExitAt }, aEffects)) {
      this->membership.Leave(aNow, aEffects);
      this->rate.Leave(aNow, aEffects);
    }
  }
  void On(const TimerFired& /*aEvent*/, Time /*aNow*/, Effects& /*aEffects*/) {}
  /// Ignores the events of MeshCore, which routes by host and path.
  template<typename Other>
  void On(const Other& /*aEvent*/, Time /*aNow*/, Effects& /*aEffects*/)
  {
  }

  void OnPeer(const Probe& aMessage, Time aNow, Effects& aEffects)
  {
    this->membership.Receive(aMessage, aNow, aEffects);
    this->control.NotePeerOffset(
      aMessage.Sender(), aMessage.ConfigOffset().value_or(0), aNow, aEffects);
  }
  void OnPeer(const ProbeAck& aMessage, Time aNow, Effects& aEffects)
  {
    this->membership.Receive(aMessage, aNow, aEffects);
    const std::map<std::string, Member>::const_iterator sender =
      this->membership.Members().find(aMessage.Subject());
    if (sender != this->membership.Members().end()) {
      this->control.NotePeerOffset(
        sender->second.Address(), aMessage.ConfigOffset().value_or(0), aNow, aEffects);
    }
  }
  void OnPeer(const ProbeRequest& aMessage, Time aNow, Effects& aEffects)
  {
    this->membership.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const MemberSync& aMessage, Time aNow, Effects& aEffects)
  {
    this->membership.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const StewardReport& aMessage, Time aNow, Effects& aEffects)
  {
    this->rate.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const StewardGrant& aMessage, Time aNow, Effects& aEffects)
  {
    this->rate.Receive(aMessage, aNow, aEffects);
  }
  template<typename Other>
  void OnPeer(const Other& /*aMessage*/, Time /*aNow*/, Effects& /*aEffects*/)
  {
  }
  void OnPeer(const ConfigWant& aMessage, Time aNow, Effects& aEffects)
  {
    this->control.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const ConfigRelay& aMessage, Time aNow, Effects& aEffects)
  {
    this->control.Receive(aMessage, aNow, aEffects);
  }

  void SetTarget(const TargetAnnounced& aTarget, Time aNow, Effects& aEffects)
  {
    const std::string serviceBefore = this->admitted.Target().GetService();
    const TargetState stateBefore = this->admitted.Target().State();
    this->admitted.SetTarget(aTarget, aNow, aEffects);
    if (serviceBefore != aTarget.GetService() || stateBefore != aTarget.State()) {
      this->membership.SetTarget(aTarget.GetService(), aTarget.State(), aNow, aEffects);
      this->ConfigureTarget();
    }
  }

  /// Runs after every event: passes changes on between the modules and runs all work that is due.
  void ProcessPendingWork(Time aNow, Effects& aEffects)
  {
    this->ExpireTargetLease(aNow, aEffects);
    this->control.Poll(aNow, aEffects);
    this->membership.Poll(aNow, aEffects);
    this->announcer.Poll(aNow, aEffects);
    this->ApplyAnnouncements(aNow, aEffects);
    this->ApplyConfiguration(aNow);
    this->ApplyMembership(aNow, aEffects);
    this->rate.Poll(aNow, aEffects);
    this->claims.Poll(aNow, aEffects);
    this->admitted.Poll(aNow, aEffects);
    this->entry.ResumeWaitingCalls(aNow, aEffects);
    this->AdvanceShutdown(aNow, aEffects);
    this->PublishPhase(aEffects);
    this->ForgetPeers(aEffects);
  }

  void ForgetPeers(const Effects& aEffects)
  {
    for (const Effect& effect : aEffects) {
      if (const ForgetPeer* forget = std::get_if<ForgetPeer>(&effect)) {
        this->picker.Forget(forget->Node());
      }
    }
  }

  void ExpireTargetLease(Time aNow, Effects& aEffects)
  {
    if (aNow < this->targetLeaseEnd) {
      return;
    }
    this->targetLeaseEnd = Time::max();
    TargetAnnounced::Fields fields = this->admitted.Target().ToFields();
    fields.state = TargetState::kNone;
    this->SetTarget(TargetAnnounced(std::move(fields)), aNow, aEffects);
  }

  void ApplyAnnouncements(Time aNow, Effects& aEffects)
  {
    this->membership.HandleAnnouncements(this->control.TakeAnnouncements(), aNow, aEffects);
  }

  void ApplyConfiguration(Time aNow)
  {
    this->membership.SetConfigOffset(this->control.State().Offset());
    if (this->control.State().Revision() == this->appliedRevision) {
      return;
    }
    const ControlState& state = this->control.State();
    this->appliedRevision = state.Revision();
    this->budget.SetRatio(state.GetPolicy().RetryRatio());
    this->claims.Configure(state.GetPolicy().ClaimShards(), state.GetPolicy().ClaimWindowMs());
    this->rate.Configure(state, aNow);
    this->ConfigureTarget();
  }

  void ConfigureTarget()
  {
    const ControlState& state = this->control.State();
    const Service* service = state.FindService(this->admitted.Target().GetService());
    if (service == nullptr) {
      return;
    }
    std::map<std::string, double> weights;
    for (const std::pair<const std::string, Organisation>& item : state.Organisations()) {
      weights.emplace(item.first, item.second.Weight());
    }
    this->controller.Configure(state.GetPolicy(), service->Slots(), weights);
  }

  void ApplyMembership(Time aNow, Effects& aEffects)
  {
    if (this->membership.ChangeCount() == this->appliedMemberChanges) {
      return;
    }
    this->appliedMemberChanges = this->membership.ChangeCount();
    this->rate.SetMembers(this->membership.Members(), aNow);
    this->control.SetDomainMembers(
      this->membership.ActiveMembers(this->options.settings.GetDomain()), aNow, aEffects);
    this->claims.SetFleetSize(this->membership.Members().size());
  }

  void AdvanceShutdown(Time aNow, Effects& aEffects)
  {
    const bool idle =
      this->entry.Count() == 0 && this->admitted.Count() == 0 && this->claims.Idle();
    if (!idle && this->shutdown.MustExit(aNow)) {
      this->entry.FinishAll(aNow, aEffects);
      this->admitted.FinishAll(aNow, aEffects);
    }
    this->shutdown.Advance(idle, aNow, aEffects);
  }

  void PublishPhase(Effects& aEffects)
  {
    const Phase phase = this->CurrentPhase();
    if (phase != this->reportedPhase) {
      this->reportedPhase = phase;
      aEffects.push_back(PhaseChanged({ .phase = phase }));
    }
  }

  Phase CurrentPhase() const
  {
    if (this->shutdown.Begun()) {
      return Phase::kDraining;
    }
    return this->control.State().Revision().empty() ? Phase::kBooting : Phase::kServing;
  }

  NodeStatus Status(Time aNow) const
  {
    const std::size_t running = this->entry.Count() + this->admitted.Count();
    return NodeStatus({ .node = this->options.self.Node(),
                        .domain = this->options.settings.GetDomain(),
                        .region = this->options.settings.Region(),
                        .phase = this->CurrentPhase(),
                        .revision = this->control.State().Revision(),
                        .configOffset = this->control.State().Offset(),
                        .logReachable = this->control.LogReachable(),
                        .newsAge = std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->control.NewsAge(aNow)),
                        .steward = this->rate.Steward(),
                        .elected = this->rate.Elected(),
                        .limit = this->controller.Status(),
                        .tokens = this->rate.Status(aNow),
                        .members = this->membership.List(),
                        .runningCalls = static_cast<std::uint32_t>(running) });
  }

  Options options;
  TicketSource tickets;
  ControlFollower control;
  Membership membership;
  Announcer announcer;
  RateLimiter rate;
  ClaimLedger claims;
  RetryBudget budget{ 0 };
  Picker picker;
  AdmissionController controller;
  AdmittedCalls admitted;
  EntryCalls entry;
  GracefulShutdown shutdown;
  Time targetLeaseEnd = Time::max();
  std::string appliedRevision;
  std::uint64_t appliedMemberChanges = 0;
  Phase reportedPhase = Phase::kBooting;
};

NodeCore::NodeCore(Options aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

NodeCore::~NodeCore() = default;

Effects
NodeCore::Start(Time aNow)
{
  return this->impl->Start(aNow);
}

Effects
NodeCore::Handle(const Event& aEvent, Time aNow)
{
  return this->impl->Handle(aEvent, aNow);
}

Time
NodeCore::NextWake() const
{
  return this->impl->NextWake();
}

} // namespace jackdawwind
