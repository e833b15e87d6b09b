#include "node/mesh_process.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include "wire/crypto.h"

namespace jackdawwind::node {

namespace {

/// Secret for sealing control messages. The platform gives its processes no secret of their own, so
/// the network between the nodes is trusted, and the seal only rejects messages that reach the port
/// by mistake.
constexpr const char* kSharedSecret = "jackdawwind-mesh";

/// Settings of the peer control and reporting threads, which both kinds of node have.
NodeSettings
ControlSettings(const MeshSettings& aSettings)
{
  return NodeSettings({ .node = aSettings.Node(),
                        .domain = aSettings.GetDomain(),
                        .region = aSettings.Region(),
                        .advertiseHost = aSettings.Host(),
                        .peerControl = aSettings.PeerControl(),
                        .admin = aSettings.Admin(),
                        // Random and never disclosed, so that no request passes the token check:
                        // the platform administers such a node.
                        .adminToken = wire::RandomKey(),
                        .fleetSecret = kSharedSecret,
                        .logLevel = aSettings.GetLogLevel() });
}

std::uint64_t
RandomSeed()
{
  constexpr unsigned kWordBits = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << kWordBits) | device();
}

} // namespace

MeshProcess::OpenResult
MeshProcess::Open(const MeshSettings& aSettings, MeshFrontEnd aFrontEnd)
{
  std::unique_ptr<MeshProcess> node =
    std::make_unique<MeshProcess>(aSettings, std::move(aFrontEnd));
  Reporting::OpenResult reporting = Reporting::Open(node->controlSettings, node->events);
  if (const ListenError* error = std::get_if<ListenError>(&reporting)) {
    return *error;
  }
  node->reporting = std::get<std::unique_ptr<Reporting>>(std::move(reporting));
  const ReportSink report = [sink = node->reporting.get()](ReportItem aItem) {
    sink->Submit(std::move(aItem));
  };
  MeshIo::OpenResult mesh = MeshIo::Open(node->settings, node->frontEnd, node->events, report);
  if (const ListenError* error = std::get_if<ListenError>(&mesh)) {
    return *error;
  }
  node->mesh = std::get<std::unique_ptr<MeshIo>>(std::move(mesh));
  PeerControl::OpenResult peers = PeerControl::Open(node->controlSettings, node->events, report);
  if (const ListenError* error = std::get_if<ListenError>(&peers)) {
    return *error;
  }
  node->peers = std::get<std::unique_ptr<PeerControl>>(std::move(peers));
  return node;
}

MeshProcess::MeshProcess(MeshSettings aSettings, MeshFrontEnd aFrontEnd)
  : settings(std::move(aSettings))
  , frontEnd(std::move(aFrontEnd))
  , controlSettings(ControlSettings(this->settings))
  , incarnation(static_cast<std::uint64_t>(WallTime().count()))
  , events(kEventRingCapacity)
{
}

MeshProcess::~MeshProcess()
{
  this->Stop();
}

NodeAnnounced
MeshProcess::Announcement() const
{
  return NodeAnnounced({ .address = PeerAddress({ .node = this->settings.Node(),
                                                  .host = this->settings.Host(),
                                                  .callPort = this->settings.PeerCalls().Port(),
                                                  .controlPort = this->peers->Port() }),
                         .domain = this->settings.GetDomain(),
                         .region = this->settings.Region(),
                         .incarnation = this->incarnation });
}

void
MeshProcess::Start(Handlers aHandlers)
{
  MeshCore::Options options;
  options.self = this->Announcement().Address();
  options.domain = this->settings.GetDomain();
  options.region = this->settings.Region();
  options.service = this->settings.GetService();
  options.policy = this->settings.GetPolicy();
  options.incarnation = this->incarnation;
  options.seed = RandomSeed();
  options.repeatRatio = this->settings.RepeatRatio();
  options.repeatExtra = this->settings.RepeatExtra();
  options.drainDelay = this->settings.DrainDelay();
  options.drainTimeout = this->settings.DrainTimeout();
  this->core = std::make_unique<MeshCore>(std::move(options));
  this->reporting->Start();
  this->Report(
    LogLine({ .event = LogEvent::kNodeStarted,
              .detail = "host=" + this->settings.Host() +
                        " callers=" + std::to_string(this->settings.Callers().Port()) +
                        " peer_calls=" + std::to_string(this->settings.PeerCalls().Port()) +
                        " incarnation=" + std::to_string(this->incarnation) }));
  this->peers->Start();
  this->mesh->Start();
  this->loop = std::make_unique<DecisionLoop<MeshCore>>(
    *this->core, this->events, this->Routes(std::move(aHandlers)));
  this->loop->Start();
}

EffectRoutes
MeshProcess::Routes(Handlers aHandlers)
{
  EffectRoutes routes;
  // Of the proxy effects, this kind of node produces only ForgetPeer and PhaseChanged.
  routes.proxy = [this](const ProxyEffect& aEffect) {
    if (const ForgetPeer* forget = std::get_if<ForgetPeer>(&aEffect)) {
      this->mesh->Submit(*forget);
    } else if (const PhaseChanged* phase = std::get_if<PhaseChanged>(&aEffect)) {
      this->mesh->Submit(*phase);
    }
  };
  routes.mesh = [this](MeshEffect aEffect) { this->mesh->Submit(std::move(aEffect)); };
  routes.peers = [this](const SendPeer& aEffect) {
    this->peers->Submit(aEffect, this->core->DistanceTo(aEffect.To().Node()));
  };
  routes.followStore = std::move(aHandlers.followStore);
  routes.recordDeparture = std::move(aHandlers.recordDeparture);
  routes.report = [this](ReportItem aItem) { this->reporting->Submit(std::move(aItem)); };
  routes.drained = std::move(aHandlers.drained);
  return routes;
}

bool
MeshProcess::RequestDrain()
{
  if (!this->Submit(DrainRequested())) {
    return false;
  }
  this->drainEnd = Clock::now() + this->settings.DrainTimeout();
  return true;
}

void
MeshProcess::Stop()
{
  if (this->loop) {
    this->loop->Stop();
  }
  if (this->mesh) {
    this->mesh->Stop(std::max(this->drainEnd, Clock::now() + kMinFlushTime));
  }
  if (this->peers) {
    this->peers->Stop();
  }
  if (this->reporting) {
    this->reporting->Stop();
  }
}

} // namespace jackdawwind::node
