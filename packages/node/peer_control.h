// Thread for the control messages between nodes: JSON-RPC notifications, each in a sealed and
// compressed frame (control_frame.h).
//
//   PeerControl::OpenResult opened = PeerControl::Open(settings, events, report);
//   PeerControl& control = *std::get<std::unique_ptr<PeerControl>>(opened);
//   control.Start();
//   control.Submit(SendPeer(...), distance);      // never blocks
//
// Messages are one-way. A frame that fits into a datagram is sent over UDP: most messages are a few
// hundred bytes to one of hundreds of peers, for which a connection would cost more than the
// message. Longer frames are sent over HTTP, to one peer one at a time, and at most
// kMaxQueuedMessages are queued. Messages beyond this limit and messages that cannot be delivered
// are dropped; their senders repeat them. Received messages without a valid seal are refused.
//
// Nodes of versions before 0.2 send and accept only uncompressed notifications over HTTP. A node
// that has received one sends to that host in the same way for kPlainPeerLifetime.
//
// The number and size of the messages sent are reported by kind and distance every
// kTrafficInterval.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "node/connection_pool.h"
#include "node/connection_set.h"
#include "node/datagram_socket.h"
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
  /// Queues a message; drops and counts it when the ring is full. aDistance: distance of the
  /// receiver, for the traffic report.
  void Submit(const SendPeer& aEffect, Distance aDistance);
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
  /// Minimum time between traffic reports.
  static constexpr Duration kTrafficInterval = std::chrono::seconds(10);

  /// Time after a message of a node without frames in which its host is sent none.
  static constexpr Duration kPlainPeerLifetime = std::chrono::minutes(5);

  /// A message to send and the distance of its receiver.
  struct Outgoing
  {
    SendPeer effect;
    Distance distance = Distance::kUnknown;
  };

  /// Messages and bytes sent of one kind.
  struct TrafficCount
  {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  /// Body and form of a message that is sent over HTTP.
  struct QueuedMessage
  {
    std::string body;
    /// Whether the body is a frame; otherwise it is the text of a notification.
    bool framed = true;
  };

  /// Queued messages to one peer.
  struct Channel
  {
    std::deque<QueuedMessage> queue;
    bool sending = false;
  };

  using Channels = std::map<Tcp::endpoint, Channel>;

  void Accept(Tcp::socket aSocket);
  void OnRequest(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  void OnDatagram(std::string_view aContent, const asio::ip::address& aSender);
  /// Checks the seal of a request and returns its notification.
  std::optional<std::string> ReadNotification(const ServerConnection::Pointer& aConnection,
                                              const HttpRequest& aRequest);
  void OnMessage(PeerMessage aMessage);
  void Enqueue(const Outgoing& aOutgoing);
  void EnqueueForHttp(const Tcp::endpoint& aTo, QueuedMessage aMessage);
  bool AcceptsFrames(const asio::ip::address& aHost);
  void CountTraffic(const Outgoing& aOutgoing, std::size_t aBytes);
  void ReportTraffic();
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
  /// Null when datagrams are disabled.
  std::unique_ptr<DatagramSocket> datagrams;
  /// Hosts of nodes that don't know frames, and the time until which this is assumed.
  std::map<asio::ip::address, Time> plainHosts;
  std::map<std::pair<std::string, Distance>, TrafficCount> traffic;
  Time trafficReportedAt{};
  Ring<Outgoing> messages;
  std::thread thread;
};

} // namespace jackdawwind::node
