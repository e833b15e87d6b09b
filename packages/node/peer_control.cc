#include "node/peer_control.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "node/control_frame.h"
#include "node/handler_guard.h"
#include "node/http_headers.h"
#include "node/rpc_request.h"
#include "wire/codec.h"
#include "wire/crypto.h"
#include "wire/generated/peer_codec.h"

namespace jackdawwind::node {

namespace {

constexpr const char* kThreadName = "peer_control";
constexpr const char* kPlainPath = "/control";
constexpr const char* kFramePath = "/frames";

struct NotificationVisitor
{
  template<typename Message>
  std::string operator()(const Message& aMessage) const
  {
    return BuildNotification(wire::MemberName<Message>::kText, wire::Encode(aMessage));
  }
};

struct KindVisitor
{
  template<typename Message>
  std::string operator()(const Message& /*aMessage*/) const
  {
    return wire::MemberName<Message>::kText;
  }
};

} // namespace

PeerControl::OpenResult
PeerControl::Open(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport)
{
  std::unique_ptr<PeerControl> control =
    std::make_unique<PeerControl>(aSettings, aEvents, std::move(aReport));
  Listener::OpenResult opened = Listener::Open(control->io, aSettings.PeerControl());
  if (const ListenError* error = std::get_if<ListenError>(&opened)) {
    return *error;
  }
  control->listener = std::get<std::unique_ptr<Listener>>(std::move(opened));
  if (aSettings.ControlDatagrams()) {
    DatagramSocket::OpenResult datagrams = DatagramSocket::Open(
      control->io,
      ListenAddress({ .host = aSettings.PeerControl().Host(), .port = control->Port() }));
    if (const ListenError* error = std::get_if<ListenError>(&datagrams)) {
      return *error;
    }
    control->datagrams = std::get<std::unique_ptr<DatagramSocket>>(std::move(datagrams));
  }
  return control;
}

PeerControl::PeerControl(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport)
  : settings(aSettings)
  , events(aEvents)
  , report(std::move(aReport))
  , budget(kMessageMemoryBytes)
  , io(1)
  , network{ .io = this->io,
             .pool = this->pool,
             .budget = this->budget,
             .maxHeaderBytes = kMaxHeaderBytes,
             .maxBodyBytes = kMaxMessageBytes }
  , server(
      this->connector,
      [this](PeerMessage aMessage) { this->OnMessage(std::move(aMessage)); },
      [this] { this->report(ItemDropped{ "peer_invalid" }); })
  , connections(this->io, this->pool)
  , messages(kMessageRingCapacity, [this] {
    asio::post(this->io, [this] {
      for (const Outgoing& message : this->messages.PopReady()) {
        RunGuarded(this->report, kThreadName, [this, &message] { this->Enqueue(message); });
      }
    });
  })
{
}

PeerControl::~PeerControl()
{
  this->Stop();
}

void
PeerControl::Start()
{
  this->listener->Start([this](Tcp::socket aSocket) { this->Accept(std::move(aSocket)); });
  if (this->datagrams) {
    this->datagrams->Start([this](std::string_view aContent, const asio::ip::address& aSender) {
      this->OnDatagram(aContent, aSender);
    });
  }
  this->connections.StartSweeping();
  this->thread = std::thread([this] { RunEventLoop(this->io, this->report, kThreadName); });
}

void
PeerControl::Submit(const SendPeer& aEffect, Distance aDistance)
{
  if (!this->messages.TryPush(Outgoing{ aEffect, aDistance })) {
    this->report(ItemDropped{ "peer_messages" });
  }
}

void
PeerControl::Stop()
{
  this->messages.Close();
  this->io.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
PeerControl::Accept(Tcp::socket aSocket)
{
  if (*this->connectionCount >= kMaxConnections) {
    return;
  }
  ServerConnection::Handlers handlers;
  handlers.disconnected = [](std::uint64_t) {};
  handlers.reject = [this](const Rejection& aRejection) {
    this->report(ItemDropped{ "peer_invalid" });
    return RefusalResponse(aRejection.code, RunState::kNotRun);
  };
  handlers.request = [this](const ServerConnection::Pointer& aConnection,
                            const HttpRequest& aRequest,
                            const BodyReservation&) { this->OnRequest(aConnection, aRequest); };
  const ServerConnection::Options options{ .maxHeaderBytes = kMaxHeaderBytes,
                                           .maxBodyBytes = kMaxMessageBytes,
                                           .interimInterval = std::nullopt };
  this->connections.Add(std::make_shared<ServerConnection>(std::move(aSocket),
                                                           this->io,
                                                           this->budget,
                                                           this->connectionCount,
                                                           options,
                                                           std::move(handlers)));
}

std::optional<std::string>
PeerControl::ReadNotification(const ServerConnection::Pointer& aConnection,
                              const HttpRequest& aRequest)
{
  const std::optional<asio::ip::address> sender = aConnection->RemoteAddress();
  if (View(aRequest.target()) == kFramePath) {
    std::optional<std::string> text =
      DecodeFrame(this->settings.FleetSecret(), aRequest.body(), kMaxMessageBytes);
    if (text && sender) {
      this->plainHosts.erase(*sender);
    }
    return text;
  }
  const std::string_view seal = View(aRequest[kSealHeader]);
  if (FieldCount(aRequest, kSealHeader) != 1 ||
      !wire::SealMatches(this->settings.FleetSecret(), aRequest.body(), seal)) {
    return std::nullopt;
  }
  if (sender) {
    this->plainHosts[*sender] = Clock::now() + kPlainPeerLifetime;
  }
  return aRequest.body();
}

void
PeerControl::OnRequest(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest)
{
  const std::optional<std::string> text = this->ReadNotification(aConnection, aRequest);
  if (!text) {
    ReportEvent(this->report, LogEvent::kBadPeerSeal, "kind=control");
    aConnection->Respond(RefusalResponse(ResultCode::kBadPeerCredential, RunState::kNotRun),
                         BodyReservation(this->budget),
                         AfterAnswer::kClose);
    return;
  }
  HttpResponse response;
  if (this->connector.Receive(*text)) {
    response.result(http::status::no_content);
  } else {
    response = RefusalResponse(ResultCode::kMalformedRequest, RunState::kNotRun);
  }
  aConnection->Respond(std::move(response), BodyReservation(this->budget), AfterAnswer::kKeepAlive);
}

void
PeerControl::OnDatagram(std::string_view aContent, const asio::ip::address& aSender)
{
  const std::optional<std::string> text =
    DecodeFrame(this->settings.FleetSecret(), aContent, kMaxMessageBytes);
  if (!text) {
    ReportEvent(this->report, LogEvent::kBadPeerSeal, "kind=datagram");
    return;
  }
  this->plainHosts.erase(aSender);
  if (!this->connector.Receive(*text)) {
    this->report(ItemDropped{ "peer_invalid" });
  }
}

void
PeerControl::OnMessage(PeerMessage aMessage)
{
  if (!this->events.TryPush(PeerReceived({ .message = std::move(aMessage) }))) {
    this->report(ItemDropped{ "events_peer" });
  }
}

void
PeerControl::Enqueue(const Outgoing& aOutgoing)
{
  const SendPeer& effect = aOutgoing.effect;
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(effect.To().Host(), error);
  std::string text = std::visit(NotificationVisitor{}, effect.Message());
  if (error || text.empty()) {
    this->report(ItemDropped{ "peer_unsendable" });
    return;
  }
  const std::uint16_t port = static_cast<std::uint16_t>(effect.To().ControlPort());
  const bool framed = this->AcceptsFrames(address);
  std::string body = framed ? EncodeFrame(this->settings.FleetSecret(), text) : std::move(text);
  this->CountTraffic(aOutgoing, body.size());
  if (framed && this->datagrams && body.size() <= DatagramSocket::kMaxContentBytes) {
    if (!this->datagrams->Send(Udp::endpoint(address, port), body)) {
      this->report(ItemDropped{ "peer_undelivered" });
    }
    return;
  }
  this->EnqueueForHttp(Tcp::endpoint(address, port), { std::move(body), framed });
}

bool
PeerControl::AcceptsFrames(const asio::ip::address& aHost)
{
  const std::map<asio::ip::address, Time>::iterator found = this->plainHosts.find(aHost);
  if (found == this->plainHosts.end()) {
    return true;
  }
  if (found->second > Clock::now()) {
    return false;
  }
  this->plainHosts.erase(found);
  return true;
}

void
PeerControl::EnqueueForHttp(const Tcp::endpoint& aTo, QueuedMessage aMessage)
{
  const auto channel = this->channels.try_emplace(aTo).first;
  if (channel->second.queue.size() >= kMaxQueuedMessages) {
    this->report(ItemDropped{ "peer_queue" });
    return;
  }
  channel->second.queue.push_back(std::move(aMessage));
  if (!channel->second.sending) {
    this->SendNext(channel);
  }
}

void
PeerControl::CountTraffic(const Outgoing& aOutgoing, std::size_t aBytes)
{
  const std::string kind = std::visit(KindVisitor{}, aOutgoing.effect.Message());
  TrafficCount& count = this->traffic[{ kind, aOutgoing.distance }];
  ++count.messages;
  count.bytes += aBytes;
  if (Clock::now() - this->trafficReportedAt >= kTrafficInterval) {
    this->ReportTraffic();
  }
}

void
PeerControl::ReportTraffic()
{
  this->trafficReportedAt = Clock::now();
  ControlTrafficReport item;
  for (const auto& [key, count] : this->traffic) {
    item.sent.push_back({ key.first, key.second, count.messages, count.bytes });
  }
  this->traffic.clear();
  this->report(std::move(item));
}

void
PeerControl::SendNext(Channels::iterator aChannel)
{
  Channel& channel = aChannel->second;
  if (channel.queue.empty()) {
    this->channels.erase(aChannel);
    return;
  }
  channel.sending = true;
  const bool framed = channel.queue.front().framed;
  const std::shared_ptr<const std::string> body =
    std::make_shared<const std::string>(std::move(channel.queue.front().body));
  channel.queue.pop_front();
  http::request_header<> header;
  header.version(11);
  header.method(http::verb::post);
  header.target(framed ? kFramePath : kPlainPath);
  header.set(http::field::host, aChannel->first.address().to_string());
  if (!framed) {
    header.set(kSealHeader, wire::Seal(this->settings.FleetSecret(), *body));
  }
  const Tcp::endpoint endpoint = aChannel->first;
  OutgoingExchange::Start(
    this->network,
    OutgoingRequest{ .endpoint = endpoint,
                     .header = std::move(header),
                     .body = body,
                     .reuse = Reuse::kAny,
                     .timeout = kSendTimeout,
                     .silenceLimit = std::nullopt },
    [this, endpoint](const OutgoingResult& aResult) { this->OnSendEnded(endpoint, aResult); });
}

void
PeerControl::OnSendEnded(const Tcp::endpoint& aEndpoint, const OutgoingResult& aResult)
{
  const CompleteAnswer* answer = std::get_if<CompleteAnswer>(&aResult);
  if (answer == nullptr || answer->response.result() != http::status::no_content) {
    this->report(ItemDropped{ "peer_undelivered" });
  }
  const auto channel = this->channels.find(aEndpoint);
  if (channel != this->channels.end()) {
    channel->second.sending = false;
    this->SendNext(channel);
  }
}

} // namespace jackdawwind::node
