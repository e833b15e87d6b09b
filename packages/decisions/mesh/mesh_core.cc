#include "decisions/mesh/mesh_core.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/graceful_shutdown.h"
#include "decisions/membership/membership.h"
#include "decisions/mesh/departed_targets.h"
#include "decisions/mesh/departure_log.h"
#include "decisions/mesh/entry_requests.h"
#include "decisions/mesh/evacuation.h"
#include "decisions/mesh/residency.h"
#include "decisions/mesh/store_era.h"
#include "decisions/mesh/store_readers.h"
#include "values/text.h"

namespace jackdawwind {

namespace {

/// Random streams, one for each module that needs random numbers.
enum class RandomStream : std::uint64_t
{
  kMembership = 1,
  kConfiguration,
  kPicker,
  kSplits,
  kEntry,
};

std::uint64_t
DeriveSeed(std::uint64_t aSeed, RandomStream aStream)
{
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL; // 2^64 / golden ratio
  return aSeed ^ (kGoldenRatio * static_cast<std::uint64_t>(aStream));
}

/// Time for the discovery of peers after the start; a node that finds none by then serves alone.
constexpr Duration kDiscoveryTimeout = std::chrono::milliseconds(1500);
/// Time between two HopDeadlines messages to a node. They are small and only sent during a
/// shutdown.
constexpr Duration kHopDeadlinesInterval = std::chrono::milliseconds(300);

/// Interval of log lines about a configuration that has not come yet.
constexpr Duration kAwaitedLogInterval = std::chrono::seconds(60);

/// Heartbeats kept until the recorded departures are read; a target sends one in a second or two.
constexpr std::size_t kMaxEarlyReports = 16;

/// Zero if no route has an objective.
Duration
ShortestObjective(const MeshConfiguration& aConfiguration)
{
  Duration shortest{};
  for (const MeshRoute& route : aConfiguration.Routes()) {
    const bool known = route.Objective() > Duration::zero();
    if (known && (shortest == Duration::zero() || route.Objective() < shortest)) {
      shortest = route.Objective();
    }
  }
  return shortest;
}

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
                 DeriveSeed(this->options.seed, RandomStream::kMembership))
    , configuration(this->options.self,
                    DeriveSeed(this->options.seed, RandomStream::kConfiguration))
    , storeReaders(this->options.self.Node())
    , quota(this->options.self)
    , budget({ .fleetRatio = this->options.repeatRatio, .fleetExtra = this->options.repeatExtra })
    , splits(DeriveSeed(this->options.seed, RandomStream::kSplits))
    , picker({ .node = this->options.self.Node(),
               .domain = this->options.domain,
               .region = this->options.region,
               .policy = this->options.policy },
             DeriveSeed(this->options.seed, RandomStream::kPicker))
    , entry({ configuration, quota, budget, splits, picker, target },
            { .node = this->options.self.Node(), .service = this->options.service },
            DeriveSeed(this->options.seed, RandomStream::kEntry))
  {
  }

  Effects Start(Time aNow)
  {
    Effects effects;
    this->startedAt = aNow;
    this->nextAwaitedLog = aNow + kDiscoveryTimeout;
    this->departures.Start(aNow);
    this->membership.Start(aNow, effects);
    this->ProcessPendingWork(aNow, effects);
    return effects;
  }

  Effects Handle(const Event& aEvent, Time aNow)
  {
    Effects effects;
    if (this->shutdown.RefusesNewRequests(aNow)) {
      this->entry.RefuseNew();
    }
    std::visit([this, aNow, &effects](const auto& aMember) { this->On(aMember, aNow, effects); },
               aEvent);
    this->ProcessPendingWork(aNow, effects);
    return effects;
  }

  Time NextWake() const
  {
    const bool configured = this->configuration.Table() != nullptr;
    const Time servingAt = this->phase == Phase::kBooting && configured
                             ? this->startedAt + kDiscoveryTimeout
                             : Time::max();
    return std::min({ this->membership.NextWake(),
                      this->quota.NextWake(),
                      this->target.NextWake(),
                      this->shutdown.NextWake(),
                      this->departures.NextWake(),
                      this->storeReaders.NextWake(),
                      this->picker.NextWake(),
                      this->nextHopDeadlines,
                      configured ? servingAt : this->nextAwaitedLog });
  }

  Distance DistanceTo(const std::string& aNode) const
  {
    const std::map<std::string, Member>::const_iterator found =
      this->membership.Members().find(aNode);
    if (found == this->membership.Members().end()) {
      return Distance::kUnknown;
    }
    if (found->second.GetDomain() == this->options.domain) {
      return Distance::kOwnDomain;
    }
    return found->second.Region() == this->options.region ? Distance::kOwnRegion
                                                          : Distance::kOtherRegion;
  }

private:
  void On(const MeshRequestArrived& aEvent, Time aNow, Effects& aEffects)
  {
    this->entry.Receive(aEvent, aNow, aEffects);
  }
  void On(const HopArrived& aEvent, Time aNow, Effects& aEffects)
  {
    const LocalTarget::Request request{ .exchange = aEvent.Exchange(),
                                        .requestId = aEvent.RequestId(),
                                        .context = aEvent.Context(),
                                        .deadline = aNow + aEvent.Context().Remaining() };
    if (this->shutdown.RefusesNewRequests(aNow)) {
      this->target.Refuse(request, ResultCode::kNodeDraining, aEffects);
    } else if (!Residency(aEvent.Context().AllowedRegions()).Allows(this->options.region)) {
      this->target.Refuse(request, ResultCode::kNoAllowedRegion, aEffects);
    } else {
      this->target.Offer(request, aNow, aEffects);
    }
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
    const bool leaves = aEvent.State() == TargetState::kDraining;
    // A departure is used for any service: it is acknowledged, and a later version may list the
    // service again.
    if (!leaves && table != nullptr && !table->HasService(aEvent.GetService())) {
      AddLogLine(aEffects,
                 LogEvent::kBeatRejected,
                 "instance=" + aEvent.Instance() + " service=" + aEvent.GetService() +
                   " reason=unknown_service");
      return;
    }
    if (!leaves && !this->departures.MayUseReports(aNow)) {
      this->Defer(aEvent, aEffects);
      return;
    }
    if (this->target.Receive(aEvent, aNow, aEffects)) {
      this->PublishTarget(aNow, aEffects);
    }
    if (leaves) {
      this->ReportDeparture(
        aEvent.Instance(), aEvent.StartedAtMs().value_or(0), aEvent.Report(), aNow, aEffects);
    }
  }
  void On(const TargetDeregistered& aEvent, Time aNow, Effects& aEffects)
  {
    const std::optional<TargetHeartbeat>& current = this->target.Registration().Current();
    const bool known = current && current->Instance() == aEvent.Instance();
    const std::uint64_t lastStart =
      known ? current->StartedAtMs().value_or(0) : aEvent.ReceivedAtMs();
    if (this->target.Receive(aEvent, aNow, aEffects)) {
      this->PublishTarget(aNow, aEffects);
    }
    this->ReportDeparture(
      aEvent.Instance(), aEvent.StartedAtMs().value_or(lastStart), aEvent.Report(), aNow, aEffects);
  }
  void On(const DeparturesRead& aEvent, Time aNow, Effects& aEffects)
  {
    for (const TargetDeparted& departure : aEvent.Departures()) {
      this->ApplyDeparture(departure, aNow, aEffects);
    }
    this->departures.SetRead();
    std::vector<TargetHeartbeat> early;
    early.swap(this->earlyReports);
    for (const TargetHeartbeat& report : early) {
      this->On(report, aNow, aEffects);
    }
  }
  void On(const DepartureRecorded& aEvent, Time /*aNow*/, Effects& aEffects)
  {
    this->departures.Receive(aEvent, aEffects);
  }
  void On(const ConfigurationRead& aEvent, Time aNow, Effects& aEffects)
  {
    this->Adopt(aEvent.Configuration(), LogEvent::kConfigAccepted, "store", aNow, aEffects);
  }
  void On(const EvacuationsRead& aEvent, Time /*aNow*/, Effects& aEffects)
  {
    if (this->evacuation.Receive(aEvent)) {
      this->ApplyEvacuations("store", aEffects);
    }
  }
  void On(const PeersRead& aEvent, Time aNow, Effects& aEffects)
  {
    std::set<std::string> registered{ this->options.self.Node() };
    for (const NodeAnnounced& peer : aEvent.Peers()) {
      registered.insert(peer.Address().Node());
    }
    this->membership.HandleAnnouncements(aEvent.Peers(), aNow, aEffects);
    this->quota.SetRegistered(std::move(registered));
    this->quota.SetMembers(this->membership.Members(), aNow);
    this->budget.SetNodeCount(this->quota.ExpectedNodes());
  }
  void On(const StoreReached& /*aEvent*/, Time /*aNow*/, Effects& aEffects)
  {
    this->AnnounceContact(aEffects);
  }
  /// Passes the era on. Nothing else follows from it here: the version in force, departures and
  /// quotas don't go back with the store, and StoreClient writes this node's records again.
  void On(const StoreEraChanged& aEvent, Time /*aNow*/, Effects& aEffects)
  {
    const std::optional<std::uint64_t> before = this->storeEra.Known();
    if (!this->storeEra.NoteStore(aEvent.Era())) {
      return;
    }
    this->membership.SetStoreEra(aEvent.Era());
    this->AnnounceContact(aEffects);
    aEffects.push_back(
      MetricUpdated({ .metric = Metric::kStoreEra, .value = static_cast<double>(aEvent.Era()) }));
    AddLogLine(aEffects,
               LogEvent::kStoreEraStarted,
               "era=" + std::to_string(aEvent.Era()) + " before=" + text::NumberOrNone(before) +
                 " version=" + text::NumberOrNone(this->configuration.Version()));
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
                               .forcedExitAt = aNow + this->options.drainTimeout },
                             aEffects)) {
      this->membership.Leave(aNow, aEffects);
      this->entry.LimitDeadlines(this->shutdown.FinishBy());
      this->target.LimitDeadlines(this->shutdown.FinishBy());
      this->nextHopDeadlines = aNow;
    }
  }
  /// TimerFired, whose work ProcessPendingWork does, and events that only NodeCore handles.
  template<typename Other>
  void On(const Other& /*aEvent*/, Time /*aNow*/, Effects& /*aEffects*/)
  {
  }

  void OnPeer(const Probe& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NotePeerMessage(aNow);
    this->membership.Receive(aMessage, aNow, aEffects);
    this->configuration.NoteVersion(aMessage.Sender(), aMessage.ConfigOffset(), aNow, aEffects);
    this->CompareEvacuations(aMessage.Sender(), aMessage.EvacuationHash(), aEffects);
    this->NoteReportedEra(aMessage.StoreEra(), aMessage.Sender().Node(), aNow, aEffects);
  }
  void OnPeer(const ProbeAck& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NotePeerMessage(aNow);
    this->membership.Receive(aMessage, aNow, aEffects);
    const std::map<std::string, Member>::const_iterator sender =
      this->membership.Members().find(aMessage.Subject());
    if (sender != this->membership.Members().end()) {
      this->configuration.NoteVersion(
        sender->second.Address(), aMessage.ConfigOffset(), aNow, aEffects);
      this->CompareEvacuations(sender->second.Address(), aMessage.EvacuationHash(), aEffects);
    }
    this->NoteReportedEra(aMessage.StoreEra(), aMessage.Subject(), aNow, aEffects);
  }
  void OnPeer(const ProbeRequest& aMessage, Time aNow, Effects& aEffects)
  {
    this->membership.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const MemberSync& aMessage, Time aNow, Effects& aEffects)
  {
    this->quota.NotePeerMessage(aNow);
    this->membership.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const MeshConfigOffer& aMessage, Time aNow, Effects& aEffects)
  {
    this->configuration.NoteVersion(aMessage.Sender(), aMessage.Version(), aNow, aEffects);
  }
  void OnPeer(const StoreContact& aMessage, Time aNow, Effects& aEffects)
  {
    this->storeReaders.Receive(aMessage, aNow);
    this->configuration.NoteVersion(aMessage.Sender(), aMessage.Version(), aNow, aEffects);
    this->CompareEvacuations(aMessage.Sender(), aMessage.EvacuationHash(), aEffects);
    this->NoteReportedEra(aMessage.StoreEra(), aMessage.Sender().Node(), aNow, aEffects);
  }
  void OnPeer(const EvacuationOrders& aMessage, Time /*aNow*/, Effects& aEffects)
  {
    if (this->evacuation.Adopt(aMessage.Orders())) {
      this->ApplyEvacuations(aMessage.Sender().Node(), aEffects);
    }
    if (aMessage.Reply() && aMessage.Orders() != this->evacuation.Orders()) {
      this->SendEvacuations(aMessage.Sender(), false, aEffects);
    }
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
    this->quota.NotePeerMessage(aNow);
    this->quota.Receive(aMessage, aNow, aEffects);
  }
  void OnPeer(const QuotaGrant& aMessage, Time aNow, Effects& /*aEffects*/)
  {
    this->quota.NotePeerMessage(aNow);
    this->quota.Receive(aMessage, aNow);
  }
  void OnPeer(const HopDeadlines& aMessage, Time aNow, Effects& /*aEffects*/)
  {
    this->target.Receive(aMessage, aNow);
  }
  void OnPeer(const TargetDeparted& aMessage, Time aNow, Effects& aEffects)
  {
    if (aMessage.Node() != this->options.self.Node()) {
      this->departed.Receive(aMessage, aNow);
      return;
    }
    this->ApplyDeparture(aMessage, aNow, aEffects);
  }
  /// Messages that only NodeCore handles.
  template<typename Other>
  void OnPeer(const Other& /*aMessage*/, Time /*aNow*/, Effects& /*aEffects*/)
  {
  }

  /// Keeps a heartbeat until the recorded departures are read.
  void Defer(const TargetHeartbeat& aEvent, Effects& aEffects)
  {
    const std::string report =
      "instance=" + aEvent.Instance() + " sequence=" + std::to_string(aEvent.Sequence());
    if (this->earlyReports.size() >= kMaxEarlyReports) {
      AddLogLine(aEffects, LogEvent::kBeatRejected, report + " reason=too_many_deferred");
      return;
    }
    if (this->earlyReports.empty()) {
      AddLogLine(aEffects, LogEvent::kBeatDeferred, report + " reason=departures_not_read");
    }
    this->earlyReports.push_back(aEvent);
  }

  void Adopt(const MeshConfiguration& aConfiguration,
             LogEvent aEvent,
             const std::string& aSource,
             Time aNow,
             Effects& aEffects)
  {
    const std::optional<std::uint64_t> before = this->configuration.Version();
    using Adoption = ConfigurationGossip::Adoption;
    const Adoption adoption =
      this->configuration.Adopt(aConfiguration, this->membership.Members(), aEffects);
    if (adoption == Adoption::kUnchanged) {
      return;
    }
    const std::string version = "version=" + std::to_string(aConfiguration.Version());
    if (adoption != Adoption::kAdopted) {
      AddLogLine(aEffects,
                 LogEvent::kConfigIgnored,
                 version + " in_force=" + text::NumberOrNone(before) + " source=" + aSource +
                   " reason=" + (adoption == Adoption::kOlder ? "older" : "other_content"));
      return;
    }
    AddLogLine(
      aEffects, aEvent, version + " before=" + text::NumberOrNone(before) + " source=" + aSource);
    this->target.Configure(aConfiguration, aNow);
    this->quota.Configure(*this->configuration.Table(), aNow);
    this->quota.SetMembers(this->membership.Members(), aNow);
    this->membership.SetConfigOffset(aConfiguration.Version());
    this->picker.SetShortestObjective(ShortestObjective(aConfiguration));
  }

  void SendEvacuations(const PeerAddress& aTo, bool aReply, Effects& aEffects) const
  {
    aEffects.push_back(SendPeer({ .to = aTo,
                                  .message = EvacuationOrders({ .sender = this->options.self,
                                                                .orders = this->evacuation.Orders(),
                                                                .reply = aReply }) }));
  }

  /// Exchanges evacuation orders with a peer that has others.
  void CompareEvacuations(const PeerAddress& aPeer, std::uint64_t aHash, Effects& aEffects) const
  {
    if (aHash != this->evacuation.Hash()) {
      this->SendEvacuations(aPeer, true, aEffects);
    }
  }

  /// Puts changed evacuation orders into force and passes them on.
  void ApplyEvacuations(const std::string& aSource, Effects& aEffects)
  {
    this->membership.SetEvacuationHash(this->evacuation.Hash());
    for (const PeerAddress& peer : this->configuration.ChoosePeers(this->membership.Members())) {
      this->SendEvacuations(peer, false, aEffects);
    }
    const std::set<std::string>& domains = this->evacuation.Domains();
    if (domains == this->evacuatedDomains) {
      return;
    }
    for (const EvacuationOrder& order : this->evacuation.Orders()) {
      if (order.Active() != this->evacuatedDomains.contains(order.GetDomain())) {
        AddLogLine(aEffects,
                   order.Active() ? LogEvent::kDomainEvacuated : LogEvent::kEvacuationWithdrawn,
                   "domain=" + order.GetDomain() + " offset=" + std::to_string(order.Offset()) +
                     " source=" + aSource);
      }
    }
    this->evacuatedDomains = domains;
    this->picker.SetEvacuated(domains);
    this->target.SetEvacuated(domains.contains(this->options.domain), aEffects);
    aEffects.push_back(MetricUpdated(
      { .metric = Metric::kEvacuatedDomains, .value = static_cast<double>(domains.size()) }));
  }

  /// Tells the own domain that this node follows the store and has reached it, if it follows.
  void AnnounceContact(Effects& aEffects) const
  {
    const StoreContact contact({ .sender = this->options.self,
                                 .version = this->configuration.Version(),
                                 .evacuationHash = this->evacuation.Hash(),
                                 .storeEra = this->storeEra.Known() });
    for (SendPeer& message : this->storeReaders.Announce(contact)) {
      aEffects.push_back(std::move(message));
    }
  }

  /// Asks the store about an era that a peer reports, if it is higher than the known one.
  void NoteReportedEra(std::optional<std::uint64_t> aEra,
                       const std::string& aPeer,
                       Time aNow,
                       Effects& aEffects)
  {
    const StoreEra::Report report = this->storeEra.NotePeer(aEra, aNow);
    if (report == StoreEra::Report::kKnown) {
      return;
    }
    const bool ask = report == StoreEra::Report::kAsk;
    if (ask) {
      aEffects.push_back(FollowStore({ .following = this->following, .era = aEra }));
    }
    AddLogLine(aEffects,
               ask ? LogEvent::kStoreEraReported : LogEvent::kStoreEraIgnored,
               "peer=" + aPeer + " era=" + text::NumberOrNone(aEra) +
                 " known=" + text::NumberOrNone(this->storeEra.Known()));
  }

  /// Publishes the local target's service and state through the membership.
  void PublishTarget(Time aNow, Effects& aEffects)
  {
    const TargetRegistration& registration = this->target.Registration();
    this->membership.SetTarget(registration.Service(), registration.State(), aNow, aEffects);
  }

  /// Applies a departure that an earlier process of this node has acknowledged.
  void ApplyDeparture(const TargetDeparted& aDeparture, Time aNow, Effects& aEffects)
  {
    const TargetDeregistered gone({ .instance = aDeparture.Instance(),
                                    .startedAtMs = aDeparture.StartedByMs(),
                                    .receivedAtMs = aDeparture.StartedByMs() });
    if (this->target.Receive(gone, aNow, aEffects)) {
      this->PublishTarget(aNow, aEffects);
    }
  }

  /// Records that the local target leaves, which the acknowledgement of the report waits for, and
  /// tells the holders, for the case that the next process of this node can't read the store.
  void ReportDeparture(const std::string& aInstance,
                       std::uint64_t aStartedByMs,
                       std::uint64_t aReport,
                       Time aNow,
                       Effects& aEffects)
  {
    const std::string& self = this->options.self.Node();
    const TargetDeparted departure({ .node = self,
                                     .incarnation = this->options.incarnation,
                                     .instance = aInstance,
                                     .startedByMs = aStartedByMs });
    if (!this->departures.Receive(departure, aReport, aNow, aEffects)) {
      return;
    }
    for (const PeerAddress& holder : DepartureHolders(self, this->membership.Members())) {
      aEffects.push_back(SendPeer({ .to = holder, .message = departure }));
    }
  }

  /// Runs after every event: propagates changes between the modules and does the work that is due.
  void ProcessPendingWork(Time aNow, Effects& aEffects)
  {
    this->membership.Poll(aNow, aEffects);
    this->ApplyMembership(aNow, aEffects);
    if (this->target.Poll(aNow, aEffects)) {
      this->PublishTarget(aNow, aEffects);
    }
    this->departures.Poll(aNow, aEffects);
    this->quota.Poll(aNow, aEffects);
    this->entry.Continue(aNow, aEffects);
    this->picker.Poll(aNow, aEffects);
    for (const std::string& node : this->entry.TakeUnresponsiveNodes()) {
      this->membership.ReportUnresponsive(node, aNow);
    }
    for (const std::string& node : this->quota.TakeUnresponsiveOwners()) {
      this->membership.ReportUnresponsive(node, aNow);
    }
    this->LogAwaitedConfiguration(aNow, aEffects);
    this->UpdateStoreReader(aNow, aEffects);
    this->SendHopDeadlines(aNow, aEffects);
    this->AdvanceShutdown(aNow, aEffects);
    this->PublishPhase(aNow, aEffects);
    for (const Effect& effect : aEffects) {
      if (const ForgetPeer* forget = std::get_if<ForgetPeer>(&effect)) {
        this->picker.Forget(forget->Node());
      }
    }
  }

  void ApplyMembership(Time aNow, Effects& aEffects)
  {
    if (this->membership.ChangeCount() == this->appliedChanges) {
      return;
    }
    this->appliedChanges = this->membership.ChangeCount();
    this->picker.SetMembers(this->membership.Members());
    this->storeReaders.SetMembers(this->membership.Members());
    this->quota.SetMembers(this->membership.Members(), aNow);
    this->budget.SetNodeCount(this->quota.ExpectedNodes());
    for (const SendPeer& message : this->departed.TakeDue(this->membership.Members(), aNow)) {
      aEffects.push_back(message);
    }
  }

  /// Says what a node without a configuration is waiting for.
  void LogAwaitedConfiguration(Time aNow, Effects& aEffects)
  {
    if (this->configuration.Table() != nullptr || aNow < this->nextAwaitedLog) {
      return;
    }
    this->nextAwaitedLog = aNow + kAwaitedLogInterval;
    const Duration waited = aNow - this->startedAt;
    AddLogLine(aEffects,
               LogEvent::kConfigAwaited,
               "waited_us=" + std::to_string(waited.count()) +
                 " peers=" + std::to_string(this->membership.Members().size() - 1) +
                 " requested=" + text::NumberOrNone(this->configuration.RequestedVersion()) +
                 " store=" + std::string(ToText(this->following)));
  }

  /// Follows the store while this node reads it for its domain, has no configuration, or misses one
  /// that its peers have.
  void UpdateStoreReader(Time aNow, Effects& aEffects)
  {
    const StoreFollowing forDomain = this->storeReaders.Update(aNow);
    const bool forItself = this->configuration.Table() == nullptr ||
                           this->configuration.IsBehind(aNow) || this->quota.IsIsolated(aNow);
    const StoreFollowing wanted = forItself ? StoreFollowing::kVerifying : forDomain;
    if (wanted == this->following) {
      return;
    }
    const bool active = wanted != StoreFollowing::kNone;
    this->following = wanted;
    aEffects.push_back(FollowStore({ .following = wanted }));
    aEffects.push_back(
      MetricUpdated({ .metric = Metric::kStoreReader, .value = active ? 1.0 : 0.0 }));
    AddLogLine(aEffects,
               active ? LogEvent::kStoreReaderStarted : LogEvent::kStoreReaderStopped,
               "mode=" + std::string(ToText(wanted)) +
                 " rank=" + std::to_string(this->storeReaders.Rank()) +
                 " for_domain=" + (forDomain == StoreFollowing::kNone ? "no" : "yes") +
                 " version=" + text::NumberOrNone(this->configuration.Version()));
  }

  /// Tells other nodes the deadlines that a shutdown has moved, again and again since the messages
  /// may be lost: a request that waits beyond the exit of its entry node must be answered before.
  void SendHopDeadlines(Time aNow, Effects& aEffects)
  {
    if (aNow < this->nextHopDeadlines) {
      return;
    }
    for (const auto& [node, requests] : this->entry.HopsWithLaterDeadline()) {
      const std::map<std::string, Member>::const_iterator member =
        this->membership.Members().find(node);
      if (member != this->membership.Members().end()) {
        aEffects.push_back(
          SendPeer({ .to = member->second.Address(),
                     .message = HopDeadlines({ .sender = this->options.self.Node(),
                                               .requests = requests,
                                               .remaining = this->shutdown.FinishBy() - aNow }) }));
      }
    }
    this->nextHopDeadlines = aNow + kHopDeadlinesInterval;
  }

  void AdvanceShutdown(Time aNow, Effects& aEffects)
  {
    const bool idle = this->entry.Count() == 0 && this->target.Count() == 0;
    if (!idle && this->shutdown.MustExit(aNow)) {
      this->entry.FinishAll(aNow, aEffects);
      this->target.FinishAll(aEffects);
    }
    this->shutdown.Advance(idle, aNow, aEffects);
  }

  void PublishPhase(Time aNow, Effects& aEffects)
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
    const bool discoveryDone =
      this->membership.Members().size() > 1 || aNow >= this->startedAt + kDiscoveryTimeout;
    const bool ready = this->configuration.Table() != nullptr && discoveryDone;
    return ready || this->phase == Phase::kServing ? Phase::kServing : Phase::kBooting;
  }

  NodeStatus Status() const
  {
    const TargetScheduler& scheduler = this->target.Scheduler();
    const std::optional<std::uint64_t> version = this->configuration.Version();
    return NodeStatus(
      { .node = this->options.self.Node(),
        .domain = this->options.domain,
        .region = this->options.region,
        .phase = this->phase,
        .revision = version ? std::to_string(*version) : std::string(),
        .configOffset = version.value_or(0),
        .limit = LimitStatus({ .running = static_cast<std::uint32_t>(scheduler.Running()),
                               .queued = static_cast<std::uint32_t>(scheduler.WaitingCount()),
                               .level = scheduler.LoadPerMille() }),
        .members = this->membership.List(),
        .runningCalls = static_cast<std::uint32_t>(this->entry.Count() + this->target.Count()) });
  }

  Options options;
  Membership membership;
  ConfigurationGossip configuration;
  StoreReaders storeReaders;
  StoreEra storeEra;
  QuotaPool quota;
  RepeatBudget budget;
  SplitChooser splits;
  NodePicker picker;
  LocalTarget target;
  DepartedTargets departed;
  DepartureLog departures;
  /// Heartbeats that wait for DeparturesRead.
  std::vector<TargetHeartbeat> earlyReports;
  Evacuation evacuation;
  /// Domains that are evacuated as far as picker and target have been told.
  std::set<std::string> evacuatedDomains;
  EntryRequests entry;
  GracefulShutdown shutdown;
  /// Time of the next HopDeadlines messages; Time::max() unless the node is shutting down.
  Time nextHopDeadlines = Time::max();
  Phase phase = Phase::kBooting;
  Time startedAt{};
  /// Time of the next log line if there is no configuration by then.
  Time nextAwaitedLog = Time::max();
  std::uint64_t appliedChanges = 0;
  StoreFollowing following = StoreFollowing::kVerifying;
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

Distance
MeshCore::DistanceTo(const std::string& aNode) const
{
  return this->impl->DistanceTo(aNode);
}

} // namespace jackdawwind
