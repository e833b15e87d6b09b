// I/O thread for all call traffic: the listeners for callers, the target and other nodes, and all
// outgoing connections for calls.
//
//   ProxyIo::OpenResult opened = ProxyIo::Open(settings, events, report);
//   ProxyIo& proxy = *std::get<std::unique_ptr<ProxyIo>>(opened);
//   proxy.Start();
//   proxy.Submit(effect);       // on the decisions thread
//   proxy.Stop();
//
// Events go to the decisions through a bounded ring. While it is full, new calls are refused with
// kNodeBusy, and events that end a call or an attempt are queued and retried. Effects arrive
// through a second ring, on which the decisions thread waits while it is full. The I/O thread never
// waits for the decisions, so that the two threads cannot deadlock.
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
  using OpenResult = std::variant<std::unique_ptr<ProxyIo>, ListenError>;

  struct Ports
  {
    std::uint16_t callers;
    std::uint16_t target;
    std::uint16_t peerCalls;
  };

  /// Opens the three listeners, or returns the error of the first that fails. aSettings and aEvents
  /// must outlive the result.
  static OpenResult Open(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport);

  ProxyIo(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport);
  ~ProxyIo();
  ProxyIo(const ProxyIo&) = delete;
  ProxyIo& operator=(const ProxyIo&) = delete;

  /// Ports that the listeners are bound to.
  Ports ListenPorts() const;
  /// Starts to accept connections on a thread of its own.
  void Start();
  /// Enqueues an effect for the I/O thread; blocks while the ring is full. Returns false after
  /// Stop. Safe to call from any thread.
  bool Submit(ProxyEffect aEffect);
  /// Writes pending answers for at most kFlushLimit, closes all connections and joins the thread.
  void Stop();

private:
  /// Interval of interim responses to entry nodes; a third of EntryExchanges::kSilenceLimit.
  static constexpr Duration kInterimInterval = std::chrono::milliseconds(500);
  /// Longest time for which Stop waits until pending answers are written.
  static constexpr Duration kFlushLimit = std::chrono::seconds(5);
  static constexpr std::size_t kEffectRingCapacity = 4096;
  /// New connections beyond this number of open ones are closed at once.
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
  /// Ends what an effect was for after it has thrown: nothing was sent, or no answer could be
  /// written.
  void Recover(const Forward& aEffect);
  void Recover(const Dispatch& aEffect);
  void Recover(const Relay& aEffect);
  void Recover(const Complete& aEffect);
  template<typename Other>
  void Recover(const Other& /*aEffect*/)
  {
  }
  /// Answers that the request may have run.
  void RefuseUnknown(std::uint64_t aExchange);

  const NodeSettings& settings;
  ReportSink report;
  // Must outlive io and the exchange tables: connections release their reservations when io is
  // destroyed.
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
