// Sends one HTTP/1.1 request over its own connection.
//
//   StartHttpExchange(context, request, [](HttpOutcome aOutcome) { ... });
//
// Opens one connection per request. The handler runs exactly once, on the thread of the io_context,
// unless the exchange is cancelled or the io_context is destroyed first. The outcome distinguishes
// a request that the server cannot have received from one that it may have executed.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include "util/clock.h"
#include "values/generated/platform.h"

namespace jackdawwind::logservice {

/// Asio timer on the process's clock.
using ClockTimer = boost::asio::basic_waitable_timer<Clock>;

/// A request and the server to send it to.
struct HttpRequest
{
  /// IP address; host names are not resolved.
  std::string host{};
  std::uint32_t port = 0;
  boost::beast::http::verb method = boost::beast::http::verb::get;
  /// Path and query.
  std::string target{};
  std::string body{};
  /// Bearer token of the Authorization header; empty for none.
  std::string token{};
  /// Time from the start until the exchange ends as HttpNotSent or HttpNoAnswer.
  std::chrono::milliseconds timeout{};
  /// Maximum size of the response body in bytes.
  std::uint64_t maxBodyBytes = 0;
};

/// An exchange in progress.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  /// Closes the connection; the handler will not run.
  virtual void Cancel() = 0;

protected:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = default;
  HttpExchange& operator=(const HttpExchange&) = default;
};

using HttpHandler = std::function<void(HttpOutcome)>;

/// Starts an exchange. The handler never runs within this call.
std::weak_ptr<HttpExchange> StartHttpExchange(boost::asio::io_context& aContext,
                                              HttpRequest aRequest,
                                              HttpHandler aHandler);

} // namespace jackdawwind::logservice
