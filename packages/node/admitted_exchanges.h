// Calls that other nodes forwarded to the target beside this node.
//
// Effects for exchanges that are gone have no result, except that a dispatch of one ends at once as
// not sent. Not safe for more than one thread.
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

  /// Takes a forwarded request that was read whole.
  void OnRequest(const ServerConnection::Pointer& aConnection,
                 HttpRequest aRequest,
                 BodyReservation aReservation);
  /// The entry node closed the connection.
  void OnDisconnected(std::uint64_t aExchange);

  void Apply(const Dispatch& aEffect);
  void Apply(const Complete& aEffect);
  void Apply(const CancelDispatch& aEffect);
  /// False when the exchange is not one of these.
  bool TryRefuse(const Refuse& aEffect);

private:
  struct Call
  {
    /// Empty once the entry node left.
    ServerConnection::Pointer connection;
    http::request_header<> header;
    std::shared_ptr<const std::string> body;
    BodyReservation reservation;
    std::shared_ptr<OutgoingExchange> running;
    std::optional<CompleteAnswer> answer;
  };

  using Calls = std::unordered_map<std::uint64_t, Call>;

  void OnTargetDone(std::uint64_t aExchange, OutgoingResult aResult);
  void DeliverEnd(std::uint64_t aExchange, const TargetOutcome& aOutcome);
  void EraseWhenIdle(Calls::iterator aCall);
  void Erase(Calls::iterator aCall);

  ProxyContext& context;
  Calls calls;
};

/// Answer to an entry node for a refusal that the I/O thread makes by itself.
HttpResponse PeerRefusalResponse(ResultCode aCode);

} // namespace jackdawwind::node
