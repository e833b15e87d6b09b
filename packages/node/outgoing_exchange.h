// One request to a node or target and its complete answer, on a connection of its own.
//
//   std::shared_ptr<OutgoingExchange> exchange =
//     OutgoingExchange::Start(network, std::move(request), [](OutgoingResult aResult) { ... });
//   exchange->Cancel();        // closes the connection; the handler does not run
//
// The handler runs exactly once unless the exchange is cancelled, and never inside Start. An answer
// is buffered whole; a connection whose exchange did not complete is closed, so that a late answer
// cannot be taken for another call's. Not safe for more than one thread.
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

/// What all outgoing exchanges share.
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
  /// Shared, since the same body may be sent again.
  std::shared_ptr<const std::string> body;
  Reuse reuse = Reuse::kRecent;
  /// Limit of the whole exchange.
  Duration timeout{};
  /// Longest time without any byte; nothing for no such limit.
  std::optional<Duration> silenceLimit;
  /// Whether an answer without a length may end with its connection. Between nodes it may not,
  /// since it cannot be told from a truncated one.
  bool allowCloseDelimited = false;
  /// Whether an answer is one to this request; empty for any. Others are read and dropped: a faulty
  /// target may send an answer twice, and the second stands where the next one is expected.
  std::function<bool(const HttpResponse&)> matchesRequest = nullptr;
};

/// A complete answer.
struct CompleteAnswer
{
  HttpResponse response;
  BodyReservation reservation;
};

/// No connection could be opened; no byte was written.
struct NothingSent
{};

/// The exchange broke after the first byte was written.
struct ConnectionBroken
{
  /// Whether it ended because nothing was received for too long.
  bool silent = false;
};

/// The time limit passed after the first byte was written.
struct DeadlineExceeded
{};

using OutgoingResult =
  std::variant<CompleteAnswer, NothingSent, ConnectionBroken, DeadlineExceeded>;

class OutgoingExchange : public std::enable_shared_from_this<OutgoingExchange>
{
public:
  using Done = std::function<void(OutgoingResult)>;

  /// Time in which a connection must be open; a slower node counts as not reachable.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
  /// Answers to other requests that are dropped before the connection counts as broken.
  static constexpr unsigned kMaxStrayAnswers = 3;

  static std::shared_ptr<OutgoingExchange> Start(const OutgoingNetwork& aNetwork,
                                                 OutgoingRequest aRequest,
                                                 Done aDone);
  void Cancel();

  OutgoingExchange(const OutgoingNetwork& aNetwork, OutgoingRequest aRequest, Done aDone);

private:
  using Body = http::span_body<const char>;

  void Begin();
  void Connect();
  void OnConnected(const ErrorCode& aError);
  void WriteSome();
  void OnWritten(const ErrorCode& aError, std::size_t aBytes);
  void ReadAnswer();
  void ReadSome();
  void OnRead(const ErrorCode& aError);
  bool ReserveBody();
  void OnComplete();
  void ArmSilenceTimer();
  void OnSilence();
  void OnTimeout();
  void Finish(OutgoingResult aResult);
  void Close();

  OutgoingNetwork network;
  OutgoingRequest request;
  Done done;
  std::optional<PooledConnection> connection;
  bool reused = false;
  bool anyWritten = false;
  unsigned strayAnswers = 0;
  http::request<Body> message;
  std::optional<http::request_serializer<Body>> serializer;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  BodyReservation reservation;
  OperationTimer totalTimer;
  OperationTimer stepTimer;
};

} // namespace jackdawwind::node
