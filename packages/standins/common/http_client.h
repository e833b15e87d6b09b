// Keep-alive HTTP/1.1 client connection for stand-in programs, with one request at a time.
//
//   std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(context, endpoint);
//   client->Send(request, std::chrono::seconds(5), [](std::optional<HttpReply> aReply) { ... });
//
// Connects on demand. The handler runs exactly once, never inside Send, and receives std::nullopt
// if the exchange failed. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "util/clock.h"

namespace jackdawwind::standins {

using HttpReply = boost::beast::http::response<boost::beast::http::string_body>;

class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;
  using Done = std::function<void(std::optional<HttpReply>)>;

  HttpClient(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint);

  /// Must not be called while a request is in flight.
  void Send(Message aMessage, Duration aTimeout, Done aDone);
  /// Closes the connection; the handler of a request in flight receives std::nullopt.
  void Close();

private:
  void Write();
  void Read();
  /// Wraps a completion handler so that it ignores operations of earlier exchanges and ends the
  /// current exchange on an error.
  template<typename Next>
  auto ForCurrentExchange(Next aNext);
  void Finish(std::optional<HttpReply> aReply);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::ip::tcp::socket socket;
  boost::asio::basic_waitable_timer<Clock> timer;
  boost::beast::flat_buffer buffer;
  Message message;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
  Done done;
  /// Incremented when an exchange starts and when it ends.
  std::uint64_t exchangeId = 0;
};

} // namespace jackdawwind::standins
