// Client of a node's administration API.
//
//   NodeAdmin admin({ .host = "127.0.0.1", .port = 9090, .token = token, .timeout = ... });
//   StatusOutcome status = admin.Status();
//
// Status() sends GET /status and expects a NodeStatus; Drain() sends POST /drain and expects any
// 2xx status. Each call opens a connection of its own and blocks for at most the timeout.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/beast/http/verb.hpp>

#include "values/generated/operator.h"
#include "values/generated/platform.h"

namespace jackdawwind::control {

class NodeAdmin
{
public:
  struct Options
  {
    std::string host;
    std::uint32_t port = 0;
    /// Administration token, sent as a bearer token.
    std::string token;
    std::chrono::milliseconds timeout{};
  };

  explicit NodeAdmin(Options aOptions);

  StatusOutcome Status() const;
  DrainOutcome Drain() const;

private:
  HttpOutcome Call(boost::beast::http::verb aMethod, const std::string& aTarget) const;

  const Options options;
};

} // namespace jackdawwind::control
