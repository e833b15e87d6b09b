// One outgoing HTTP request to a node or target and its answer, on a connection that no other
// exchange uses meanwhile.
//
//   std::shared_ptr<OutgoingExchange> exchange =
//     OutgoingExchange::Start(network, std::move(request), [](OutgoingResult aResult) { ... });
//   exchange->Cancel();        // closes the connection; the handler does not run
//
// The handler runs exactly once unless the exchange is cancelled, and never inside Start. The
// answer is buffered until it is complete. The connection comes from the pool or is opened; it goes
// back to the pool after a complete exchange and is closed otherwise, so that a late answer cannot
// be matched to another call. Not thread-safe: all calls come from the thread that runs the
// io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

#include "node/body_budget.h"
#include "node/connection_pool.h"
#include "node/net.h"

namespace jackdawwind::node {

/// Resources and limits that all outgoing exchanges of a thread share.
struct OutgoingNetwork
{
  asio::io_context& io;
  ConnectionPool& pool;
  BodyBudget& budget;
  std::uint32_t maxHeaderBytes;
  std::uint32_t maxBodyBytes;
};

struct OutgoingRequest
{
  Tcp::endpoint endpoint;
  http::request_header<> header;
  /// Shared by all attempts that send the same body.
  std::shared_ptr<const std::string> body;
  Reuse reuse = Reuse::kRecent;
  /// Time limit for the whole exchange, connecting included, counted from Start().
  Duration timeout{};
  /// Longest time without a byte sent or received; nullopt for no such limit.
  std::optional<Duration> silenceLimit;
  /// Whether the end of the connection may delimit the body of an answer (RFC 9112, 6.3). Not
  /// allowed between nodes, since such an answer cannot be told from a truncated one. Otherwise it
  /// counts only if the request was written whole.
  bool allowCloseDelimited = false;
  /// Whether an answer belongs to this request; null to accept any. Other answers are read and
  /// dropped: a faulty target may send an answer twice, and the duplicate precedes the answer to
  /// the next request on the connection. The second argument is true if no other request was sent
  /// on the connection before.
  std::function<bool(const HttpResponse&, bool)> matchesRequest = nullptr;
};

/// An answer received to its end, with the memory reserved for its body.
struct CompleteAnswer
{
  HttpResponse response;
  BodyReservation reservation;
};

/// The exchange ended before any byte was written, usually since no connection could be opened. No
/// byte is written later.
struct NothingSent
{};

/// The exchange failed after the first byte was written: the connection broke, or the answer was
/// malformed, over a limit, without memory for its body or of an invalid status. The request may
/// have run.
struct ConnectionBroken
{
  /// Whether it failed since OutgoingRequest::silenceLimit passed.
  bool silent = false;
};

/// OutgoingRequest::timeout passed after the first byte was written. The request may have run.
struct DeadlineExceeded
{};

using OutgoingResult =
  std::variant<CompleteAnswer, NothingSent, ConnectionBroken, DeadlineExceeded>;

class OutgoingExchange : public std::enable_shared_from_this<OutgoingExchange>
{
public:
  using Done = std::function<void(OutgoingResult)>;

  /// Time limit for opening a connection; a slower node is treated as unreachable.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
  /// Number of answers to other requests that are dropped before the exchange fails as
  /// ConnectionBroken.
  static constexpr unsigned kMaxStrayAnswers = 3;
  /// Number of interim answers after which the exchange fails as ConnectionBroken. A node sends two
  /// a second; a faulty server may send them without end.
  static constexpr unsigned kMaxInterimAnswers = 1000;

  static std::shared_ptr<OutgoingExchange> Start(const OutgoingNetwork& aNetwork,
                                                 OutgoingRequest aRequest,
                                                 Done aDone);
  /// Closes the connection; the handler does not run.
  void Cancel();

  OutgoingExchange(const OutgoingNetwork& aNetwork, OutgoingRequest aRequest, Done aDone);

private:
  using Body = http::span_body<const char>;

  void Begin();
  void Connect();
  void OnConnected(const ErrorCode& aError);
  /// Writes the request, unless its time limit has passed.
  void BeginWrite();
  void WriteSome();
  void OnWritten(const ErrorCode& aError, std::size_t aBytes);
  void ReadAnswer();
  void ReadSome();
  void OnRead(const ErrorCode& aError);
  /// Whether the header section shows that no valid answer follows.
  bool HasInvalidHeader();
  /// Reserves memory for the body received or announced; false when the budget has too little.
  bool ReserveBody();
  void OnComplete();
  void ArmSilenceTimer();
  void OnSilence();
  void OnTimeout();
  bool MayHaveSent() const { return this->writing || this->anyWritten; }
  void Finish(OutgoingResult aResult);
  void Close();

  OutgoingNetwork network;
  OutgoingRequest request;
  Done done;
  Time deadline{};
  std::optional<PooledConnection> connection;
  bool reused = false;
  /// Whether a write has begun whose result is not known yet. It may have sent bytes: the system
  /// takes them when a write begins, and handlers that are ready already run before OnWritten.
  bool writing = false;
  bool anyWritten = false;
  unsigned strayAnswers = 0;
  unsigned interimAnswers = 0;
  http::request<Body> message;
  std::optional<http::request_serializer<Body>> serializer;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  BodyReservation reservation;
  OperationTimer totalTimer;
  OperationTimer stepTimer;
};

} // namespace jackdawwind::node
