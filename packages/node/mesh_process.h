// All threads of a node that routes by host name and path, and the rings between them.
//
//   MeshProcess::OpenResult opened = MeshProcess::Open(settings, frontEnd);
//   MeshProcess& node = *std::get<std::unique_ptr<MeshProcess>>(opened);
//   node.Start([] { /* drained: Stop may be called */ });
//   node.Submit(ConfigurationRead(...));      // from the platform adapter
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

  /// Opens all listeners, so that their ports are known before the decision thread starts.
  static OpenResult Open(const MeshSettings& aSettings, MeshFrontEnd aFrontEnd);

  MeshProcess(MeshSettings aSettings, MeshFrontEnd aFrontEnd);
  ~MeshProcess();
  MeshProcess(const MeshProcess&) = delete;
  MeshProcess& operator=(const MeshProcess&) = delete;

  /// Called on the decision thread.
  struct Handlers
  {
    /// The process may exit.
    std::function<void()> drained;
    /// Sets whether the node follows the platform's store, and passes on an era to ask it about.
    std::function<void(const FollowStore&)> followStore;
    /// Records in the platform's store that the target on this host leaves.
    std::function<void(const RecordDeparture&)> recordDeparture;
  };

  /// Starts all threads.
  void Start(Handlers aHandlers);
  /// Queues an event for the decision thread; false when the ring is full.
  bool Submit(Event aEvent) { return this->events.TryPush(std::move(aEvent)); }
  /// Requests a drain; false when the event ring is full, so that the caller has to retry. Called
  /// by the thread that calls Stop.
  bool RequestDrain();
  void Report(ReportItem aItem) { this->reporting->Submit(std::move(aItem)); }
  /// Stops all threads: the decision thread first, the reporting thread last. After a drain, waits
  /// until the drain timeout at the latest for answers that are being written.
  void Stop();

  /// Addresses, failure domain, region and incarnation that this node announces to other nodes.
  NodeAnnounced Announcement() const;

private:
  /// Capacity in events; larger than the limit of requests in progress.
  static constexpr std::size_t kEventRingCapacity = 16384;
  /// Time for writing the answers of a forced exit, which come at the drain timeout.
  static constexpr Duration kMinFlushTime = std::chrono::milliseconds(200);

  EffectRoutes Routes(Handlers aHandlers);

  MeshSettings settings;
  MeshFrontEnd frontEnd;
  NodeSettings controlSettings;
  std::uint64_t incarnation = 0;
  /// End of the drain timeout once a drain is requested.
  Time drainEnd{};
  Ring<Event> events;
  std::unique_ptr<Reporting> reporting;
  std::unique_ptr<MeshIo> mesh;
  std::unique_ptr<PeerControl> peers;
  std::unique_ptr<MeshCore> core;
  std::unique_ptr<DecisionLoop<MeshCore>> loop;
};

} // namespace jackdawwind::node
