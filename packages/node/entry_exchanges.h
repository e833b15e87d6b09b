// Table of the calls that entered at this node, with their attempts and the buffered answers.
//
// OnRequest reports a caller's request to the decisions, whose effects then forward attempts to
// admitting nodes, relay the answer of one attempt to the caller, or refuse the call. Effects for
// an exchange that has ended are ignored, except that a Forward is reported as ConnectFailed at
// once, since the decisions wait for its outcome. Not thread-safe: belongs to the I/O thread.
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
  /// An attempt fails after this time without a byte sent or received. Three times the interval at
  /// which admitting nodes send interim responses.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(1500);

  explicit EntryExchanges(ProxyContext& aContext)
    : context(aContext)
  {
  }

  /// Starts an exchange for a complete request, or refuses the request.
  void OnRequest(const ServerConnection::Pointer& aConnection,
                 ListenerKind aListener,
                 HttpRequest aRequest,
                 BodyReservation aReservation);
  /// Reports to the decisions that the caller disconnected before the answer.
  void OnDisconnected(std::uint64_t aExchange);

  void Apply(const Forward& aEffect);
  void Apply(const Relay& aEffect);
  void Apply(const CancelAttempt& aEffect);
  /// Refuses the exchange; returns false when it is not in this table.
  bool TryRefuse(const Refuse& aEffect);
  /// Closes the idle connections to a node.
  void Apply(const ForgetPeer& aEffect);

private:
  struct Attempt
  {
    /// Exchange with the admitting node in progress; null otherwise.
    std::shared_ptr<OutgoingExchange> running;
    std::optional<CompleteAnswer> answer;
  };

  struct Call
  {
    using Attempts = std::map<std::uint32_t, Attempt>;

    /// Null once the caller has disconnected.
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
  /// Stores the answer for a later Relay; Lost when it carries no valid PeerResult.
  AttemptOutcome RecordAnswer(Attempt& aAttempt, CompleteAnswer aAnswer);
  void DeliverEnd(std::uint64_t aExchange, std::uint32_t aAttempt, const AttemptOutcome& aOutcome);
  /// Erases the call once its caller has disconnected and no attempt is in progress.
  void EraseWhenIdle(Calls::iterator aCall);
  void Erase(Calls::iterator aCall);
  /// kClose while the node drains.
  AfterAnswer ConnectionAfterAnswer() const;

  ProxyContext& context;
  Calls calls;
  /// Last endpoint used for each node, by node name.
  std::map<std::string, Tcp::endpoint> peers;
};

} // namespace jackdawwind::node
