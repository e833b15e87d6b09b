#include "node/admitted_exchanges.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <boost/asio/ip/address.hpp>

#include "node/http_headers.h"
#include "node/peer_exchange.h"

namespace jackdawwind::node {

namespace {

http::request_header<>
TargetHeader(const HttpRequest& aRequest)
{
  http::request_header<> header = EndToEndHeader(aRequest);
  StripReservedFields(header);
  return header;
}

} // namespace

HttpResponse
PeerRefusalResponse(ResultCode aCode)
{
  HttpResponse response = RefusalResponse(aCode, RunState::kNotRun);
  WritePeerResult(response, PeerResult{ .code = aCode, .run = RunState::kNotRun });
  return response;
}

void
AdmittedExchanges::OnRequest(const ServerConnection::Pointer& aConnection,
                             HttpRequest aRequest,
                             BodyReservation aReservation)
{
  BodyBudget& budget = this->context.network.budget;
  const std::optional<CallContext> callContext =
    ReadSealedCall(aRequest, this->context.settings.FleetSecret());
  if (!callContext) {
    ReportEvent(this->context.report, LogEvent::kBadPeerSeal, "kind=call");
    this->context.report(
      EarlyRefusal{ ResultCode::kBadPeerCredential, "the forwarded call has no valid seal" });
    aConnection->Respond(PeerRefusalResponse(ResultCode::kBadPeerCredential),
                         BodyReservation(budget),
                         AfterAnswer::kClose);
    return;
  }
  const std::uint64_t exchange = ++this->context.lastExchange;
  if (this->context.runningExchanges >= kMaxExchanges ||
      !this->context.events.TrySendArrival(
        AttemptArrived({ .exchange = exchange, .context = *callContext }))) {
    this->context.report(
      EarlyRefusal{ ResultCode::kNodeBusy, "no room in the exchange table or the event ring" });
    HttpResponse response = PeerRefusalResponse(ResultCode::kNodeBusy);
    WritePeerResult(response,
                    PeerResult{ .code = ResultCode::kNodeBusy,
                                .run = RunState::kNotRun,
                                .unusedAllowance = callContext->Allowance() });
    aConnection->Respond(std::move(response), BodyReservation(budget), AfterAnswer::kKeepAlive);
    return;
  }
  ++this->context.runningExchanges;
  http::request_header<> header = TargetHeader(aRequest);
  this->calls.emplace(exchange,
                      Call{ .connection = aConnection,
                            .header = std::move(header),
                            .body = std::make_shared<const std::string>(std::move(aRequest.body())),
                            .reservation = std::move(aReservation),
                            .running = {},
                            .answer = {} });
  aConnection->AwaitAnswer(exchange);
}

void
AdmittedExchanges::OnDisconnected(std::uint64_t aExchange)
{
  const auto found = this->calls.find(aExchange);
  if (found == this->calls.end()) {
    return;
  }
  found->second.connection.reset();
  this->context.events.Deliver(AttemptAbandoned({ .exchange = aExchange }));
  this->EraseWhenIdle(found);
}

void
AdmittedExchanges::Apply(const Dispatch& aEffect)
{
  const std::uint64_t exchange = aEffect.Exchange();
  const auto found = this->calls.find(exchange);
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(aEffect.Host(), error);
  if (found == this->calls.end() || error) {
    this->DeliverEnd(exchange, ConnectFailed());
    return;
  }
  Call& call = found->second;
  if (call.connection) {
    call.connection->SendInterim();
  }
  OutgoingRequest request{
    .endpoint = Tcp::endpoint(address, static_cast<std::uint16_t>(aEffect.Port())),
    .header = call.header,
    .body = call.body,
    .reuse = aEffect.Idempotent() ? Reuse::kAny : Reuse::kRecent,
    .timeout = aEffect.Remaining(),
    .silenceLimit = std::nullopt,
  };
  const std::chrono::milliseconds remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(aEffect.Remaining());
  request.header.set(kCallIdHeader, aEffect.CallId());
  request.header.set(kDeadlineHeader, std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
  call.running = OutgoingExchange::Start(
    this->context.network, std::move(request), [this, exchange](OutgoingResult aResult) {
      this->OnTargetDone(exchange, std::move(aResult));
    });
}

void
AdmittedExchanges::OnTargetDone(std::uint64_t aExchange, OutgoingResult aResult)
{
  const auto found = this->calls.find(aExchange);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  call.running.reset();
  struct Visitor
  {
    TargetOutcome operator()(CompleteAnswer& aAnswer) const
    {
      this->call.answer.emplace(std::move(aAnswer));
      return TargetAnswered({ .status = this->call.answer->response.result_int() });
    }
    TargetOutcome operator()(const NothingSent&) const { return ConnectFailed(); }
    TargetOutcome operator()(const ConnectionBroken&) const { return Lost(); }
    TargetOutcome operator()(const DeadlineExceeded&) const { return TimedOut(); }

    Call& call;
  };
  this->DeliverEnd(aExchange, std::visit(Visitor{ call }, aResult));
  this->EraseWhenIdle(found);
}

void
AdmittedExchanges::DeliverEnd(std::uint64_t aExchange, const TargetOutcome& aOutcome)
{
  this->context.events.Deliver(TargetEnded({ .exchange = aExchange, .outcome = aOutcome }));
}

void
AdmittedExchanges::Apply(const Complete& aEffect)
{
  const auto found = this->calls.find(aEffect.Exchange());
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  if (call.connection && call.answer) {
    PrepareForwardedAnswer(call.answer->response, call.header.method() == http::verb::head);
    WritePeerResult(call.answer->response,
                    PeerResult{ .code = ResultCode::kOk,
                                .run = RunState::kRan,
                                .unusedAllowance = aEffect.UnusedAllowance(),
                                .level = aEffect.Level(),
                                .load = aEffect.Load() });
    call.connection->Respond(std::move(call.answer->response),
                             std::move(call.answer->reservation),
                             AfterAnswer::kKeepAlive);
  }
  this->Erase(found);
}

void
AdmittedExchanges::Apply(const CancelDispatch& aEffect)
{
  const auto found = this->calls.find(aEffect.Exchange());
  if (found == this->calls.end()) {
    return;
  }
  if (found->second.running) {
    found->second.running->Cancel();
    found->second.running.reset();
  }
  this->EraseWhenIdle(found);
}

bool
AdmittedExchanges::TryRefuse(const Refuse& aEffect)
{
  const auto found = this->calls.find(aEffect.Exchange());
  if (found == this->calls.end()) {
    return false;
  }
  if (found->second.connection) {
    HttpResponse response = RefusalResponse(aEffect.Code(), aEffect.Run(), aEffect.RetryAfter());
    WritePeerResult(response,
                    PeerResult{ .code = aEffect.Code(),
                                .run = aEffect.Run(),
                                .unusedAllowance = aEffect.UnusedAllowance(),
                                .level = aEffect.Level(),
                                .load = aEffect.Load() });
    found->second.connection->Respond(
      std::move(response), BodyReservation(this->context.network.budget), AfterAnswer::kKeepAlive);
  }
  this->Erase(found);
  return true;
}

void
AdmittedExchanges::EraseWhenIdle(Calls::iterator aCall)
{
  if (!aCall->second.connection && !aCall->second.running) {
    this->Erase(aCall);
  }
}

void
AdmittedExchanges::Erase(Calls::iterator aCall)
{
  if (aCall->second.running) {
    aCall->second.running->Cancel();
  }
  this->calls.erase(aCall);
  --this->context.runningExchanges;
}

} // namespace jackdawwind::node
