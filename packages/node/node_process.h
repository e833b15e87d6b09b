// All threads of a node and the rings between them.
//
//   NodeProcess::OpenResult opened = NodeProcess::Open(settings);
//   NodeProcess& node = *std::get<std::unique_ptr<NodeProcess>>(opened);
//   node.Start([] { /* drained: Stop may be called */ });
//   node.RequestDrain();
//   node.Stop();
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "decisions/node_core.h"
#include "logservice/log_follower.h"
#include "node/decision_loop.h"
#include "node/peer_control.h"
#include "node/proxy_io.h"
#include "node/reporting.h"
#include "util/ring.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class NodeProcess
{
public:
  using OpenResult = std::variant<std::unique_ptr<NodeProcess>, ListenError>;

  /// Opens all listeners, so that their ports are known before the decision thread starts.
  static OpenResult Open(const NodeSettings& aSettings);

  explicit NodeProcess(NodeSettings aSettings);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Starts all threads; aDrained runs on the decision thread when the process may exit.
  void Start(std::function<void()> aDrained);
  /// Requests a drain; false when the event ring is full, so that the caller has to retry.
  bool RequestDrain();
  /// Stops all threads: the decision thread first, the reporting thread last.
  void Stop();
  /// Ports of all listeners as key=value pairs.
  std::string Addresses() const;

private:
  /// Capacity in events; larger than the limit of calls in progress.
  static constexpr std::size_t kEventRingCapacity = 16384;

  EffectRoutes Routes(std::function<void()> aDrained);
  template<typename Command>
  void SubmitLogCommand(const Command& aCommand);
  void Append(const AppendLog& aCommand);

  NodeSettings settings;
  Ring<Event> events;
  std::unique_ptr<Reporting> reporting;
  std::unique_ptr<ProxyIo> proxy;
  std::unique_ptr<PeerControl> peers;
  std::unique_ptr<logservice::LogFollower> follower;
  std::unique_ptr<NodeCore> core;
  std::unique_ptr<DecisionLoop<NodeCore>> loop;
};

} // namespace jackdawwind::node
