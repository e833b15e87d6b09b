// One accepted HTTP connection: reads requests whole, one after the other, and writes answers.
//
//   std::shared_ptr<ServerConnection> connection =
//     std::make_shared<ServerConnection>(std::move(socket), options, handlers);
//   connection->Start();
//   // in handlers.request:
//   connection->AwaitAnswer(exchange);             // handlers.gone(exchange) runs if the client
//   leaves connection->Respond(response, reservation, AfterAnswer::kKeepAlive);
//
// Malformed and oversized requests are refused and closed here. While an answer is awaited the
// connection is read, so that a client's leaving is seen; bytes of a pipelined request are kept for
// later. Handlers run on the loop's thread. Not safe for more than one thread.
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

/// What happens to a connection after an answer.
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
    /// A request was read whole.
    std::function<void(const Pointer&, HttpRequest, BodyReservation)> request;
    /// The client left before the answer to the exchange.
    std::function<void(std::uint64_t)> disconnected;
    /// Makes the answer to a request that cannot be read.
    std::function<HttpResponse(const Rejection&)> reject;
  };

  struct Options
  {
    std::uint32_t maxHeaderBytes;
    std::uint32_t maxBodyBytes;
    /// Time between interim responses; nothing for none. They begin with the header section, so
    /// that the reading of a long body and a wait in a queue do not look like a silent connection.
    std::optional<Duration> interimInterval;
  };

  /// Time for an idle connection and for a header section.
  static constexpr Duration kHeaderTimeout = std::chrono::seconds(60);
  static constexpr Duration kBodyTimeout = std::chrono::seconds(30);
  static constexpr Duration kWriteTimeout = std::chrono::seconds(30);

  ServerConnection(Tcp::socket aSocket,
                   asio::io_context& aIo,
                   BodyBudget& aBudget,
                   std::shared_ptr<std::size_t> aOpenCount,
                   const Options& aOptions,
                   Handlers aHandlers);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Start();

  /// Awaits the answer to an exchange.
  void AwaitAnswer(std::uint64_t aExchange);

  /// Writes the answer; aReservation is held until it is written. Does nothing when closed.
  void Respond(HttpResponse aResponse, BodyReservation aReservation, AfterAnswer aAfter);

  /// Sends an interim response at once.
  void SendInterim();

  bool IsWriting() const { return this->writing || this->answer.has_value(); }

private:
  void ReadHeader();
  void OnHeader(const ErrorCode& aError);
  void BeginBody();
  void ReadBody();
  void OnBody(const ErrorCode& aError);
  bool ReserveBody();
  void Reject(ResultCode aCode, const std::string& aReason);
  void RejectError(const ErrorCode& aError);
  void WatchForDisconnect();
  void OnWatchRead(const ErrorCode& aError, std::size_t aBytes);
  void ArmInterim();
  void WriteAnswer();
  void OnAnswerWritten(const ErrorCode& aError);
  void Linger();
  void ReadLinger(std::size_t aLeft);
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
