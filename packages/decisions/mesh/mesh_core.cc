#include "decisions/mesh/mesh_core.h"

#include <algorithm>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/graceful_shutdown.h"
#include "decisions/membership/membership.h"
#include "decisions/mesh/entry_requests.h"

namespace jackdawwind {

namespace {

/// Each module draws from a generator of its own.
enum class SeedOf : std::uint64_t
{
  kMembership = 1,
  kConfiguration,
  kPicker,
  kSplits,
  kEntry,
};

std::uint64_t
SeedFor(std::uint64_t aSeed, SeedOf aModule)
{
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15ULL;
  return aSeed ^ (kSpread * static_cast<std::uint64_t>(aModule));
}

/// A node that finds no other within this time serves what it can by itself.
constexpr Duration kLonelyStart = std::chrono::milliseconds(1500);

} // namespace

class MeshCore::Impl
{
public:
  explicit Impl(Options aOptions)
    : options(std::move(aOptions))
    , membership({ .self = Member({ .address = this->options.self,
                                    .incarnation = this->options.incarnation,
                                    .domain = this->options.domain,
                                    .region = this->options.region,
                                    .state = NodeState::kAlive }),
                   .seeds = {} },
                 SeedFor(this->options.seed, SeedOf::kMembership))
    , configuration(this->options.self, SeedFor(this->options.seed, SeedOf::kConfiguration))
    , quota(this->options.self)
    , budget({ .fleetRatio = this->options.repeatRatio, .fleetExtra = this->options.repeatExtra })
    , splits(SeedFor(this->options.seed, SeedOf::kSplits))
    , picker({ .node = this->options.self.Node(),
               .domain = this->options.domain,
               .region = this->options.region },
             SeedFor(this->options.seed, SeedOf::kPicker))
    , entry({ configuration, membership.Members(), quota, budget, splits, picker, target },
            { .node = this->options.self.Node(), .service = this->options.service },
            SeedFor(this->options.seed, SeedOf::kEntry))
  {
  }

  Effects Start(Time aNow)
  {
    Effects effects;
    this->startedAt = aNow;
    this->membership.Start(aNow, effects);
    this->Settle(aNow, effects);
    return effects;
  }

  Effects Handle(const Event& aEvent, Time aNow)
  {
    Effects effects;
    std::visit([this, aNow, &effects](const auto& aMember) { this->On(aMember, aNow, effects); },
               aEvent);
    this->Settle(aNow, effects);
    return effects;
  }

  Time NextWake() const
  {
    const Time ready = this->phase == Phase::kBooting && this->configuration.Table() != nullptr
                         ? this->startedAt + kLonelyStart
                         : Time::max();
    return std::min({ this->membership.NextWake(),
                      this->quota.NextWake(),
                      this->target.NextWake(),
                      this->shutdown.NextWake(),
                      ready });
  }

private:
  void On(const MeshRequestArrived& aEvent, Time aNow, Effects& aEffects)
  {
    this->entry.Receive(aEvent, aNow, aEffects);
  }
  void On(const HopArrived& aEvent, Time aNow, Effects& aEffects)
  {
    this->target.Offer({ .exchange = aEvent.Exchange(),
                         .requestId = aEvent.RequestId(),
                         .context = aEvent.Context(),
                         .deadline = aNow + aEvent.Context().Remaining() },
                       aNow,
                       aEffects);
  }
  void On(const SendEnded& aEvent, Time aNow, Effects& aEffects)
  {
    if (!this->target.Receive(aEvent, aNow, aEffects)) {
      this->entry.Receive(aEvent, aNow, aEffects);
    }
  }
  void On(const ExchangeAbandoned& aEvent, Time aNow, Effects& aEffects)
  {
    if (!this->entry.Abandon(aEvent.Exchange(), aNow, aEffects)) {
      this->target.Abandon(aEvent.Exchange(), aNow, aEffects);
    }
  }
  void On(const TargetHeartbeat& aEvent, Time aNow, Effects& aEffects)
  {
    const RouteTable* table = this->configuration.Table();
    if (table != nullptr && !table->HasService(aEvent.GetService())) {
      AddLogLine(aEffects,
                 LogEvent::kBeatRejected,
                 "instance=" + aEvent.Instance() + " service=" + aEvent.GetService() +
                   " reason=unknown_service");
      return;
    }
    if (this->target.Receive(aEvent, aNow, aEffects)) {
      this->ShowTarget(aNow, aEffects);
    }
  }
  void On(const TargetDeregistered& aEvent, Time aNow, Effects& aEffects)
  {
    if (this->target.Receive(aEvent, aNow, aEffects)) {
      this->ShowTarget(aNow, aEffects);
    }
  }
  void On(const ConfigurationRead& aEvent, Time aNow, Effects& aEffects)
  {
    this->Adopt(aEvent.Configuration(), LogEvent::kConfigAccepted, "store", aNow, aEffects);
  }
  void On(const PeersRead& aEvent, Time aNow, Effects& aEffects)
  {
    std::set<std::string> registered{ this->options.self.Node() };
    for (const NodeAnnounced& peer : aEvent.Peers()) {
      registered.insert(peer.Address().Node());
      this->membership.Learn(peer, aNow, aEffects);
    }
    this->quota.SetRegistered(std::move(registered));
    this->quota.SetMembers(this->membership.Members(), aNow);
  }
  void On(const PeerReceived& aEvent, Time aNow, Effects& aEffects)
  {
    std::visit(
      [this, aNow, &aEffects](const auto& aMessage) { this->OnPeer(aMessage, aNow, aEffects); },
      aEvent.Message());
  }
  void On(const StatusRequested& aEvent, Time /*aNow*/, Effects& aEffects)
  {
    aEffects.push_back(StatusReady({ .ticket = aEvent.Ticket(), .status = this->Status() }));
  }
  void On(const DrainRequested& /*aEvent*/, Time aNow, Effects& aEffects)
  {
    if (this->shutdown.Begin({ .refuseAt = aNow + this->options.drainDelay,
                               .giveUpAt = aNow + this->options.drainTimeout },
                             aEffects)) {
      this->membership.Leave(aNow, aEffects);
    }
  }
  /// TimerFired, and events of the core that routes by service.
  template<typename Other>
  void On(const Other& /*aEvent*/, Time /*aNow*/, Effects& /*aEffects*/)
  {
  }

  void OnPeer(const Probe& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NoteHeard(aNow);
    this->membership.Receive(aMessage, aNow, aEffects);
    this->configuration.NoteVersion(aMessage.Sender(), aMessage.ConfigOffset(), aNow, aEffects);
  }
  void OnPeer(const ProbeAck& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NoteHeard(aNow);
    this->membership.Receive(aMessage, aNow, aEffects);
    const std::map<std::string, Member>::const_iterator sender =
      this->membership.Members().find(aMessage.Subject());
    if (sender != this->membership.Members().end()) {
      this->configuration.NoteVersion(
        sender->second.Address(), aMessage.ConfigOffset(), aNow, aEffects);
    }
  }
  void OnPeer(const ProbeRequest& aMessage, Time aNow, Effects& aEffects)
  {
    this->membership.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const MemberSync& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NoteHeard(aNow);
    this->membership.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const MeshConfigOffer& aMessage, Time aNow, Effects& aEffects)
  {
    this->configuration.NoteVersion(aMessage.Sender(), aMessage.Version(), aNow, aEffects);
  }
  void OnPeer(const MeshConfigWant& aMessage, Time /*aNow*/, Effects& aEffects)
  {
    this->configuration.Receive(aMessage, aEffects);
  }
  void OnPeer(const MeshConfigRelay& aMessage, Time aNow, Effects& aEffects)
  {
    this->Adopt(
      aMessage.Configuration(), LogEvent::kConfigRelayed, aMessage.Sender(), aNow, aEffects);
  }
  void OnPeer(const QuotaDraw& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NoteHeard(aNow);
    this->quota.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const QuotaGrant& aMessage, Time aNow, Effects& /*aEffects*/)
  {
    this->quota.NoteHeard(aNow);
    this->quota.Receive(aMessage, aNow);
  }
  /// Messages of the core that routes by service.
  template<typename Other>
  void OnPeer(const Other& /*aMessage*/, Time /*aNow*/, Effects& /*aEffects*/)
  {
  }

  void Adopt(const MeshConfiguration& aConfiguration,
             LogEvent aEvent,
             const std::string& aSource,
             Time aNow,
             Effects& aEffects)
  {
    const std::uint64_t before = this->configuration.Version();
    if (!this->configuration.Adopt(aConfiguration, this->membership.Members(), aEffects)) {
      return;
    }
    AddLogLine(aEffects,
               aEvent,
               "version=" + std::to_string(aConfiguration.Version()) +
                 " before=" + std::to_string(before) + " source=" + aSource);
    this->quota.Configure(*this->configuration.Table(), aNow);
    this->quota.SetMembers(this->membership.Members(), aNow);
    this->membership.SetConfigOffset(this->configuration.Version());
  }

  void ShowTarget(Time aNow, Effects& aEffects)
  {
    const TargetRegistration& registration = this->target.Registration();
    this->membership.SetTarget(registration.Service(), registration.State(), aNow, aEffects);
  }

  /// Carries changes from module to module after every event, and does what has become due.
  void Settle(Time aNow, Effects& aEffects)
  {
    this->membership.Poll(aNow, aEffects);
    this->TakeOverMembers(aNow);
    if (this->target.Poll(aNow, aEffects)) {
      this->ShowTarget(aNow, aEffects);
    }
    this->quota.Poll(aNow, aEffects);
    this->entry.Continue(aNow, aEffects);
    for (const std::string& node : this->entry.TakeSilentNodes()) {
      this->membership.Doubt(node, aNow);
    }
    for (const std::string& node : this->quota.TakeSilentKeepers()) {
      this->membership.Doubt(node, aNow);
    }
    this->AdvanceShutdown(aNow, aEffects);
    this->ShowPhase(aNow, aEffects);
    for (const Effect& effect : aEffects) {
      if (const ForgetPeer* forget = std::get_if<ForgetPeer>(&effect)) {
        this->picker.Forget(forget->Node());
      }
    }
  }

  void TakeOverMembers(Time aNow)
  {
    if (this->membership.Changes() == this->seenChanges) {
      return;
    }
    this->seenChanges = this->membership.Changes();
    this->quota.SetMembers(this->membership.Members(), aNow);
    this->budget.SetNodes(this->membership.Members().size());
  }

  void AdvanceShutdown(Time aNow, Effects& aEffects)
  {
    const bool idle = this->entry.Count() == 0 && this->target.Count() == 0;
    this->shutdown.Advance(idle, aNow, aEffects);
    if (this->shutdown.Refuses()) {
      this->entry.RefuseNew();
    }
  }

  void ShowPhase(Time aNow, Effects& aEffects)
  {
    const Phase current = this->CurrentPhase(aNow);
    if (current != this->phase) {
      this->phase = current;
      aEffects.push_back(PhaseChanged({ .phase = current }));
    }
  }

  Phase CurrentPhase(Time aNow) const
  {
    if (this->shutdown.Begun()) {
      return Phase::kDraining;
    }
    const bool company =
      this->membership.Members().size() > 1 || aNow >= this->startedAt + kLonelyStart;
    const bool ready = this->configuration.Table() != nullptr && company;
    return ready || this->phase == Phase::kServing ? Phase::kServing : Phase::kBooting;
  }

  NodeStatus Status() const
  {
    const TargetGate& gate = this->target.Gate();
    return NodeStatus(
      { .node = this->options.self.Node(),
        .domain = this->options.domain,
        .region = this->options.region,
        .phase = this->phase,
        .revision = std::to_string(this->configuration.Version()),
        .configOffset = this->configuration.Version(),
        .limit = LimitStatus({ .running = static_cast<std::uint32_t>(gate.Running()),
                               .queued = static_cast<std::uint32_t>(gate.WaitingCount()),
                               .level = gate.LoadPerMille() }),
        .members = this->membership.List(),
        .runningCalls = static_cast<std::uint32_t>(this->entry.Count() + this->target.Count()) });
  }

  Options options;
  Membership membership;
  ConfigurationSpread configuration;
  QuotaPool quota;
  RepeatBudget budget;
  SplitChooser splits;
  NodePicker picker;
  TargetSide target;
  EntryRequests entry;
  GracefulShutdown shutdown;
  Phase phase = Phase::kBooting;
  Time startedAt{};
  std::uint64_t seenChanges = 0;
};

MeshCore::MeshCore(Options aOptions)
  : impl(std::make_unique<Impl>(std::move(aOptions)))
{
}

MeshCore::~MeshCore() = default;

Effects
MeshCore::Start(Time aNow)
{
  return this->impl->Start(aNow);
}

Effects
MeshCore::Handle(const Event& aEvent, Time aNow)
{
  return this->impl->Handle(aEvent, aNow);
}

Time
MeshCore::NextWake() const
{
  return this->impl->NextWake();
}

} // namespace jackdawwind
