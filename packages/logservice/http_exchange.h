// One HTTP/1.1 request over a connection of its own.
//
//   StartHttpExchange(context, request, [](HttpOutcome aOutcome) { ... });
//
// Costs one connection per request. The handler runs exactly once, on the thread of the io_context,
// unless the exchange is cancelled or the io_context is destroyed first. The outcome says whether
// the server may have seen the request, which callers need to tell "not done" from "unknown".
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

/// Timer on the process's clock.
using ClockTimer = boost::asio::basic_waitable_timer<Clock>;

/// What to send where.
struct HttpRequest
{
  /// IP address; names are not resolved.
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
  /// Limit of the response's body in bytes.
  std::uint64_t maxBodyBytes = 0;
};

/// A running exchange.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  /// Closes the connection; the handler does not run any more.
  virtual void Cancel() = 0;

protected:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = default;
  HttpExchange& operator=(const HttpExchange&) = default;
};

using HttpHandler = std::function<void(HttpOutcome)>;

/// Starts an exchange. The handler never runs inside this call.
std::weak_ptr<HttpExchange> StartHttpExchange(boost::asio::io_context& aContext,
                                              HttpRequest aRequest,
                                              HttpHandler aHandler);

} // namespace jackdawwind::logservice
