#include "node/reporting.h"

#include <bit>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>

#include "node/handler_guard.h"
#include "node/http_headers.h"
#include "values/text.h"
#include "wire/codec.h"
#include "wire/crypto.h"
#include "wire/generated/calls_codec.h"

namespace jackdawwind::node {

namespace {

constexpr std::string_view kBearer = "Bearer ";

HttpResponse
TextResponse(http::status aStatus, std::string aText)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = std::move(aText);
  response.prepare_payload();
  return response;
}

} // namespace

Reporting::OpenResult
Reporting::Open(const NodeSettings& aSettings, Ring<Event>& aEvents)
{
  std::unique_ptr<Reporting> reporting = std::make_unique<Reporting>(aSettings, aEvents);
  Listener::OpenResult opened = Listener::Open(reporting->io, aSettings.Admin());
  if (const ListenError* error = std::get_if<ListenError>(&opened)) {
    return *error;
  }
  reporting->listener = std::get<std::unique_ptr<Listener>>(std::move(opened));
  return reporting;
}

Reporting::Reporting(const NodeSettings& aSettings, Ring<Event>& aEvents)
  : settings(aSettings)
  , events(aEvents)
  , log(aSettings.GetLogLevel(), aSettings.Node())
  , budget(kBodyMemoryBytes)
  , io(1)
  , batchTimer(this->io)
  , reports(kReportRingCapacity, [this] { asio::post(this->io, [this] { this->BeginBatch(); }); })
{
}

Reporting::~Reporting()
{
  this->Stop();
}

void
Reporting::Start()
{
  this->listener->Start([this](Tcp::socket aSocket) { this->Accept(std::move(aSocket)); });
  this->thread = std::thread([this] {
    RunEventLoop(
      this->io, [this](ReportItem aItem) { this->Submit(std::move(aItem)); }, "reporting");
  });
}

void
Reporting::Submit(ReportItem aItem)
{
  const bool urgent =
    std::holds_alternative<PhaseChanged>(aItem) || std::holds_alternative<StatusReady>(aItem);
  if (!this->reports.PushDroppingOldest(std::move(aItem)) && !this->reports.Closed()) {
    // This pushes out a second report; both are counted as one drop.
    this->reports.PushDroppingOldest(ItemDropped{ "reports" });
  }
  if (urgent) {
    asio::post(this->io, [this] { this->ApplyReports(); });
  }
}

void
Reporting::Stop()
{
  this->reports.Close();
  if (!this->thread.joinable()) {
    return;
  }
  asio::post(this->io, [this] {
    this->ApplyReports();
    this->io.stop();
  });
  this->thread.join();
}

void
Reporting::Accept(Tcp::socket aSocket)
{
  if (*this->connectionCount >= kMaxConnections) {
    return;
  }
  ServerConnection::Handlers handlers;
  handlers.disconnected = [this](std::uint64_t aTicket) { this->waiters.erase(aTicket); };
  handlers.reject = [](const Rejection& aRejection) {
    return RefusalResponse(aRejection.code, RunState::kNotRun);
  };
  handlers.request = [this](const ServerConnection::Pointer& aConnection,
                            const HttpRequest& aRequest,
                            const BodyReservation&) { this->OnRequest(aConnection, aRequest); };
  const ServerConnection::Options options{ .maxHeaderBytes = kMaxHeaderBytes,
                                           .maxBodyBytes = kMaxBodyBytes,
                                           .interimInterval = std::nullopt };
  std::make_shared<ServerConnection>(
    std::move(aSocket), this->io, this->budget, this->connectionCount, options, std::move(handlers))
    ->Start();
}

void
Reporting::OnRequest(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest)
{
  const beast::string_view target = aRequest.target();
  const bool isGet = aRequest.method() == http::verb::get;
  if (isGet && target == "/health") {
    this->Answer(aConnection, TextResponse(http::status::ok, "alive\n"));
  } else if (isGet && target == "/health/ready") {
    const bool ready = this->phase == Phase::kServing;
    this->Answer(aConnection,
                 TextResponse(ready ? http::status::ok : http::status::service_unavailable,
                              std::string(ToText(this->phase)) + "\n"));
  } else if (isGet && target == "/metrics") {
    this->Answer(aConnection, TextResponse(http::status::ok, this->metrics.Text()));
  } else if ((isGet && target == "/status") ||
             (aRequest.method() == http::verb::post && target == "/drain")) {
    if (!this->IsAuthorised(aRequest)) {
      this->Answer(aConnection, RefusalResponse(ResultCode::kUnauthorized, RunState::kNotRun));
    } else if (isGet) {
      this->OnStatus(aConnection);
    } else {
      this->OnDrain(aConnection);
    }
  } else {
    this->Answer(aConnection, TextResponse(http::status::not_found, "not found\n"));
  }
}

bool
Reporting::IsAuthorised(const HttpRequest& aRequest) const
{
  const beast::string_view header = aRequest[http::field::authorization];
  const std::string_view value(header.data(), header.size());
  if (!value.starts_with(kBearer)) {
    return false;
  }
  // Both seals have the same length, so the comparison takes constant time for a token of any
  // length.
  return wire::SealMatches(
    "admin", this->settings.AdminToken(), wire::Seal("admin", value.substr(kBearer.size())));
}

void
Reporting::OnStatus(const ServerConnection::Pointer& aConnection)
{
  const std::uint64_t ticket = ++this->lastTicket;
  if (!this->events.TryPush(StatusRequested({ .ticket = ticket }))) {
    this->Answer(aConnection, RefusalResponse(ResultCode::kNodeBusy, RunState::kNotRun));
    return;
  }
  const std::shared_ptr<OperationTimer> timer = std::make_shared<OperationTimer>(this->io);
  this->waiters[ticket] = StatusWaiter{ aConnection, timer };
  timer->Arm(kStatusTimeout, [this, ticket, timer] {
    const auto waiter = this->waiters.find(ticket);
    if (waiter != this->waiters.end()) {
      this->Answer(waiter->second.connection,
                   RefusalResponse(ResultCode::kNodeBusy, RunState::kNotRun));
      this->waiters.erase(ticket);
    }
  });
  aConnection->AwaitAnswer(ticket);
}

void
Reporting::OnDrain(const ServerConnection::Pointer& aConnection)
{
  if (this->events.TryPush(DrainRequested())) {
    this->Answer(aConnection, TextResponse(http::status::accepted, "draining\n"));
  } else {
    this->Answer(aConnection, RefusalResponse(ResultCode::kNodeBusy, RunState::kNotRun));
  }
}

void
Reporting::Answer(const ServerConnection::Pointer& aConnection, HttpResponse aResponse)
{
  aConnection->Respond(
    std::move(aResponse), BodyReservation(this->budget), AfterAnswer::kKeepAlive);
}

void
Reporting::BeginBatch()
{
  this->batchTimer.expires_after(kBatchInterval);
  this->batchTimer.async_wait([this](const ErrorCode& aError) {
    if (!aError) {
      this->ApplyReports();
    }
  });
}

void
Reporting::ApplyReports()
{
  for (const ReportItem& item : this->reports.PopReady()) {
    std::visit([this](const auto& aItem) { this->Apply(aItem); }, item);
  }
  this->log.Flush();
}

void
Reporting::Apply(const LogLine& aItem)
{
  this->metrics.Count(aItem.GetEvent());
  this->log.Write(aItem.GetEvent(), aItem.Detail());
}

void
Reporting::Apply(const CallMeasured& aItem)
{
  this->metrics.Record(aItem);
}

void
Reporting::Apply(const MetricUpdated& aItem)
{
  this->metrics.Update(aItem);
}

void
Reporting::Apply(const PhaseChanged& aItem)
{
  this->phase = aItem.GetPhase();
}

void
Reporting::Apply(const StatusReady& aItem)
{
  const auto waiter = this->waiters.find(aItem.Ticket());
  if (waiter == this->waiters.end()) {
    return;
  }
  HttpResponse response = TextResponse(http::status::ok, wire::EncodeText(aItem.Status()));
  response.set(http::field::content_type, "application/json");
  this->Answer(waiter->second.connection, std::move(response));
  waiter->second.timer->Disarm();
  this->waiters.erase(waiter);
}

void
Reporting::Apply(const ItemDropped& aItem)
{
  const std::uint64_t total = this->metrics.CountDrop(aItem.ring);
  // Logged only when the total is a power of two, so that continued drops do not flood the log.
  if (std::has_single_bit(total)) {
    this->log.Write(LogEvent::kRingFull, "ring=" + aItem.ring + " total=" + std::to_string(total));
  }
}

void
Reporting::Apply(const EarlyRefusal& aItem)
{
  this->metrics.CountRefusal(aItem.code);
  this->log.Write(LogEvent::kCallRefused,
                  "code=" + std::to_string(static_cast<unsigned>(aItem.code)) + " reason=\"" +
                    aItem.reason + "\"");
}

void
Reporting::Apply(const ControlTrafficReport& aItem)
{
  std::string detail;
  for (const ControlTraffic& traffic : aItem.sent) {
    this->metrics.Count(traffic);
    detail += (detail.empty() ? "" : " ") + traffic.kind + "/" +
              std::string(ToText(traffic.distance)) + "=" + std::to_string(traffic.messages) + "/" +
              std::to_string(traffic.bytes);
  }
  this->log.Write(LogEvent::kControlTraffic, detail);
}

} // namespace jackdawwind::node
