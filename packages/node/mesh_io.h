// Thread of all request traffic of a node that routes by host name and path: listeners for callers
// and the own target, for other nodes, for readiness and for the target's reports, and all outgoing
// connections.
//
//   MeshIo::Opened opened = MeshIo::Open(settings, front, events, report);
//   MeshIo& io = *std::get<std::unique_ptr<MeshIo>>(opened);
//   io.Start();
//   io.Submit(effect);          // from the decisions thread
//   io.Stop();
//
// Requests and answers are buffered whole within one memory budget, so that a truncated answer is
// never passed on as a complete one. Events go into the ring of the decisions: arrivals are refused
// kNodeBusy when it is full, ends are kept and offered again.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "node/connection_pool.h"
#include "node/connection_set.h"
#include "node/event_sender.h"
#include "node/listener.h"
#include "node/mesh_front.h"
#include "node/outgoing_exchange.h"
#include "node/report_item.h"
#include "node/server_connection.h"
#include "util/ring.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

/// Effects that the I/O thread carries out.
using MeshEffect = std::variant<ForwardHop,
                                CallTarget,
                                RelayReply,
                                RejectRequest,
                                CancelSend,
                                ForgetExchange,
                                ForgetPeer,
                                PhaseChanged>;

class MeshIo
{
public:
  using Opened = std::variant<std::unique_ptr<MeshIo>, ListenError>;

  struct Ports
  {
    std::uint16_t callers;
    std::uint16_t peerCalls;
    std::uint16_t readiness;
    std::uint16_t reports;
  };

  /// Opens the listeners. aSettings, aFront and aEvents must outlive the result.
  static Opened Open(const MeshSettings& aSettings,
                     const MeshFront& aFront,
                     Ring<Event>& aEvents,
                     ReportSink aReport);

  MeshIo(const MeshSettings& aSettings,
         const MeshFront& aFront,
         Ring<Event>& aEvents,
         ReportSink aReport);
  ~MeshIo();
  MeshIo(const MeshIo&) = delete;
  MeshIo& operator=(const MeshIo&) = delete;

  Ports ListenPorts() const;
  void Start();
  /// Waits while the ring is full.
  void Submit(MeshEffect aEffect);
  /// Carries out what was submitted, waits shortly for answers that are being written, and ends the
  /// thread.
  void Stop();

private:
  static constexpr std::size_t kEffectRing = 4096;
  static constexpr std::size_t kMaxConnections = 2048;
  static constexpr std::size_t kMaxExchanges = 4096;
  static constexpr Duration kFlushLimit = std::chrono::milliseconds(200);

  struct Attempt
  {
    std::shared_ptr<OutgoingExchange> running;
    std::optional<CompleteAnswer> answer;
  };

  struct Exchange
  {
    /// Empty once the other side left.
    ServerConnection::Pointer connection;
    /// Whether the request came from another node.
    bool hop = false;
    std::string requestId;
    http::request_header<> header;
    std::shared_ptr<const std::string> body;
    BodyReservation reservation;
    std::map<std::uint32_t, Attempt> attempts;
  };

  using Exchanges = std::unordered_map<std::uint64_t, Exchange>;

  enum class Side
  {
    kCallers,
    kPeers,
    kReadiness,
    kReports,
  };

  std::optional<ListenError> OpenListeners();
  void Accept(Side aSide, Tcp::socket aSocket);
  void OnRequest(Side aSide,
                 const ServerConnection::Pointer& aConnection,
                 HttpRequest aRequest,
                 BodyReservation aReservation);
  void OnCaller(const ServerConnection::Pointer& aConnection,
                HttpRequest aRequest,
                BodyReservation aReservation);
  void OnHop(const ServerConnection::Pointer& aConnection,
             HttpRequest aRequest,
             BodyReservation aReservation);
  void OnReadiness(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  void OnReport(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  void OnGone(std::uint64_t aExchange);
  void Add(std::uint64_t aExchange, Exchange aNew);
  /// Answer to a request that the decisions do not know of.
  HttpResponse RejectUnseen(Side aSide, const Rejection& aRejection);
  void Answer(const ServerConnection::Pointer& aConnection, HttpResponse aResponse);

  void ApplyEffects();
  void Apply(const ForwardHop& aEffect);
  void Apply(const CallTarget& aEffect);
  void Apply(const RelayReply& aEffect);
  void Apply(const RejectRequest& aEffect);
  void Apply(const CancelSend& aEffect);
  void Apply(const ForgetExchange& aEffect);
  void Apply(const ForgetPeer& aEffect);
  void Apply(const PhaseChanged& aEffect);

  void Send(std::uint64_t aExchange, std::uint32_t aAttempt, OutgoingRequest aRequest);
  void OnSent(std::uint64_t aExchange, std::uint32_t aAttempt, bool aHop, OutgoingResult aResult);
  SendOutcome Keep(Attempt& aAttempt, CompleteAnswer aAnswer, bool aHop);
  void DeliverEnd(std::uint64_t aExchange, std::uint32_t aAttempt, const SendOutcome& aOutcome);
  void Erase(Exchanges::iterator aExchange);
  AfterAnswer After(const Exchange& aExchange) const;

  const MeshSettings& settings;
  const MeshFront& front;
  ReportSink report;
  BodyBudget budget;
  asio::io_context io;
  ConnectionPool pool;
  OutgoingNetwork network;
  EventSender events;
  std::vector<std::unique_ptr<Listener>> listeners;
  std::shared_ptr<std::size_t> connectionCount = std::make_shared<std::size_t>(0);
  Exchanges exchanges;
  std::uint64_t lastExchange = 0;
  std::map<std::string, Tcp::endpoint> peers;
  Phase phase = Phase::kBooting;
  ConnectionSet connections;
  Ring<MeshEffect> effects;
  std::thread thread;
};

} // namespace jackdawwind::node
