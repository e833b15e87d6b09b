#include "node/proxy_io.h"

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "node/handler_guard.h"
#include "wire/codec.h"
#include "wire/generated/calls_codec.h"

namespace jackdawwind::node {

namespace {

constexpr const char* kThreadName = "proxy_io";
constexpr const char* kAnnouncePath = "/target";

HttpResponse
RejectCaller(const ReportSink& aReport, const Rejection& aRejection)
{
  aReport(EarlyRefusal{ aRejection.code, aRejection.reason });
  return RefusalResponse(aRejection.code, RunState::kNotRun);
}

} // namespace

ProxyIo::OpenResult
ProxyIo::Open(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport)
{
  std::unique_ptr<ProxyIo> proxy =
    std::make_unique<ProxyIo>(aSettings, aEvents, std::move(aReport));
  const std::optional<ListenError> error = proxy->OpenListeners();
  if (error) {
    return *error;
  }
  return proxy;
}

ProxyIo::ProxyIo(const NodeSettings& aSettings, Ring<Event>& aEvents, ReportSink aReport)
  : settings(aSettings)
  , report(std::move(aReport))
  , budget(aSettings.BodyMemoryBytes())
  , io(1)
  , events(this->io, aEvents, this->report)
  , context{ .settings = aSettings,
             .network = OutgoingNetwork{ .io = this->io,
                                         .pool = this->pool,
                                         .budget = this->budget,
                                         .maxHeaderBytes = aSettings.MaxHeaderBytes(),
                                         .maxBodyBytes = aSettings.MaxBodyBytes() },
             .events = this->events,
             .report = this->report }
  , entryExchanges(this->context)
  , admittedExchanges(this->context)
  , connections(this->io, this->pool)
  , effects(kEffectRingCapacity, [this] { asio::post(this->io, [this] { this->ApplyEffects(); }); })
{
}

ProxyIo::~ProxyIo()
{
  this->Stop();
}

std::optional<ListenError>
ProxyIo::OpenListeners()
{
  struct Slot
  {
    const ListenAddress& address;
    std::unique_ptr<Listener>& listener;
  };
  for (const Slot& slot : { Slot{ this->settings.Callers(), this->callers },
                            Slot{ this->settings.Target(), this->target },
                            Slot{ this->settings.PeerCalls(), this->peers } }) {
    Listener::OpenResult opened = Listener::Open(this->io, slot.address);
    if (const ListenError* error = std::get_if<ListenError>(&opened)) {
      return *error;
    }
    slot.listener = std::get<std::unique_ptr<Listener>>(std::move(opened));
  }
  return std::nullopt;
}

ProxyIo::Ports
ProxyIo::ListenPorts() const
{
  return { this->callers->Port(), this->target->Port(), this->peers->Port() };
}

void
ProxyIo::Start()
{
  this->callers->Start([this](Tcp::socket aSocket) {
    this->AcceptCaller(std::move(aSocket), ListenerKind::kCallers);
  });
  this->target->Start(
    [this](Tcp::socket aSocket) { this->AcceptCaller(std::move(aSocket), ListenerKind::kTarget); });
  this->peers->Start([this](Tcp::socket aSocket) { this->AcceptPeer(std::move(aSocket)); });
  this->connections.StartSweeping();
  this->thread = std::thread([this] { RunEventLoop(this->io, this->report, kThreadName); });
}

bool
ProxyIo::Submit(ProxyEffect aEffect)
{
  return this->effects.Push(std::move(aEffect));
}

void
ProxyIo::Stop()
{
  if (!this->thread.joinable()) {
    return;
  }
  this->effects.Close();
  asio::post(this->io, [this] {
    this->ApplyEffects();
    this->callers->Stop();
    this->target->Stop();
    this->peers->Stop();
    this->connections.FlushAndStop(Clock::now() + kFlushLimit);
  });
  this->thread.join();
}

ServerConnection::Options
ProxyIo::ConnectionOptions() const
{
  return { .maxHeaderBytes = this->settings.MaxHeaderBytes(),
           .maxBodyBytes = this->settings.MaxBodyBytes(),
           .interimInterval = std::nullopt };
}

void
ProxyIo::AcceptCaller(Tcp::socket aSocket, ListenerKind aListener)
{
  const bool isTarget = aListener == ListenerKind::kTarget;
  const std::shared_ptr<std::size_t>& count = isTarget ? this->targetCount : this->callerCount;
  if (*count >= kMaxConnectionsPerListener) {
    return;
  }
  ServerConnection::Handlers handlers;
  handlers.disconnected = [this](std::uint64_t aExchange) {
    this->entryExchanges.OnDisconnected(aExchange);
  };
  handlers.reject = [this](const Rejection& aRejection) {
    return RejectCaller(this->report, aRejection);
  };
  handlers.request = [this, isTarget](const ServerConnection::Pointer& aConnection,
                                      HttpRequest aRequest,
                                      BodyReservation aReservation) {
    if (isTarget) {
      this->OnTargetRequest(aConnection, std::move(aRequest), std::move(aReservation));
    } else {
      this->entryExchanges.OnRequest(
        aConnection, ListenerKind::kCallers, std::move(aRequest), std::move(aReservation));
    }
  };
  this->connections.Add(std::make_shared<ServerConnection>(std::move(aSocket),
                                                           this->io,
                                                           this->budget,
                                                           count,
                                                           this->ConnectionOptions(),
                                                           std::move(handlers)));
}

void
ProxyIo::AcceptPeer(Tcp::socket aSocket)
{
  if (*this->peerCount >= kMaxConnectionsPerListener) {
    return;
  }
  ServerConnection::Handlers handlers;
  handlers.disconnected = [this](std::uint64_t aExchange) {
    this->admittedExchanges.OnDisconnected(aExchange);
  };
  handlers.reject = [this](const Rejection& aRejection) {
    this->report(EarlyRefusal{ aRejection.code, aRejection.reason });
    return PeerRefusalResponse(aRejection.code);
  };
  handlers.request = [this](const ServerConnection::Pointer& aConnection,
                            HttpRequest aRequest,
                            BodyReservation aReservation) {
    this->admittedExchanges.OnRequest(aConnection, std::move(aRequest), std::move(aReservation));
  };
  ServerConnection::Options options = this->ConnectionOptions();
  options.interimInterval = kInterimInterval;
  this->connections.Add(std::make_shared<ServerConnection>(
    std::move(aSocket), this->io, this->budget, this->peerCount, options, std::move(handlers)));
}

void
ProxyIo::OnTargetRequest(const ServerConnection::Pointer& aConnection,
                         HttpRequest aRequest,
                         BodyReservation aReservation)
{
  if (aRequest.method() == http::verb::put && aRequest.target() == kAnnouncePath) {
    this->OnAnnouncement(aConnection, aRequest);
    return;
  }
  this->entryExchanges.OnRequest(
    aConnection, ListenerKind::kTarget, std::move(aRequest), std::move(aReservation));
}

void
ProxyIo::OnAnnouncement(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest)
{
  const wire::Decoded<TargetAnnounced> decoded = wire::DecodeText<TargetAnnounced>(aRequest.body());
  ErrorCode addressError;
  const TargetAnnounced* announced = std::get_if<TargetAnnounced>(&decoded);
  if (announced != nullptr) {
    asio::ip::make_address(announced->Host(), addressError);
  }
  HttpResponse response;
  if (announced == nullptr || addressError) {
    response = RejectCaller(
      this->report,
      { ResultCode::kMalformedRequest, "the body is not a valid target announcement" });
  } else if (!this->context.events.TrySendArrival(*announced)) {
    response = RefusalResponse(ResultCode::kNodeBusy, RunState::kNotRun);
  } else {
    response.result(http::status::no_content);
  }
  aConnection->Respond(std::move(response), BodyReservation(this->budget), AfterAnswer::kKeepAlive);
}

void
ProxyIo::ApplyEffects()
{
  for (const ProxyEffect& effect : this->effects.PopReady()) {
    struct Visitor
    {
      void operator()(const Forward& aEffect) const { this->self.entryExchanges.Apply(aEffect); }
      void operator()(const Refuse& aEffect) const { this->self.Apply(aEffect); }
      void operator()(const Relay& aEffect) const { this->self.entryExchanges.Apply(aEffect); }
      void operator()(const CancelAttempt& aEffect) const
      {
        this->self.entryExchanges.Apply(aEffect);
      }
      void operator()(const Dispatch& aEffect) const
      {
        this->self.admittedExchanges.Apply(aEffect);
      }
      void operator()(const Complete& aEffect) const
      {
        this->self.admittedExchanges.Apply(aEffect);
      }
      void operator()(const CancelDispatch& aEffect) const
      {
        this->self.admittedExchanges.Apply(aEffect);
      }
      void operator()(const ForgetPeer& aEffect) const { this->self.entryExchanges.Apply(aEffect); }
      void operator()(const PhaseChanged& aEffect) const { this->self.Apply(aEffect); }

      ProxyIo& self;
    };
    const bool applied = RunGuarded(
      this->report, kThreadName, [this, &effect] { std::visit(Visitor{ *this }, effect); });
    if (!applied) {
      RunGuarded(this->report, kThreadName, [this, &effect] {
        std::visit([this](const auto& aEffect) { this->Recover(aEffect); }, effect);
      });
    }
  }
}

void
ProxyIo::Recover(const Forward& aEffect)
{
  this->events.Deliver(AttemptEnded({ .exchange = aEffect.Exchange(),
                                      .attempt = aEffect.Context().Attempt(),
                                      .outcome = ConnectFailed() }));
}

void
ProxyIo::Recover(const Dispatch& aEffect)
{
  this->events.Deliver(TargetEnded({ .exchange = aEffect.Exchange(), .outcome = ConnectFailed() }));
}

void
ProxyIo::Recover(const Relay& aEffect)
{
  this->RefuseUnknown(aEffect.Exchange());
}

void
ProxyIo::Recover(const Complete& aEffect)
{
  this->RefuseUnknown(aEffect.Exchange());
}

void
ProxyIo::RefuseUnknown(std::uint64_t aExchange)
{
  this->Apply(Refuse(
    { .exchange = aExchange, .code = ResultCode::kTargetFailed, .run = RunState::kUnknown }));
}

void
ProxyIo::Apply(const Refuse& aEffect)
{
  if (!this->entryExchanges.TryRefuse(aEffect)) {
    this->admittedExchanges.TryRefuse(aEffect);
  }
}

void
ProxyIo::Apply(const PhaseChanged& aEffect)
{
  this->context.draining = aEffect.GetPhase() == Phase::kDraining;
}

} // namespace jackdawwind::node
