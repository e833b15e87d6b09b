// I/O thread for the request traffic of a node that routes by host name and path: listeners for
// callers and the node's own target, for other nodes, for readiness checks and for the target's
// reports, and all outgoing connections.
//
//   MeshIo::OpenResult opened = MeshIo::Open(settings, frontEnd, events, report);
//   MeshIo& io = *std::get<std::unique_ptr<MeshIo>>(opened);
//   io.Start();
//   io.Submit(effect);          // from the decision thread
//   io.Stop(exitTime);
//
// Requests and answers are buffered whole within one memory budget, so that a truncated answer is
// never relayed as a complete one. Events go to the ring of the decision thread: when it is full,
// arrivals are rejected with kNodeBusy, and end events are retried until they fit (see
// event_sender.h).
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
#include "node/mesh_front_end.h"
#include "node/outgoing_exchange.h"
#include "node/report_item.h"
#include "node/server_connection.h"
#include "util/ring.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

/// Effects that the I/O thread executes.
using MeshEffect = std::variant<ForwardHop,
                                CallTarget,
                                RelayReply,
                                RejectRequest,
                                CancelSend,
                                ForgetExchange,
                                ForgetPeer,
                                AnswerReport,
                                PhaseChanged>;

class MeshIo
{
public:
  using OpenResult = std::variant<std::unique_ptr<MeshIo>, ListenError>;

  struct Ports
  {
    std::uint16_t callers;
    std::uint16_t peerCalls;
    std::uint16_t readiness;
    std::uint16_t reports;
  };

  /// Opens the listeners. aSettings, aFrontEnd and aEvents must outlive the result.
  static OpenResult Open(const MeshSettings& aSettings,
                         const MeshFrontEnd& aFrontEnd,
                         Ring<Event>& aEvents,
                         ReportSink aReport);

  MeshIo(const MeshSettings& aSettings,
         const MeshFrontEnd& aFrontEnd,
         Ring<Event>& aEvents,
         ReportSink aReport);
  ~MeshIo();
  MeshIo(const MeshIo&) = delete;
  MeshIo& operator=(const MeshIo&) = delete;

  Ports ListenPorts() const;
  void Start();
  /// Queues an effect; blocks while the ring is full.
  void Submit(MeshEffect aEffect);
  /// Executes the submitted effects, waits until aFlushBy at the latest for answers that are being
  /// written, and joins the thread. A caller may read a long answer slowly.
  void Stop(Time aFlushBy);

private:
  static constexpr std::size_t kEffectRingCapacity = 4096;
  static constexpr std::size_t kMaxConnections = 2048;
  static constexpr std::size_t kMaxExchanges = 4096;
  /// Requests of one caller's connection that are in progress at once.
  static constexpr std::size_t kMaxPipelined = 8;

  struct Attempt
  {
    std::shared_ptr<OutgoingExchange> running;
    std::optional<CompleteAnswer> answer;
  };

  struct Exchange
  {
    /// Null once the client has disconnected.
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

  enum class ListenerRole
  {
    kCallers,
    kPeers,
    kReadiness,
    kReports,
  };

  std::optional<ListenError> OpenListeners();
  void Accept(ListenerRole aRole, Tcp::socket aSocket);
  void OnRequest(ListenerRole aRole,
                 const ServerConnection::Pointer& aConnection,
                 HttpRequest aRequest,
                 BodyReservation aReservation);
  void OnCallerRequest(const ServerConnection::Pointer& aConnection,
                       HttpRequest aRequest,
                       BodyReservation aReservation);
  void OnHopRequest(const ServerConnection::Pointer& aConnection,
                    HttpRequest aRequest,
                    BodyReservation aReservation);
  void OnReadiness(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  void OnTargetReport(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  void OnDisconnect(std::uint64_t aExchange);
  void Add(std::uint64_t aExchange, Exchange aNew);
  /// Reports a request that is rejected before the decision thread sees it; returns its answer.
  HttpResponse RejectEarly(ListenerRole aRole, const Rejection& aRejection);
  void Answer(const ServerConnection::Pointer& aConnection, HttpResponse aResponse);

  void ApplyEffects();
  void Apply(const ForwardHop& aEffect);
  void Apply(const CallTarget& aEffect);
  void Apply(const RelayReply& aEffect);
  void Apply(const RejectRequest& aEffect);
  void Apply(const CancelSend& aEffect);
  void Apply(const ForgetExchange& aEffect);
  void Apply(const ForgetPeer& aEffect);
  void Apply(const AnswerReport& aEffect);
  void Apply(const PhaseChanged& aEffect);
  /// Ends what an effect was for after it has thrown: nothing was sent, or no answer could be
  /// written.
  void Recover(const ForwardHop& aEffect);
  void Recover(const CallTarget& aEffect);
  void Recover(const RelayReply& aEffect);
  void Recover(const RejectRequest& aEffect);
  template<typename Other>
  void Recover(const Other& /*aEffect*/)
  {
  }
  /// Answers 502, which promises nothing, and forgets the exchange.
  void AnswerUnknown(std::uint64_t aExchange);

  void Send(std::uint64_t aExchange, std::uint32_t aAttempt, OutgoingRequest aRequest);
  void OnSendEnded(std::uint64_t aExchange,
                   std::uint32_t aAttempt,
                   bool aHop,
                   OutgoingResult aResult);
  SendOutcome StoreAnswer(Attempt& aAttempt, CompleteAnswer aAnswer, bool aHop);
  void DeliverSendEnded(std::uint64_t aExchange,
                        std::uint32_t aAttempt,
                        const SendOutcome& aOutcome);
  void Erase(Exchanges::iterator aExchange);
  AfterAnswer AfterAnswerTo(const Exchange& aExchange) const;

  const MeshSettings& settings;
  const MeshFrontEnd& frontEnd;
  ReportSink report;
  BodyBudget budget;
  asio::io_context io;
  ConnectionPool pool;
  OutgoingNetwork network;
  EventSender events;
  std::vector<std::unique_ptr<Listener>> listeners;
  std::shared_ptr<std::size_t> connectionCount = std::make_shared<std::size_t>(0);
  Exchanges exchanges;
  /// Departures of the target whose acknowledgement waits for AnswerReport.
  std::unordered_map<std::uint64_t, ServerConnection::Pointer> reports;
  /// Last number of an exchange or a report.
  std::uint64_t lastExchange = 0;
  std::map<std::string, Tcp::endpoint> peers;
  Phase phase = Phase::kBooting;
  ConnectionSet connections;
  Ring<MeshEffect> effects;
  std::thread thread;
};

} // namespace jackdawwind::node
