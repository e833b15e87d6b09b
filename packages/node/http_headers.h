// Header names of the node's HTTP interfaces, and the rules by which a node forwards header fields.
//
// Reserved fields (X-Jackdaw-*, X-Call-Id, X-Tenant-Key, X-Timeout-Ms and X-Deadline-Ms) concern
// one connection only. A node removes them before it forwards a message, and sets its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "node/net.h"
#include "values/generated/common.h"
#include "values/generated/results.h"

namespace jackdawwind::node {

constexpr const char* kTenantKeyHeader = "X-Tenant-Key";
constexpr const char* kCallIdHeader = "X-Call-Id";
constexpr const char* kTimeoutHeader = "X-Timeout-Ms";
constexpr const char* kDeadlineHeader = "X-Deadline-Ms";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kResultHeader = "X-Jackdaw-Result";
constexpr const char* kRunHeader = "X-Jackdaw-Run";
constexpr const char* kUnusedAllowanceHeader = "X-Jackdaw-Unused";
constexpr const char* kLevelHeader = "X-Jackdaw-Level";
constexpr const char* kLoadHeader = "X-Jackdaw-Load";
constexpr const char* kSlotsHeader = "X-Jackdaw-Slots";
constexpr const char* kExpectedTimeHeader = "X-Jackdaw-Expected-Us";
constexpr const char* kContextHeader = "X-Jackdaw-Context";
constexpr const char* kSealHeader = "X-Jackdaw-Seal";

/// A refusal that the I/O thread makes without the decisions.
struct Rejection
{
  ResultCode code = ResultCode::kMalformedRequest;
  /// Cause for the log; contains no part of the request that could be a secret.
  std::string reason;

  friend bool operator==(const Rejection&, const Rejection&) = default;
};

/// Number of header fields with this name.
std::size_t FieldCount(const http::fields& aFields, std::string_view aName);

/// Removes hop-by-hop fields (RFC 9110, 7.6.1) and those that Connection names.
void StripHopByHop(http::fields& aFields);

/// Removes the reserved fields, so that a node forwards neither keys nor forged values of fields
/// that only a node may set.
void StripReservedFields(http::fields& aFields);

/// Header section of a request for the next connection: end-to-end fields only, without
/// Content-Length, as HTTP/1.1.
http::request_header<> EndToEndHeader(const HttpRequest& aRequest);

/// Prepares an answer for the next connection: removes hop-by-hop and reserved fields, and sets the
/// length fields to match the body, except for a HEAD request, whose Content-Length stays.
void PrepareForwardedAnswer(HttpResponse& aResponse, bool aHeadRequest);

/// Parses a text of decimal digits; nullopt for any other text and for a number over aMaximum.
std::optional<std::uint64_t> ParseNumber(std::string_view aText, std::uint64_t aMaximum);

/// Whether a path is in normal form: no dot segments, empty segments, backslashes, encoded slashes
/// or needlessly encoded characters. A target that normalises any other path would serve a route
/// that differs from the one by which the call was classified.
bool IsNormalised(std::string_view aPath);

/// Answer for a refusal, with the result headers and a JSON body. Retry-After is set when
/// aRetryAfter is positive.
HttpResponse RefusalResponse(ResultCode aCode, RunState aRun, Duration aRetryAfter = Duration(0));

} // namespace jackdawwind::node
