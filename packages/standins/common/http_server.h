// Small HTTP/1.1 server for stand-in programs: one io_context, one thread.
//
//   HttpServer server(context, 0, [](const std::shared_ptr<ServedRequest>& aRequest) {
//     aRequest->Answer(200, "{}");
//   });
//   std::cout << "listening " << server.Port() << std::endl;
//
// The handler may answer later, from a timer, or close the connection without an answer. Requests
// of one connection are handled one after the other; connections are kept open between requests.
// Listens on 127.0.0.1 only.
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

/// A request that waits for its answer.
class ServedRequest
{
public:
  virtual ~ServedRequest() = default;

  virtual const HttpMessage& Message() const = 0;
  /// Sends a complete JSON answer; only the first call has an effect.
  virtual void Answer(unsigned aStatus, std::string aBody) = 0;
  /// Sends a complete answer; only the first call has an effect.
  virtual void AnswerMessage(ServedAnswer aAnswer) = 0;
  /// Sends bytes as they are and closes the connection; only the first answer has an effect.
  virtual void AnswerRaw(std::string aBytes) = 0;
  /// Closes the connection without an answer.
  virtual void Close() = 0;
  /// Sets what runs when the client closes its connection before the answer.
  virtual void OnAbandoned(std::function<void()> aHandler) = 0;

  /// Path without the query.
  std::string Path() const;
  /// Parameters of the query, without unescaping.
  std::map<std::string, std::string> Query() const;

protected:
  ServedRequest() = default;
  ServedRequest(const ServedRequest&) = default;
  ServedRequest& operator=(const ServedRequest&) = default;
};

using ServeHandler = std::function<void(const std::shared_ptr<ServedRequest>&)>;

class HttpServer
{
public:
  /// Opens the listener; port 0 lets the system choose. Throws boost::system::system_error.
  HttpServer(boost::asio::io_context& aContext, std::uint16_t aPort, ServeHandler aHandler);

  std::uint16_t Port() const { return this->port; }

private:
  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  const ServeHandler handler;
  std::uint16_t port = 0;
};

} // namespace jackdawwind::standins
