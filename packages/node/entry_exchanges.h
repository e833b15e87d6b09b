// Calls that entered at this node: callers' exchanges, their attempts and the kept answers.
//
// Effects for exchanges that are gone have no result, except that a forward of one ends at once as
// not sent, so that the decisions do not wait for it. Not safe for more than one thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "node/caller_request.h"
#include "node/outgoing_exchange.h"
#include "node/proxy_context.h"
#include "node/server_connection.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

class EntryExchanges
{
public:
  /// Longest time without a byte from the admitting node, three of its interim intervals.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(1500);

  explicit EntryExchanges(ProxyContext& aContext)
    : context(aContext)
  {
  }

  /// Takes a request that was read whole.
  void OnRequest(const ServerConnection::Pointer& aConnection,
                 ListenerKind aListener,
                 HttpRequest aRequest,
                 BodyReservation aReservation);
  /// The caller left.
  void OnDisconnected(std::uint64_t aExchange);

  void Apply(const Forward& aEffect);
  void Apply(const Relay& aEffect);
  void Apply(const CancelAttempt& aEffect);
  /// False when the exchange is not one of these.
  bool TryRefuse(const Refuse& aEffect);
  /// Closes the idle connections to a node.
  void Apply(const ForgetPeer& aEffect);

private:
  struct Attempt
  {
    std::shared_ptr<OutgoingExchange> running;
    std::optional<CompleteAnswer> answer;
  };

  struct Call
  {
    using Attempts = std::map<std::uint32_t, Attempt>;

    /// Empty once the caller left.
    ServerConnection::Pointer connection;
    http::request_header<> header;
    std::shared_ptr<const std::string> body;
    BodyReservation reservation;
    Attempts attempts;
  };

  using Calls = std::unordered_map<std::uint64_t, Call>;

  void OnAttemptDone(std::uint64_t aExchange,
                     std::uint32_t aAttempt,
                     const std::string& aPeer,
                     OutgoingResult aResult);
  AttemptOutcome RecordAnswer(Attempt& aAttempt, CompleteAnswer aAnswer);
  void DeliverEnd(std::uint64_t aExchange, std::uint32_t aAttempt, const AttemptOutcome& aOutcome);
  void EraseWhenIdle(Calls::iterator aCall);
  void Erase(Calls::iterator aCall);
  AfterAnswer ConnectionAfterAnswer() const;

  ProxyContext& context;
  Calls calls;
  std::map<std::string, Tcp::endpoint> peers;
};

} // namespace jackdawwind::node
