#include "node/peer_control.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "node/http_headers.h"
#include "node/rpc_request.h"
#include "wire/codec.h"
#include "wire/crypto.h"
#include "wire/generated/peer_codec.h"

namespace jackdawwind::node {

namespace {

constexpr const char* kControlPath = "/control";

struct NotificationVisitor
{
  template<typename Message>
  std::string operator()(const Message& aMessage) const
  {
    return BuildNotification(wire::MemberName<Message>::kText, wire::Encode(aMessage));
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
      for (const SendPeer& message : this->messages.PopReady()) {
        this->Enqueue(message);
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
  this->connections.StartSweeping();
  this->thread = std::thread([this] { this->io.run(); });
}

void
PeerControl::Submit(const SendPeer& aEffect)
{
  if (!this->messages.TryPush(aEffect)) {
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
  handlers.reject = [](const Rejection& aRejection) {
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

void
PeerControl::OnRequest(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest)
{
  const beast::string_view seal = aRequest[kSealHeader];
  if (FieldCount(aRequest, kSealHeader) != 1 || !wire::SealMatches(this->settings.FleetSecret(),
                                                                   aRequest.body(),
                                                                   { seal.data(), seal.size() })) {
    ReportEvent(this->report, LogEvent::kBadPeerSeal, "kind=control");
    aConnection->Respond(RefusalResponse(ResultCode::kBadPeerCredential, RunState::kNotRun),
                         BodyReservation(this->budget),
                         AfterAnswer::kClose);
    return;
  }
  HttpResponse response;
  if (this->connector.Receive(aRequest.body())) {
    response.result(http::status::no_content);
  } else {
    response = RefusalResponse(ResultCode::kMalformedRequest, RunState::kNotRun);
  }
  aConnection->Respond(std::move(response), BodyReservation(this->budget), AfterAnswer::kKeepAlive);
}

void
PeerControl::OnMessage(PeerMessage aMessage)
{
  if (!this->events.TryPush(PeerReceived({ .message = std::move(aMessage) }))) {
    this->report(ItemDropped{ "events_peer" });
  }
}

void
PeerControl::Enqueue(const SendPeer& aEffect)
{
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(aEffect.To().Host(), error);
  std::string text = std::visit(NotificationVisitor{}, aEffect.Message());
  if (error || text.empty()) {
    this->report(ItemDropped{ "peer_unsendable" });
    return;
  }
  const Tcp::endpoint endpoint(address, static_cast<std::uint16_t>(aEffect.To().ControlPort()));
  const auto channel = this->channels.try_emplace(endpoint).first;
  if (channel->second.queue.size() >= kMaxQueuedMessages) {
    this->report(ItemDropped{ "peer_queue" });
    return;
  }
  channel->second.queue.push_back(std::move(text));
  if (!channel->second.sending) {
    this->SendNext(channel);
  }
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
  const std::shared_ptr<const std::string> body =
    std::make_shared<const std::string>(std::move(channel.queue.front()));
  channel.queue.pop_front();
  http::request_header<> header;
  header.version(11);
  header.method(http::verb::post);
  header.target(kControlPath);
  header.set(http::field::host, aChannel->first.address().to_string());
  header.set(kSealHeader, wire::Seal(this->settings.FleetSecret(), *body));
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
