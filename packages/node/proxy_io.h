// Thread of all call traffic: listeners for callers, the target and other nodes, and all outgoing
// call connections.
//
//   ProxyIo::Opened opened = ProxyIo::Open(settings, events, report);
//   ProxyIo& proxy = *std::get<std::unique_ptr<ProxyIo>>(opened);
//   proxy.Start();
//   proxy.Submit(effect);       // from the decisions thread
//   proxy.Stop();
//
// Events go into the ring of the decisions: arrivals are refused kNodeBusy when it is full, ends
// are kept and offered again. Effects come in by a ring whose writer waits while it is full; this
// thread never waits for the decisions, so the two cannot block each other.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "node/admitted_exchanges.h"
#include "node/connection_pool.h"
#include "node/connection_set.h"
#include "node/entry_exchanges.h"
#include "node/event_sender.h"
#include "node/listener.h"
#include "node/proxy_context.h"
#include "node/server_connection.h"
#include "util/ring.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

/// Effects that the I/O thread carries out.
using ProxyEffect = std::variant<Forward,
                                 Refuse,
                                 Relay,
                                 CancelAttempt,
                                 Dispatch,
                                 Complete,
                                 CancelDispatch,
                                 ForgetPeer,
                                 PhaseChanged>;

class ProxyIo
{
public:
  using Opened = std::variant<std::unique_ptr<ProxyIo>, ListenError>;

  struct Ports
  {
    std::uint16_t callers;
    std::uint16_t target;
    std::uint16_t peerCalls;
  };

  /// Opens the three listeners. aSettings and aEvents must outlive the result.
  static Opened Open(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport);

  ProxyIo(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport);
  ~ProxyIo();
  ProxyIo(const ProxyIo&) = delete;
  ProxyIo& operator=(const ProxyIo&) = delete;

  Ports ListenPorts() const;
  void Start();
  /// Hands over an effect; waits while the ring is full. False after Stop.
  bool Submit(ProxyEffect aEffect);
  /// Writes the answers under way, closes all connections and ends the thread.
  void Stop();

private:
  /// Interval of interim responses to entry nodes; a third of their silence limit.
  static constexpr Duration kInterimInterval = std::chrono::milliseconds(500);
  /// Longest time for which Stop waits for answers to be written.
  static constexpr Duration kFlushLimit = std::chrono::seconds(5);
  static constexpr std::size_t kEffectRingCapacity = 4096;
  /// Open connections of one listener beyond which new ones are closed at once.
  static constexpr std::size_t kMaxConnectionsPerListener = 8192;

  std::optional<ListenError> OpenListeners();
  void AcceptCaller(Tcp::socket aSocket, ListenerKind aListener);
  void AcceptPeer(Tcp::socket aSocket);
  void OnTargetRequest(const ServerConnection::Pointer& aConnection,
                       HttpRequest aRequest,
                       BodyReservation aReservation);
  void OnAnnouncement(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  ServerConnection::Options ConnectionOptions() const;
  void ApplyEffects();
  void Apply(const Refuse& aEffect);
  void Apply(const PhaseChanged& aEffect);

  const NodeSettings& settings;
  ReportSink report;
  // Connections return their reservations when the loop is destroyed, after the tables.
  BodyBudget budget;
  std::shared_ptr<std::size_t> callerCount = std::make_shared<std::size_t>(0);
  std::shared_ptr<std::size_t> targetCount = std::make_shared<std::size_t>(0);
  std::shared_ptr<std::size_t> peerCount = std::make_shared<std::size_t>(0);
  asio::io_context io;
  ConnectionPool pool;
  EventSender events;
  ProxyContext context;
  EntryExchanges entryExchanges;
  AdmittedExchanges admittedExchanges;
  ConnectionSet connections;
  std::unique_ptr<Listener> callers;
  std::unique_ptr<Listener> target;
  std::unique_ptr<Listener> peers;
  Ring<ProxyEffect> effects;
  std::thread thread;
};

} // namespace jackdawwind::node
