// Small HTTP/1.1 server for stand-in programs: one io_context, one thread.
//
//   HttpServer server(context, 0, [](const std::shared_ptr<ServedRequest>& aRequest) {
//     aRequest->Answer(200, "{}");
//   });
//   std::cout << "listening " << server.Port() << std::endl;
//
// The handler may answer asynchronously, for example from a timer, or close the connection without
// an answer. Requests of a connection are handled sequentially; connections are keep-alive. Listens
// on 127.0.0.1 only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jackdawwind::standins {

using HttpMessage = boost::beast::http::request<boost::beast::http::string_body>;
using ServedAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// A request that the handler has to answer.
class ServedRequest
{
public:
  virtual ~ServedRequest() = default;

  virtual const HttpMessage& Message() const = 0;
  /// Sends a complete JSON answer; only the first call has an effect.
  virtual void Answer(unsigned aStatus, std::string aBody) = 0;
  /// Sends a complete answer; only the first call has an effect.
  virtual void AnswerMessage(ServedAnswer aAnswer) = 0;
  /// Sends raw bytes and closes the connection; only the first answer has an effect.
  virtual void AnswerRaw(std::string aBytes) = 0;
  /// Closes the connection without an answer.
  virtual void Close() = 0;
  /// Sets a handler that runs if the client closes the connection before the answer.
  virtual void OnAbandoned(std::function<void()> aHandler) = 0;

  /// Path without the query.
  std::string Path() const;
  /// Query parameters, not percent-decoded.
  std::map<std::string, std::string> Query() const;

protected:
  ServedRequest() = default;
  ServedRequest(const ServedRequest&) = default;
  ServedRequest& operator=(const ServedRequest&) = default;
};

using RequestHandler = std::function<void(const std::shared_ptr<ServedRequest>&)>;

class HttpServer
{
public:
  /// Opens the listener; port 0 selects an ephemeral port. Throws boost::system::system_error.
  HttpServer(boost::asio::io_context& aContext, std::uint16_t aPort, RequestHandler aHandler);

  std::uint16_t Port() const { return this->port; }

private:
  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  const RequestHandler handler;
  std::uint16_t port = 0;
};

} // namespace jackdawwind::standins
