#include "node/node_process.h"

#include <chrono>
#include <random>
#include <utility>

#include "wire/crypto.h"

namespace jackdawwind::node {

NodeProcess::OpenResult
NodeProcess::Open(const NodeSettings& aSettings)
{
  std::unique_ptr<NodeProcess> node = std::make_unique<NodeProcess>(aSettings);
  Reporting::OpenResult reporting = Reporting::Open(node->settings, node->events);
  if (const ListenError* error = std::get_if<ListenError>(&reporting)) {
    return *error;
  }
  node->reporting = std::get<std::unique_ptr<Reporting>>(std::move(reporting));
  const ReportSink report = [sink = node->reporting.get()](ReportItem aItem) {
    sink->Submit(std::move(aItem));
  };
  ProxyIo::OpenResult proxy = ProxyIo::Open(node->settings, node->events, report);
  if (const ListenError* error = std::get_if<ListenError>(&proxy)) {
    return *error;
  }
  node->proxy = std::get<std::unique_ptr<ProxyIo>>(std::move(proxy));
  PeerControl::OpenResult peers = PeerControl::Open(node->settings, node->events, report);
  if (const ListenError* error = std::get_if<ListenError>(&peers)) {
    return *error;
  }
  node->peers = std::get<std::unique_ptr<PeerControl>>(std::move(peers));
  return node;
}

NodeProcess::NodeProcess(NodeSettings aSettings)
  : settings(std::move(aSettings))
  , events(kEventRingCapacity)
{
}

NodeProcess::~NodeProcess()
{
  this->Stop();
}

void
NodeProcess::Start(std::function<void()> aDrained)
{
  const std::chrono::microseconds wallTime = WallTime();
  const std::uint32_t advertisedPort = this->settings.AdvertiseCallPort();
  NodeCore::Options options;
  options.settings = this->settings;
  options.self = PeerAddress(
    { .node = this->settings.Node(),
      .host = this->settings.AdvertiseHost(),
      .callPort = advertisedPort != 0 ? advertisedPort : this->proxy->ListenPorts().peerCalls,
      .controlPort = this->peers->Port() });
  options.unixTimeAtClockZero = wallTime - Clock::now().time_since_epoch();
  options.incarnation = static_cast<std::uint64_t>(wallTime.count());
  std::random_device device;
  constexpr unsigned kWordBits = 32;
  options.seed = (static_cast<std::uint64_t>(device()) << kWordBits) | device();
  options.makeId = wire::RandomId;
  this->core = std::make_unique<NodeCore>(std::move(options));
  this->follower = std::make_unique<logservice::LogFollower>(
    this->settings.Log(), [this](Event aEvent) { return this->events.TryPush(std::move(aEvent)); });
  this->reporting->Start();
  ReportEvent([this](ReportItem aItem) { this->reporting->Submit(std::move(aItem)); },
              LogEvent::kNodeStarted,
              this->Addresses());
  this->peers->Start();
  this->proxy->Start();
  this->loop = std::make_unique<DecisionLoop<NodeCore>>(
    *this->core, this->events, this->Routes(std::move(aDrained)));
  this->loop->Start();
}

EffectRoutes
NodeProcess::Routes(std::function<void()> aDrained)
{
  return {
    .proxy = [this](ProxyEffect aEffect) { this->proxy->Submit(std::move(aEffect)); },
    .peers = [this](const SendPeer& aEffect) { this->peers->Submit(aEffect, Distance::kUnknown); },
    .append = [this](const AppendLog& aEffect) { this->Append(aEffect); },
    .follow = [this](const FollowLog& aEffect) { this->SubmitLogCommand(aEffect); },
    .stopFollowing = [this](const StopFollowing& aEffect) { this->SubmitLogCommand(aEffect); },
    .report = [this](ReportItem aItem) { this->reporting->Submit(std::move(aItem)); },
    .drained = std::move(aDrained),
  };
}

template<typename Command>
void
NodeProcess::SubmitLogCommand(const Command& aCommand)
{
  if (!this->follower->Submit(aCommand)) {
    this->reporting->Submit(ItemDropped{ "log_commands" });
  }
}

void
NodeProcess::Append(const AppendLog& aCommand)
{
  if (this->follower->Submit(aCommand)) {
    return;
  }
  // A command that was not submitted cannot have appended records, so it counts as rejected.
  this->reporting->Submit(ItemDropped{ "log_commands" });
  if (!this->events.TryPush(
        LogAppended({ .ticket = aCommand.Ticket(), .outcome = AppendRejected() }))) {
    this->reporting->Submit(ItemDropped{ "events" });
  }
}

bool
NodeProcess::RequestDrain()
{
  return this->events.TryPush(DrainRequested());
}

void
NodeProcess::Stop()
{
  if (this->loop) {
    this->loop->Stop();
  }
  if (this->proxy) {
    this->proxy->Stop();
  }
  if (this->peers) {
    this->peers->Stop();
  }
  this->follower.reset();
  if (this->reporting) {
    this->reporting->Stop();
  }
}

std::string
NodeProcess::Addresses() const
{
  const ProxyIo::Ports ports = this->proxy->ListenPorts();
  return "callers=" + std::to_string(ports.callers) + " target=" + std::to_string(ports.target) +
         " peer_calls=" + std::to_string(ports.peerCalls) +
         " peer_control=" + std::to_string(this->peers->Port()) +
         " admin=" + std::to_string(this->reporting->Port());
}

} // namespace jackdawwind::node
