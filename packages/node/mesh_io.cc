#include "node/mesh_io.h"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "node/handler_guard.h"
#include "node/peer_exchange.h"
#include "wire/codec.h"
#include "wire/generated/mesh_codec.h"

namespace jackdawwind::node {

namespace {

constexpr const char* kThreadName = "mesh_io";
constexpr const char* kHopHeader = "X-Jackdaw-Hop";

std::optional<Tcp::endpoint>
EndpointOf(const std::string& aHost, std::uint32_t aPort)
{
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(aHost, error);
  if (error) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, static_cast<std::uint16_t>(aPort));
}

HttpResponse
EmptyResponse(http::status aStatus)
{
  HttpResponse response;
  response.result(aStatus);
  response.prepare_payload();
  return response;
}

/// Returns a report with its number if it announces that the target leaves; nullopt for others,
/// which are acknowledged at once.
struct DepartureNumberer
{
  std::uint64_t number;

  std::optional<Event> operator()(const TargetHeartbeat& aBeat) const
  {
    if (aBeat.State() != TargetState::kDraining) {
      return std::nullopt;
    }
    TargetHeartbeat::Fields fields = aBeat.ToFields();
    fields.report = this->number;
    return TargetHeartbeat(std::move(fields));
  }
  std::optional<Event> operator()(const TargetDeregistered& aGone) const
  {
    TargetDeregistered::Fields fields = aGone.ToFields();
    fields.report = this->number;
    return TargetDeregistered(std::move(fields));
  }
  template<typename Other>
  std::optional<Event> operator()(const Other& /*aOther*/) const
  {
    return std::nullopt;
  }
};

} // namespace

MeshIo::OpenResult
MeshIo::Open(const MeshSettings& aSettings,
             const MeshFrontEnd& aFrontEnd,
             Ring<Event>& aEvents,
             ReportSink aReport)
{
  std::unique_ptr<MeshIo> mesh =
    std::make_unique<MeshIo>(aSettings, aFrontEnd, aEvents, std::move(aReport));
  const std::optional<ListenError> error = mesh->OpenListeners();
  if (error) {
    return *error;
  }
  return mesh;
}

MeshIo::MeshIo(const MeshSettings& aSettings,
               const MeshFrontEnd& aFrontEnd,
               Ring<Event>& aEvents,
               ReportSink aReport)
  : settings(aSettings)
  , frontEnd(aFrontEnd)
  , report(std::move(aReport))
  , budget(aSettings.BodyMemoryBytes())
  , io(1)
  , network{ .io = this->io,
             .pool = this->pool,
             .budget = this->budget,
             .maxHeaderBytes = aSettings.MaxHeaderBytes(),
             .maxBodyBytes = aSettings.MaxBodyBytes() }
  , events(this->io, aEvents, this->report)
  , connections(this->io, this->pool)
  , effects(kEffectRingCapacity, [this] { asio::post(this->io, [this] { this->ApplyEffects(); }); })
{
}

MeshIo::~MeshIo()
{
  this->Stop(Clock::now());
}

std::optional<ListenError>
MeshIo::OpenListeners()
{
  for (const ListenAddress& address : { this->settings.Callers(),
                                        this->settings.PeerCalls(),
                                        this->settings.Readiness(),
                                        this->settings.Reports() }) {
    Listener::OpenResult opened = Listener::Open(this->io, address);
    if (const ListenError* error = std::get_if<ListenError>(&opened)) {
      return *error;
    }
    this->listeners.push_back(std::get<std::unique_ptr<Listener>>(std::move(opened)));
  }
  return std::nullopt;
}

MeshIo::Ports
MeshIo::ListenPorts() const
{
  return { this->listeners[0]->Port(),
           this->listeners[1]->Port(),
           this->listeners[2]->Port(),
           this->listeners[3]->Port() };
}

void
MeshIo::Start()
{
  // Same order as in OpenListeners.
  std::size_t index = 0;
  for (const ListenerRole role : { ListenerRole::kCallers,
                                   ListenerRole::kPeers,
                                   ListenerRole::kReadiness,
                                   ListenerRole::kReports }) {
    this->listeners[index]->Start(
      [this, role](Tcp::socket aSocket) { this->Accept(role, std::move(aSocket)); });
    ++index;
  }
  this->connections.StartSweeping();
  this->thread = std::thread([this] { RunEventLoop(this->io, this->report, kThreadName); });
}

void
MeshIo::Submit(MeshEffect aEffect)
{
  this->effects.Push(std::move(aEffect));
}

void
MeshIo::Stop(Time aFlushBy)
{
  if (!this->thread.joinable()) {
    return;
  }
  this->effects.Close();
  asio::post(this->io, [this, aFlushBy] {
    this->ApplyEffects();
    for (const std::unique_ptr<Listener>& listener : this->listeners) {
      listener->Stop();
    }
    this->connections.FlushAndStop(aFlushBy);
  });
  this->thread.join();
}

void
MeshIo::Accept(ListenerRole aRole, Tcp::socket aSocket)
{
  if (*this->connectionCount >= kMaxConnections) {
    this->report(ItemDropped{ "connections" });
    return;
  }
  ServerConnection::Handlers handlers;
  handlers.disconnected = [this](std::uint64_t aExchange) { this->OnDisconnect(aExchange); };
  handlers.reject = [this, aRole](const Rejection& aRejection) {
    return this->RejectEarly(aRole, aRejection);
  };
  handlers.request = [this, aRole](const ServerConnection::Pointer& aConnection,
                                   HttpRequest aRequest,
                                   BodyReservation aReservation) {
    this->OnRequest(aRole, aConnection, std::move(aRequest), std::move(aReservation));
  };
  const ServerConnection::Options options{ .maxHeaderBytes = this->settings.MaxHeaderBytes(),
                                           .maxBodyBytes = this->settings.MaxBodyBytes(),
                                           .interimInterval = std::nullopt,
                                           .maxPipelined =
                                             aRole == ListenerRole::kCallers ? kMaxPipelined : 1 };
  const ServerConnection::Pointer connection =
    std::make_shared<ServerConnection>(std::move(aSocket),
                                       this->io,
                                       this->budget,
                                       this->connectionCount,
                                       options,
                                       std::move(handlers));
  this->connections.Add(connection);
}

void
MeshIo::OnRequest(ListenerRole aRole,
                  const ServerConnection::Pointer& aConnection,
                  HttpRequest aRequest,
                  BodyReservation aReservation)
{
  switch (aRole) {
    case ListenerRole::kCallers:
      this->OnCallerRequest(aConnection, std::move(aRequest), std::move(aReservation));
      break;
    case ListenerRole::kPeers:
      this->OnHopRequest(aConnection, std::move(aRequest), std::move(aReservation));
      break;
    case ListenerRole::kReadiness:
      this->OnReadiness(aConnection, aRequest);
      break;
    case ListenerRole::kReports:
      this->OnTargetReport(aConnection, aRequest);
      break;
  }
}

HttpResponse
MeshIo::RejectEarly(ListenerRole aRole, const Rejection& aRejection)
{
  this->report(EarlyRefusal{ aRejection.code, aRejection.reason });
  const RejectRequest rejection({ .code = aRejection.code, .run = RunState::kNotRun });
  if (aRole == ListenerRole::kPeers) {
    HttpResponse response = RefusalResponse(aRejection.code, RunState::kNotRun);
    WritePeerResult(response, PeerResult{ .code = aRejection.code, .run = RunState::kNotRun });
    return response;
  }
  return this->frontEnd.writeRejection(rejection, "");
}

void
MeshIo::Answer(const ServerConnection::Pointer& aConnection, HttpResponse aResponse)
{
  aConnection->Respond(std::move(aResponse),
                       BodyReservation(this->budget),
                       this->phase == Phase::kDraining ? AfterAnswer::kClose
                                                       : AfterAnswer::kKeepAlive);
}

void
MeshIo::OnCallerRequest(const ServerConnection::Pointer& aConnection,
                        HttpRequest aRequest,
                        BodyReservation aReservation)
{
  const std::variant<RequestHead, Rejection> read = this->frontEnd.readRequest(aRequest);
  if (const Rejection* rejection = std::get_if<Rejection>(&read)) {
    this->Answer(aConnection, this->RejectEarly(ListenerRole::kCallers, *rejection));
    return;
  }
  const RequestHead& head = std::get<RequestHead>(read);
  const std::uint64_t exchange = ++this->lastExchange;
  const MeshRequestArrived arrived({ .exchange = exchange,
                                     .requestId = head.requestId,
                                     .host = head.host,
                                     .path = head.path,
                                     .keyHash = head.keyHash,
                                     .timeout = head.timeout,
                                     .bodyBytes = aRequest.body().size() });
  if (this->exchanges.size() >= kMaxExchanges || !this->events.TrySendArrival(arrived)) {
    this->Answer(
      aConnection,
      this->RejectEarly(ListenerRole::kCallers,
                        { ResultCode::kNodeBusy,
                          "no room for the request: too many in progress or event ring full" }));
    return;
  }
  http::request_header<> header = EndToEndHeader(aRequest);
  this->frontEnd.stripRequest(header);
  this->Add(exchange,
            Exchange{ .connection = aConnection,
                      .requestId = head.requestId,
                      .header = std::move(header),
                      .body = std::make_shared<const std::string>(std::move(aRequest.body())),
                      .reservation = std::move(aReservation),
                      .attempts = {} });
}

void
MeshIo::OnHopRequest(const ServerConnection::Pointer& aConnection,
                     HttpRequest aRequest,
                     BodyReservation aReservation)
{
  const wire::Decoded<HopContext> context =
    wire::DecodeText<HopContext>(View(aRequest[kHopHeader]));
  if (const wire::DecodeError* error = std::get_if<wire::DecodeError>(&context)) {
    this->Answer(
      aConnection,
      this->RejectEarly(ListenerRole::kPeers,
                        { ResultCode::kBadPeerCredential, "invalid hop context: " + error->path }));
    return;
  }
  const std::uint64_t exchange = ++this->lastExchange;
  const std::string requestId = this->frontEnd.readRequestId(aRequest);
  const HopArrived arrived(
    { .exchange = exchange, .requestId = requestId, .context = std::get<HopContext>(context) });
  if (this->exchanges.size() >= kMaxExchanges || !this->events.TrySendArrival(arrived)) {
    this->Answer(
      aConnection,
      this->RejectEarly(ListenerRole::kPeers,
                        { ResultCode::kNodeBusy,
                          "no room for the request: too many in progress or event ring full" }));
    return;
  }
  http::request_header<> header = EndToEndHeader(aRequest);
  header.erase(kHopHeader);
  this->Add(exchange,
            Exchange{ .connection = aConnection,
                      .hop = true,
                      .requestId = requestId,
                      .header = std::move(header),
                      .body = std::make_shared<const std::string>(std::move(aRequest.body())),
                      .reservation = std::move(aReservation),
                      .attempts = {} });
}

void
MeshIo::Add(std::uint64_t aExchange, Exchange aNew)
{
  const ServerConnection::Pointer connection = aNew.connection;
  this->exchanges.emplace(aExchange, std::move(aNew));
  connection->AwaitAnswer(aExchange);
}

void
MeshIo::OnReadiness(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest)
{
  if (View(aRequest.target()) != this->frontEnd.readinessPath) {
    this->Answer(aConnection, EmptyResponse(http::status::not_found));
    return;
  }
  const bool ready = this->phase == Phase::kServing;
  aConnection->Respond(EmptyResponse(ready ? http::status::ok : http::status::service_unavailable),
                       BodyReservation(this->budget),
                       AfterAnswer::kKeepAlive);
}

void
MeshIo::OnTargetReport(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest)
{
  const std::variant<Event, Rejection> read = this->frontEnd.readReport(aRequest);
  if (const Rejection* rejection = std::get_if<Rejection>(&read)) {
    ReportEvent(this->report, LogEvent::kBeatRejected, "reason=\"" + rejection->reason + "\"");
    this->Answer(aConnection, this->RejectEarly(ListenerRole::kReports, *rejection));
    return;
  }
  const std::uint64_t number = this->lastExchange + 1;
  const Event& event = std::get<Event>(read);
  const std::optional<Event> departure = std::visit(DepartureNumberer{ number }, event);
  if (!this->events.TrySendArrival(departure.value_or(event))) {
    this->Answer(aConnection, EmptyResponse(http::status::service_unavailable));
    return;
  }
  if (departure) {
    this->lastExchange = number;
    this->reports.emplace(number, aConnection);
    aConnection->AwaitAnswer(number);
    return;
  }
  this->Answer(aConnection, this->frontEnd.writeReportAccepted());
}

void
MeshIo::Apply(const AnswerReport& aEffect)
{
  const std::unordered_map<std::uint64_t, ServerConnection::Pointer>::iterator found =
    this->reports.find(aEffect.Report());
  if (found == this->reports.end()) {
    return;
  }
  const ServerConnection::Pointer connection = std::move(found->second);
  this->reports.erase(found);
  this->Answer(connection,
               aEffect.Accepted() ? this->frontEnd.writeReportAccepted()
                                  : EmptyResponse(http::status::service_unavailable));
}

void
MeshIo::OnDisconnect(std::uint64_t aExchange)
{
  this->reports.erase(aExchange);
  const Exchanges::iterator found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  found->second.connection.reset();
  this->events.Deliver(ExchangeAbandoned({ .exchange = aExchange }));
}

void
MeshIo::ApplyEffects()
{
  for (const MeshEffect& effect : this->effects.PopReady()) {
    const bool applied = RunGuarded(this->report, kThreadName, [this, &effect] {
      std::visit([this](const auto& aEffect) { this->Apply(aEffect); }, effect);
    });
    if (!applied) {
      RunGuarded(this->report, kThreadName, [this, &effect] {
        std::visit([this](const auto& aEffect) { this->Recover(aEffect); }, effect);
      });
    }
  }
}

void
MeshIo::Recover(const ForwardHop& aEffect)
{
  this->DeliverSendEnded(aEffect.Exchange(), aEffect.Attempt(), ConnectFailed());
}

void
MeshIo::Recover(const CallTarget& aEffect)
{
  this->DeliverSendEnded(aEffect.Exchange(), aEffect.Attempt(), ConnectFailed());
}

void
MeshIo::Recover(const RelayReply& aEffect)
{
  this->AnswerUnknown(aEffect.Exchange());
}

void
MeshIo::Recover(const RejectRequest& aEffect)
{
  this->AnswerUnknown(aEffect.Exchange());
}

void
MeshIo::AnswerUnknown(std::uint64_t aExchange)
{
  const Exchanges::iterator found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  if (found->second.connection) {
    found->second.connection->RespondTo(aExchange,
                                        EmptyResponse(http::status::bad_gateway),
                                        BodyReservation(this->budget),
                                        AfterAnswer::kClose);
  }
  this->Erase(found);
}

void
MeshIo::Apply(const ForwardHop& aEffect)
{
  const Exchanges::iterator found = this->exchanges.find(aEffect.Exchange());
  const PeerAddress& peer = aEffect.Peer();
  const std::optional<Tcp::endpoint> endpoint = EndpointOf(peer.Host(), peer.CallPort());
  if (found == this->exchanges.end() || !endpoint) {
    this->DeliverSendEnded(aEffect.Exchange(), aEffect.Attempt(), ConnectFailed());
    return;
  }
  this->peers[peer.Node()] = *endpoint;
  OutgoingRequest request{
    .endpoint = *endpoint,
    .header = found->second.header,
    .body = found->second.body,
    .reuse = aEffect.Context().Idempotent() ? Reuse::kAny : Reuse::kRecent,
    .timeout = aEffect.Timeout(),
    .silenceLimit = std::nullopt,
  };
  request.header.set(kHopHeader, wire::EncodeText(aEffect.Context()));
  this->Send(aEffect.Exchange(), aEffect.Attempt(), std::move(request));
}

void
MeshIo::Apply(const CallTarget& aEffect)
{
  const Exchanges::iterator found = this->exchanges.find(aEffect.Exchange());
  const std::optional<Tcp::endpoint> endpoint = EndpointOf(aEffect.Host(), aEffect.Port());
  if (found == this->exchanges.end() || !endpoint) {
    this->DeliverSendEnded(aEffect.Exchange(), aEffect.Attempt(), ConnectFailed());
    return;
  }
  OutgoingRequest request{
    .endpoint = *endpoint,
    .header = found->second.header,
    .body = found->second.body,
    .reuse = aEffect.Idempotent() ? Reuse::kAny : Reuse::kRecent,
    .timeout = aEffect.Timeout(),
    .silenceLimit = std::nullopt,
    .allowCloseDelimited = true,
    .matchesRequest =
      [frontEnd = &this->frontEnd, id = found->second.requestId](const HttpResponse& aResponse,
                                                                 bool aFirstOnConnection) {
        return frontEnd->answersRequest(aResponse, id, aFirstOnConnection);
      },
  };
  this->frontEnd.writeTargetRequest(request.header, aEffect);
  this->Send(aEffect.Exchange(), aEffect.Attempt(), std::move(request));
}

void
MeshIo::Send(std::uint64_t aExchange, std::uint32_t aAttempt, OutgoingRequest aRequest)
{
  const bool hop = !aRequest.matchesRequest;
  Exchange& exchange = this->exchanges.find(aExchange)->second;
  exchange.attempts[aAttempt].running = OutgoingExchange::Start(
    this->network, std::move(aRequest), [this, aExchange, aAttempt, hop](OutgoingResult aResult) {
      this->OnSendEnded(aExchange, aAttempt, hop, std::move(aResult));
    });
}

void
MeshIo::OnSendEnded(std::uint64_t aExchange,
                    std::uint32_t aAttempt,
                    bool aHop,
                    OutgoingResult aResult)
{
  const Exchanges::iterator found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  struct Visitor
  {
    SendOutcome operator()(CompleteAnswer& aAnswer) const
    {
      return this->self.StoreAnswer(this->attempt, std::move(aAnswer), this->hop);
    }
    SendOutcome operator()(const NothingSent&) const { return ConnectFailed(); }
    SendOutcome operator()(const ConnectionBroken&) const { return Lost(); }
    SendOutcome operator()(const DeadlineExceeded&) const { return TimedOut(); }

    MeshIo& self;
    Attempt& attempt;
    bool hop;
  };
  Attempt& attempt = found->second.attempts[aAttempt];
  attempt.running.reset();
  SendOutcome outcome = Lost();
  RunGuarded(this->report, kThreadName, [&] {
    outcome = std::visit(Visitor{ *this, attempt, aHop }, aResult);
  });
  this->DeliverSendEnded(aExchange, aAttempt, outcome);
}

SendOutcome
MeshIo::StoreAnswer(Attempt& aAttempt, CompleteAnswer aAnswer, bool aHop)
{
  if (!aHop) {
    const TargetReplied reply = this->frontEnd.readReply(aAnswer.response);
    aAttempt.answer.emplace(std::move(aAnswer));
    return reply;
  }
  const std::optional<PeerResult> result = ReadPeerResult(aAnswer.response);
  if (!result) {
    return Lost();
  }
  aAttempt.answer.emplace(std::move(aAnswer));
  return HopAnswered({ .status = aAttempt.answer->response.result_int(),
                       .code = result->code,
                       .run = result->run,
                       .load = result->load,
                       .slots = result->slots,
                       .expectedTime = result->expectedTime });
}

void
MeshIo::DeliverSendEnded(std::uint64_t aExchange,
                         std::uint32_t aAttempt,
                         const SendOutcome& aOutcome)
{
  this->events.Deliver(
    SendEnded({ .exchange = aExchange, .attempt = aAttempt, .outcome = aOutcome }));
}

AfterAnswer
MeshIo::AfterAnswerTo(const Exchange& aExchange) const
{
  // A connection of another node stays open until that node closes it, since closing it here could
  // lose a request that is already being sent on it.
  return this->phase == Phase::kDraining && !aExchange.hop ? AfterAnswer::kClose
                                                           : AfterAnswer::kKeepAlive;
}

void
MeshIo::Apply(const RelayReply& aEffect)
{
  const Exchanges::iterator found = this->exchanges.find(aEffect.Exchange());
  if (found == this->exchanges.end()) {
    return;
  }
  Exchange& exchange = found->second;
  Attempt& attempt = exchange.attempts[aEffect.Attempt()];
  if (exchange.connection && attempt.answer) {
    CompleteAnswer& answer = *attempt.answer;
    PrepareForwardedAnswer(answer.response, exchange.header.method() == http::verb::head);
    if (exchange.hop) {
      WritePeerResult(answer.response,
                      PeerResult{ .code = ResultCode::kOk,
                                  .run = RunState::kRan,
                                  .load = aEffect.Load(),
                                  .slots = aEffect.Slots(),
                                  .expectedTime = aEffect.ExpectedTime() });
    }
    exchange.connection->RespondTo(aEffect.Exchange(),
                                   std::move(answer.response),
                                   std::move(answer.reservation),
                                   this->AfterAnswerTo(exchange));
  }
  this->Erase(found);
}

void
MeshIo::Apply(const RejectRequest& aEffect)
{
  const Exchanges::iterator found = this->exchanges.find(aEffect.Exchange());
  if (found == this->exchanges.end()) {
    return;
  }
  const Exchange& exchange = found->second;
  if (exchange.connection) {
    HttpResponse response;
    if (exchange.hop) {
      response = RefusalResponse(aEffect.Code(), aEffect.Run());
      WritePeerResult(response,
                      PeerResult{ .code = aEffect.Code(),
                                  .run = aEffect.Run(),
                                  .load = aEffect.Load(),
                                  .slots = aEffect.Slots(),
                                  .expectedTime = aEffect.ExpectedTime() });
    } else {
      response = this->frontEnd.writeRejection(aEffect, exchange.requestId);
    }
    exchange.connection->RespondTo(aEffect.Exchange(),
                                   std::move(response),
                                   BodyReservation(this->budget),
                                   this->AfterAnswerTo(exchange));
  }
  this->Erase(found);
}

void
MeshIo::Apply(const CancelSend& aEffect)
{
  const Exchanges::iterator found = this->exchanges.find(aEffect.Exchange());
  if (found == this->exchanges.end()) {
    return;
  }
  Attempt& attempt = found->second.attempts[aEffect.Attempt()];
  if (attempt.running) {
    attempt.running->Cancel();
    attempt.running.reset();
  }
}

void
MeshIo::Apply(const ForgetExchange& aEffect)
{
  const Exchanges::iterator found = this->exchanges.find(aEffect.Exchange());
  if (found != this->exchanges.end()) {
    this->Erase(found);
  }
}

void
MeshIo::Apply(const ForgetPeer& aEffect)
{
  const auto found = this->peers.find(aEffect.Node());
  if (found != this->peers.end()) {
    this->pool.Discard(found->second);
    this->peers.erase(found);
  }
}

void
MeshIo::Apply(const PhaseChanged& aEffect)
{
  this->phase = aEffect.GetPhase();
}

void
MeshIo::Erase(Exchanges::iterator aExchange)
{
  for (const std::pair<const std::uint32_t, Attempt>& attempt : aExchange->second.attempts) {
    if (attempt.second.running) {
      attempt.second.running->Cancel();
    }
  }
  this->exchanges.erase(aExchange);
}

} // namespace jackdawwind::node
