// One accepted HTTP connection: reads complete requests and writes their answers in the order of
// the requests.
//
//   std::shared_ptr<ServerConnection> connection =
//     std::make_shared<ServerConnection>(std::move(socket), options, handlers);
//   connection->Start();
//   // in handlers.request:
//   connection->AwaitAnswer(exchange);       // a disconnect calls handlers.disconnected(exchange)
//   connection->Respond(response, reservation, AfterAnswer::kKeepAlive);
//
// Malformed and oversized requests are refused here, and their connections closed. While an answer
// is awaited the connection is read, in order to notice when the client disconnects.
//
// A client may send further requests before an answer (pipelining). Up to Options::maxPipelined of
// them are passed on at once, so that a request does not wait for the work of those before it; a
// finished answer waits until the earlier ones are written. Only requests with a safe method (RFC
// 9110, 9.2.1) are passed on beside others: a client may repeat what stands behind an answer that
// closes the connection, whether it ran or not. For the same reason an answer closes the connection
// only if no request behind it has been passed on. Further bytes are buffered up to a limit; beyond
// it the connection is not read, which bounds the memory of a client that sends without reading.
//
// Handlers run on the thread of the event loop. Not thread-safe. The connection keeps itself alive
// while an operation is pending.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "node/body_budget.h"
#include "node/http_headers.h"
#include "node/net.h"

namespace jackdawwind::node {

/// Whether a connection stays open after an answer.
enum class AfterAnswer
{
  kKeepAlive,
  kClose,
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using Pointer = std::shared_ptr<ServerConnection>;

  struct Handlers
  {
    /// Handles a complete request. If it throws, the request is refused as not run and the
    /// exception goes on to the event loop.
    std::function<void(const Pointer&, HttpRequest, BodyReservation)> request;
    /// Called when the client disconnects before the answer to the exchange passed to AwaitAnswer.
    std::function<void(std::uint64_t)> disconnected;
    /// Returns the answer to a request that cannot be read.
    std::function<HttpResponse(const Rejection&)> reject;
  };

  struct Options
  {
    std::uint32_t maxHeaderBytes;
    std::uint32_t maxBodyBytes;
    /// Interval of interim responses (102 Processing); nullopt for none. They start once the header
    /// section is read, so that neither a long body nor a long wait in a queue looks like a silent
    /// connection.
    std::optional<Duration> interimInterval;
    /// Requests of the connection that may be in progress at once, at least 1. Answers to requests
    /// beyond the first must name their exchange.
    std::size_t maxPipelined = 1;
  };

  /// Time limit for an idle connection and for reading a header section.
  static constexpr Duration kHeaderTimeout = std::chrono::seconds(60);
  static constexpr Duration kBodyTimeout = std::chrono::seconds(30);
  static constexpr Duration kWriteTimeout = std::chrono::seconds(30);

  /// aBudget must outlive the connection. *aOpenCount is incremented here and decremented by the
  /// destructor.
  ServerConnection(Tcp::socket aSocket,
                   asio::io_context& aIo,
                   BodyBudget& aBudget,
                   std::shared_ptr<std::size_t> aOpenCount,
                   const Options& aOptions,
                   Handlers aHandlers);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Starts to read requests.
  void Start();

  /// Address of the other end; nothing once the connection is broken.
  std::optional<asio::ip::address> RemoteAddress() const;

  /// Watches for a disconnect until the answer to the request that was passed on last, which is
  /// aExchange from now on; must not be 0.
  void AwaitAnswer(std::uint64_t aExchange);

  /// Writes the answer to the request that was passed on last, and holds aReservation until it is
  /// written. Does nothing when the connection is closed or already has this answer.
  void Respond(HttpResponse aResponse, BodyReservation aReservation, AfterAnswer aAfter);
  /// Writes the answer to the request of this exchange after the answers to all earlier ones.
  void RespondTo(std::uint64_t aExchange,
                 HttpResponse aResponse,
                 BodyReservation aReservation,
                 AfterAnswer aAfter);

  /// Sends an interim response at once, unless a write is in progress or an answer is set.
  void SendInterim();

  /// Whether an answer is set or anything is being written.
  bool IsWriting() const;

private:
  /// A request that was passed on or refused, and its answer.
  struct PendingAnswer
  {
    /// Exchange whose answer is awaited; 0 for none.
    std::uint64_t exchange = 0;
    bool keepAlive = true;
    bool isHead = false;
    bool isSafe = false;
    /// Whether the request was read to its end.
    bool complete = true;
    std::optional<HttpResponse> response;
    BodyReservation reservation;
  };

  using PendingAnswers = std::deque<PendingAnswer>;

  void ReadHeader();
  void OnHeader(const ErrorCode& aError);
  void BeginBody();
  void ReadBody();
  void OnBody(const ErrorCode& aError);
  bool ReserveBody();
  void SendContinue();
  /// Whether the request that was read may be passed on beside those that are in progress.
  bool MayHandleNow() const;
  /// Passes the request on, and rejects it if the handler throws.
  void HandleRequest();
  /// Reads the next request, or only watches for a disconnect.
  void ContinueReading();
  PendingAnswer& AddPending(bool aComplete);
  void SetAnswer(PendingAnswer& aPending,
                 HttpResponse aResponse,
                 BodyReservation aReservation,
                 AfterAnswer aAfter);
  void Reject(ResultCode aCode, const std::string& aReason);
  void RejectError(const ErrorCode& aError);
  void ArmIdleTimer();
  void WatchForDisconnect();
  void OnWatchRead(const ErrorCode& aError, std::size_t aBytes);
  void ArmInterim();
  void WriteAnswer();
  void OnAnswerWritten(const ErrorCode& aError);
  void Linger(bool aRequestComplete);
  void ReadLinger(std::size_t aRemainingBytes);
  void Close();

  Tcp::socket socket;
  BodyBudget& budget;
  std::shared_ptr<std::size_t> openCount;
  Options options;
  Handlers handlers;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  BodyReservation reservation;
  OperationTimer timer;
  OperationTimer interimTimer;
  OperationTimer writeTimer;
  /// In the order of the requests; the first one is written next.
  PendingAnswers pending;
  bool open = true;
  bool writing = false;
  /// A read that only notices a disconnect is in progress.
  bool watching = false;
  /// A request is being read.
  bool parsing = false;
  /// A request was read that waits until no other one is in progress.
  bool held = false;
  /// The client of the request that is being read waits for 100 Continue.
  bool continueHeld = false;
  /// No further request is read: the last one was refused, or ends the connection.
  bool readingEnded = false;
  /// The last answer was written; the rest of what the client sends is dropped.
  bool lingering = false;
};

} // namespace jackdawwind::node
