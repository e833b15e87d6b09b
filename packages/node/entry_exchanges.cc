#include "node/entry_exchanges.h"

#include <utility>
#include <variant>

#include <boost/asio/ip/address.hpp>

#include "node/handler_guard.h"
#include "node/http_headers.h"
#include "node/peer_exchange.h"

namespace jackdawwind::node {

void
EntryExchanges::OnRequest(const ServerConnection::Pointer& aConnection,
                          ListenerKind aListener,
                          HttpRequest aRequest,
                          BodyReservation aReservation)
{
  const std::uint64_t exchange = ++this->context.lastExchange;
  const std::variant<ParsedCall, Rejection> read =
    ParseCallerRequest(aRequest, aListener, exchange);
  BodyBudget& budget = this->context.network.budget;
  if (const Rejection* rejection = std::get_if<Rejection>(&read)) {
    this->context.report(EarlyRefusal{ rejection->code, rejection->reason });
    aConnection->Respond(RefusalResponse(rejection->code, RunState::kNotRun),
                         BodyReservation(budget),
                         AfterAnswer::kClose);
    return;
  }
  const ParsedCall& call = std::get<ParsedCall>(read);
  if (this->context.runningExchanges >= kMaxExchanges ||
      !this->context.events.TrySendArrival(call.event)) {
    this->context.report(
      EarlyRefusal{ ResultCode::kNodeBusy, "no room in the exchange table or the event ring" });
    aConnection->Respond(RefusalResponse(ResultCode::kNodeBusy, RunState::kNotRun),
                         BodyReservation(budget),
                         this->ConnectionAfterAnswer());
    return;
  }
  ++this->context.runningExchanges;
  http::request_header<> header = ForwardedHeader(aRequest, call.requestTarget);
  this->calls.emplace(exchange,
                      Call{ .connection = aConnection,
                            .header = std::move(header),
                            .body = std::make_shared<const std::string>(std::move(aRequest.body())),
                            .reservation = std::move(aReservation),
                            .attempts = {} });
  aConnection->AwaitAnswer(exchange);
}

void
EntryExchanges::OnDisconnected(std::uint64_t aExchange)
{
  const auto found = this->calls.find(aExchange);
  if (found == this->calls.end()) {
    return;
  }
  found->second.connection.reset();
  this->context.events.Deliver(CallAbandoned({ .exchange = aExchange }));
  this->EraseWhenIdle(found);
}

void
EntryExchanges::Apply(const Forward& aEffect)
{
  const std::uint64_t exchange = aEffect.Exchange();
  const std::uint32_t number = aEffect.Context().Attempt();
  const auto found = this->calls.find(exchange);
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(aEffect.Peer().Host(), error);
  if (found == this->calls.end() || error) {
    this->DeliverEnd(exchange, number, ConnectFailed());
    return;
  }
  Call& call = found->second;
  const std::string& peer = aEffect.Peer().Node();
  const Tcp::endpoint endpoint(address, static_cast<std::uint16_t>(aEffect.Peer().CallPort()));
  this->peers[peer] = endpoint;
  OutgoingRequest request{ .endpoint = endpoint,
                           .header = call.header,
                           .body = call.body,
                           .reuse = aEffect.Context().Idempotent() ? Reuse::kAny : Reuse::kRecent,
                           .timeout = aEffect.Timeout(),
                           .silenceLimit = kSilenceLimit };
  SealCall(request.header, aEffect.Context(), *call.body, this->context.settings.FleetSecret());
  call.attempts[number].running =
    OutgoingExchange::Start(this->context.network,
                            std::move(request),
                            [this, exchange, number, peer](OutgoingResult aResult) {
                              this->OnAttemptDone(exchange, number, peer, std::move(aResult));
                            });
}

void
EntryExchanges::OnAttemptDone(std::uint64_t aExchange,
                              std::uint32_t aAttempt,
                              const std::string& aPeer,
                              OutgoingResult aResult)
{
  const auto found = this->calls.find(aExchange);
  if (found == this->calls.end()) {
    return;
  }
  Attempt& attempt = found->second.attempts[aAttempt];
  attempt.running.reset();
  struct Visitor
  {
    AttemptOutcome operator()(CompleteAnswer& aAnswer) const
    {
      return this->self.RecordAnswer(this->attempt, std::move(aAnswer));
    }
    AttemptOutcome operator()(const NothingSent&) const { return ConnectFailed(); }
    AttemptOutcome operator()(const ConnectionBroken& aBroken) const
    {
      if (aBroken.silent) {
        ReportEvent(this->self.context.report, LogEvent::kSilentConnection, "peer=" + this->peer);
      }
      return Lost();
    }
    AttemptOutcome operator()(const DeadlineExceeded&) const { return TimedOut(); }

    EntryExchanges& self;
    Attempt& attempt;
    const std::string& peer;
  };
  AttemptOutcome outcome = Lost();
  RunGuarded(this->context.report, "proxy_io", [&] {
    outcome = std::visit(Visitor{ *this, attempt, aPeer }, aResult);
  });
  this->DeliverEnd(aExchange, aAttempt, outcome);
  this->EraseWhenIdle(found);
}

AttemptOutcome
EntryExchanges::RecordAnswer(Attempt& aAttempt, CompleteAnswer aAnswer)
{
  const std::optional<PeerResult> result = ReadPeerResult(aAnswer.response);
  if (!result) {
    return Lost();
  }
  aAttempt.answer.emplace(std::move(aAnswer));
  return Answered({ .status = aAttempt.answer->response.result_int(),
                    .code = result->code,
                    .run = result->run,
                    .unusedAllowance = result->unusedAllowance,
                    .level = result->level,
                    .load = result->load });
}

void
EntryExchanges::DeliverEnd(std::uint64_t aExchange,
                           std::uint32_t aAttempt,
                           const AttemptOutcome& aOutcome)
{
  this->context.events.Deliver(
    AttemptEnded({ .exchange = aExchange, .attempt = aAttempt, .outcome = aOutcome }));
}

void
EntryExchanges::Apply(const Relay& aEffect)
{
  const auto found = this->calls.find(aEffect.Exchange());
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  const auto attempt = call.attempts.find(aEffect.Attempt());
  if (call.connection && attempt != call.attempts.end() && attempt->second.answer) {
    CompleteAnswer& answer = *attempt->second.answer;
    PrepareRelayedAnswer(answer.response);
    call.connection->Respond(
      std::move(answer.response), std::move(answer.reservation), this->ConnectionAfterAnswer());
  }
  this->Erase(found);
}

void
EntryExchanges::Apply(const CancelAttempt& aEffect)
{
  const auto found = this->calls.find(aEffect.Exchange());
  if (found == this->calls.end()) {
    return;
  }
  const auto attempt = found->second.attempts.find(aEffect.Attempt());
  if (attempt != found->second.attempts.end() && attempt->second.running) {
    attempt->second.running->Cancel();
    attempt->second.running.reset();
  }
  this->EraseWhenIdle(found);
}

bool
EntryExchanges::TryRefuse(const Refuse& aEffect)
{
  const auto found = this->calls.find(aEffect.Exchange());
  if (found == this->calls.end()) {
    return false;
  }
  if (found->second.connection) {
    found->second.connection->Respond(
      RefusalResponse(aEffect.Code(), aEffect.Run(), aEffect.RetryAfter()),
      BodyReservation(this->context.network.budget),
      this->ConnectionAfterAnswer());
  }
  this->Erase(found);
  return true;
}

void
EntryExchanges::Apply(const ForgetPeer& aEffect)
{
  const auto found = this->peers.find(aEffect.Node());
  if (found != this->peers.end()) {
    this->context.network.pool.Discard(found->second);
    this->peers.erase(found);
  }
}

void
EntryExchanges::EraseWhenIdle(Calls::iterator aCall)
{
  if (aCall->second.connection) {
    return;
  }
  for (const Call::Attempts::value_type& attempt : aCall->second.attempts) {
    if (attempt.second.running) {
      return;
    }
  }
  this->Erase(aCall);
}

void
EntryExchanges::Erase(Calls::iterator aCall)
{
  for (const Call::Attempts::value_type& attempt : aCall->second.attempts) {
    if (attempt.second.running) {
      attempt.second.running->Cancel();
    }
  }
  this->calls.erase(aCall);
  --this->context.runningExchanges;
}

AfterAnswer
EntryExchanges::ConnectionAfterAnswer() const
{
  return this->context.draining ? AfterAnswer::kClose : AfterAnswer::kKeepAlive;
}

} // namespace jackdawwind::node
