// Thread for the control messages between nodes: JSON-RPC notifications over HTTP. The seal of a
// message is a keyed hash of its body under the secret of the fleet.
//
//   PeerControl::OpenResult opened = PeerControl::Open(settings, events, report);
//   PeerControl& control = *std::get<std::unique_ptr<PeerControl>>(opened);
//   control.Start();
//   control.Submit(SendPeer(...));      // never blocks
//
// Messages are one-way. Those to one peer are sent one at a time, and at most kMaxQueuedMessages
// are queued. Messages beyond this limit and messages that cannot be delivered are dropped and
// counted; their senders repeat them. Received messages without a valid seal are refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "node/connection_pool.h"
#include "node/connection_set.h"
#include "node/listener.h"
#include "node/outgoing_exchange.h"
#include "node/report_item.h"
#include "node/rpc_server.h"
#include "node/server_connection.h"
#include "util/ring.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class PeerControl
{
public:
  using OpenResult = std::variant<std::unique_ptr<PeerControl>, ListenError>;

  /// Limit of queued messages per peer; a few seconds of traffic in normal operation.
  static constexpr std::size_t kMaxQueuedMessages = 64;

  /// Opens the listener. aSettings and aEvents must outlive the result.
  static OpenResult Open(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport);

  PeerControl(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport);
  ~PeerControl();
  PeerControl(const PeerControl&) = delete;
  PeerControl& operator=(const PeerControl&) = delete;

  std::uint16_t Port() const { return this->listener->Port(); }
  void Start();
  /// Queues a message; drops and counts it when the ring is full.
  void Submit(const SendPeer& aEffect);
  void Stop();

private:
  static constexpr std::size_t kMessageRingCapacity = 1024;
  /// A message that takes longer is dropped; its sender repeats it.
  static constexpr Duration kSendTimeout = std::chrono::milliseconds(500);
  /// Maximum size of a message; the configuration of a fleet of 470 nodes is well below it.
  static constexpr std::uint32_t kMaxMessageBytes = 4U << 20U;
  static constexpr std::uint64_t kMessageMemoryBytes = 32U << 20U;
  static constexpr std::uint32_t kMaxHeaderBytes = 4096;
  static constexpr std::size_t kMaxConnections = 4096;

  /// Queued messages to one peer.
  struct Channel
  {
    std::deque<std::string> queue;
    bool sending = false;
  };

  using Channels = std::map<Tcp::endpoint, Channel>;

  void Accept(Tcp::socket aSocket);
  void OnRequest(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  void OnMessage(PeerMessage aMessage);
  void Enqueue(const SendPeer& aEffect);
  void SendNext(Channels::iterator aChannel);
  void OnSendEnded(const Tcp::endpoint& aEndpoint, const OutgoingResult& aResult);

  const NodeSettings& settings;
  Ring<Event>& events;
  ReportSink report;
  BodyBudget budget;
  std::shared_ptr<std::size_t> connectionCount = std::make_shared<std::size_t>(0);
  asio::io_context io;
  ConnectionPool pool;
  OutgoingNetwork network;
  RpcConnector connector;
  RpcServer server;
  Channels channels;
  ConnectionSet connections;
  std::unique_ptr<Listener> listener;
  Ring<SendPeer> messages;
  std::thread thread;
};

} // namespace jackdawwind::node
