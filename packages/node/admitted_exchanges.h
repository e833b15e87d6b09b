// Table of the calls that entry nodes forwarded to this node, the admitting node, for its target.
//
// OnRequest checks the seal of a forwarded call and reports it to the decisions, whose effects then
// dispatch the call to the target, return the target's answer to the entry node, or refuse the
// call. Effects for an exchange that has ended are ignored, except that a Dispatch is reported as
// ConnectFailed at once, since the decisions wait for its outcome. Not thread-safe: belongs to the
// I/O thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "node/outgoing_exchange.h"
#include "node/proxy_context.h"
#include "node/server_connection.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

class AdmittedExchanges
{
public:
  explicit AdmittedExchanges(ProxyContext& aContext)
    : context(aContext)
  {
  }

  /// Starts an exchange for a complete forwarded request, or refuses the request.
  void OnRequest(const ServerConnection::Pointer& aConnection,
                 HttpRequest aRequest,
                 BodyReservation aReservation);
  /// Reports to the decisions that the entry node closed the connection before the answer.
  void OnDisconnected(std::uint64_t aExchange);

  void Apply(const Dispatch& aEffect);
  void Apply(const Complete& aEffect);
  void Apply(const CancelDispatch& aEffect);
  /// Refuses the exchange; returns false when it is not in this table.
  bool TryRefuse(const Refuse& aEffect);

private:
  struct Call
  {
    /// Null once the entry node has disconnected.
    ServerConnection::Pointer connection;
    http::request_header<> header;
    std::shared_ptr<const std::string> body;
    BodyReservation reservation;
    /// Exchange with the target in progress; null otherwise.
    std::shared_ptr<OutgoingExchange> running;
    std::optional<CompleteAnswer> answer;
  };

  using Calls = std::unordered_map<std::uint64_t, Call>;

  void OnTargetDone(std::uint64_t aExchange, OutgoingResult aResult);
  void DeliverEnd(std::uint64_t aExchange, const TargetOutcome& aOutcome);
  /// Erases the call once its entry node has disconnected and no dispatch is in progress.
  void EraseWhenIdle(Calls::iterator aCall);
  void Erase(Calls::iterator aCall);

  ProxyContext& context;
  Calls calls;
};

/// Answer to an entry node for a refusal that the I/O thread makes without the decisions. The call
/// was not run.
HttpResponse PeerRefusalResponse(ResultCode aCode);

} // namespace jackdawwind::node
