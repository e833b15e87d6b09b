// All threads of a node that routes by host name and path, and the rings between them.
//
//   MeshProcess::OpenResult opened = MeshProcess::Open(settings, front);
//   MeshProcess& node = *std::get<std::unique_ptr<MeshProcess>>(opened);
//   node.Start([] { /* drained: stop may be called */ });
//   node.Submit(ConfigurationRead(...));      // from the platform's adapter
//   node.RequestDrain();
//   node.Stop();
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

#include "decisions/mesh/mesh_core.h"
#include "node/decision_loop.h"
#include "node/mesh_io.h"
#include "node/peer_control.h"
#include "node/reporting.h"
#include "util/ring.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class MeshProcess
{
public:
  using OpenResult = std::variant<std::unique_ptr<MeshProcess>, ListenError>;

  /// Opens all listeners, so that their ports are known before the decisions start.
  static OpenResult Open(const MeshSettings& aSettings, MeshFrontEnd aFront);

  MeshProcess(MeshSettings aSettings, MeshFrontEnd aFront);
  ~MeshProcess();
  MeshProcess(const MeshProcess&) = delete;
  MeshProcess& operator=(const MeshProcess&) = delete;

  /// Starts all threads; aDrained runs on the decisions thread when the process may exit.
  void Start(std::function<void()> aDrained);
  /// Hands an event to the decisions; false when their ring is full.
  bool Submit(Event aEvent) { return this->events.TryPush(std::move(aEvent)); }
  bool RequestDrain() { return this->Submit(DrainRequested()); }
  void Report(ReportItem aItem) { this->reporting->Submit(std::move(aItem)); }
  /// Ends all threads, the decisions first and the reports last.
  void Stop();

  /// How this node is announced to others.
  NodeAnnounced Announcement() const;

private:
  /// Events that may wait for the decisions; more than all requests in progress.
  static constexpr std::size_t kEventRing = 16384;

  EffectRoutes Routes(std::function<void()> aDrained);

  MeshSettings settings;
  MeshFrontEnd front;
  NodeSettings controlSettings;
  std::uint64_t incarnation = 0;
  Ring<Event> events;
  std::unique_ptr<Reporting> reporting;
  std::unique_ptr<MeshIo> mesh;
  std::unique_ptr<PeerControl> peers;
  std::unique_ptr<MeshCore> core;
  std::unique_ptr<DecisionLoop<MeshCore>> loop;
};

} // namespace jackdawwind::node
