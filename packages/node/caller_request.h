// Parses a request of a caller, or of the target for a child call, into a call; does no I/O.
//
//   std::variant<ParsedCall, Rejection> parsed =
//     ParseCallerRequest(request, ListenerKind::kCallers, exchange);
//
// Tenant keys and idempotency keys are hashed here, so that no event holds one in plain text. Time
// and memory are linear in the size of the request.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "node/http_headers.h"
#include "node/net.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Side that connects to a listener.
enum class ListenerKind
{
  kCallers,
  kTarget,
};

/// A call and the request target (RFC 9112, 3.2) under which it is forwarded.
struct ParsedCall
{
  CallArrived event;
  /// Path and query without the leading service segment.
  std::string requestTarget;
};

/// Parses a request; returns a rejection with kMalformedRequest for a malformed one. The call id of
/// a parent call (X-Call-Id) is read only on the target's listener.
std::variant<ParsedCall, Rejection> ParseCallerRequest(const HttpRequest& aRequest,
                                                       ListenerKind aListener,
                                                       std::uint64_t aExchange);

/// Header section for the request to the admitting node: that of the caller's request without
/// hop-by-hop and reserved fields, with aTarget as its request target.
http::request_header<> ForwardedHeader(const HttpRequest& aRequest, const std::string& aTarget);

} // namespace jackdawwind::node
