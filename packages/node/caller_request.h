// Reads a call out of a caller's or target's request, without I/O.
//
//   std::variant<ParsedCall, Rejection> read = ParseCallerRequest(request, ListenerKind::kCallers,
//   id);
//
// The event holds no key in clear: keys are hashed here.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "node/http_headers.h"
#include "node/net.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Who connects to a listener.
enum class ListenerKind
{
  kCallers,
  kTarget,
};

/// A call and what a target will see of its request line.
struct ParsedCall
{
  CallArrived event;
  /// Path and query without the service.
  std::string requestTarget;
};

/// Reads a request; a rejection for a malformed one.
std::variant<ParsedCall, Rejection> ParseCallerRequest(const HttpRequest& aRequest,
                                                       ListenerKind aListener,
                                                       std::uint64_t aExchange);

/// Header section that goes to the admitting node: the request's without fields that end here.
http::request_header<> ForwardedHeader(const HttpRequest& aRequest, const std::string& aTarget);

} // namespace jackdawwind::node
