// One accepted HTTP connection: reads complete requests one after the other and writes their
// answers.
//
//   std::shared_ptr<ServerConnection> connection =
//     std::make_shared<ServerConnection>(std::move(socket), options, handlers);
//   connection->Start();
//   // in handlers.request:
//   connection->AwaitAnswer(exchange);       // a disconnect calls handlers.disconnected(exchange)
//   connection->Respond(response, reservation, AfterAnswer::kKeepAlive);
//
// Malformed and oversized requests are refused here, and their connections closed. While an answer
// is awaited the connection is read, in order to notice when the client disconnects; bytes of a
// pipelined request are buffered until then. Handlers run on the thread of the event loop. Not
// thread-safe. The connection keeps itself alive while an operation is pending.
#pragma once

#include <cstdint>
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

  /// Watches for a disconnect until the answer to aExchange, which must not be 0.
  void AwaitAnswer(std::uint64_t aExchange);

  /// Writes the answer and holds aReservation until it is written. Does nothing when the connection
  /// is closed or already has an answer.
  void Respond(HttpResponse aResponse, BodyReservation aReservation, AfterAnswer aAfter);

  /// Sends an interim response at once, unless a write is in progress or an answer is set.
  void SendInterim();

  /// Whether an answer is set or anything is being written.
  bool IsWriting() const { return this->writing || this->answer.has_value(); }

private:
  void ReadHeader();
  void OnHeader(const ErrorCode& aError);
  void BeginBody();
  void ReadBody();
  void OnBody(const ErrorCode& aError);
  bool ReserveBody();
  /// Passes the request on, and rejects it if the handler throws.
  void HandleRequest();
  void Reject(ResultCode aCode, const std::string& aReason);
  void RejectError(const ErrorCode& aError);
  void WatchForDisconnect();
  void OnWatchRead(const ErrorCode& aError, std::size_t aBytes);
  void ArmInterim();
  void WriteAnswer();
  void OnAnswerWritten(const ErrorCode& aError);
  void Linger();
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
  /// Exchange whose answer is awaited; 0 for none.
  std::uint64_t exchange = 0;
  bool open = true;
  bool writing = false;
  bool watching = false;
  bool requestComplete = false;
  bool keepAlive = true;
  bool headRequest = false;
  std::optional<HttpResponse> answer;
  BodyReservation answerReservation;
};

} // namespace jackdawwind::node
