// Header names of the node's HTTP interfaces and the rules for what passes through a node.
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
constexpr const char* kContextHeader = "X-Jackdaw-Context";
constexpr const char* kSealHeader = "X-Jackdaw-Seal";

/// A refusal that the I/O thread makes by itself.
struct Rejection
{
  ResultCode code = ResultCode::kMalformedRequest;
  /// Why, without any part of the request that could be a secret.
  std::string reason;

  friend bool operator==(const Rejection&, const Rejection&) = default;
};

/// Number of header fields of a name.
std::size_t FieldCount(const http::fields& aFields, std::string_view aName);

/// Removes hop-by-hop fields (RFC 9110, 7.6.1) and those that Connection names.
void StripHopByHop(http::fields& aFields);

/// Removes every X-Jackdaw-*, X-Call-Id, X-Tenant-Key, X-Timeout-Ms and X-Deadline-Ms field, so
/// that neither keys nor values that only a node may set pass through.
void StripReservedFields(http::fields& aFields);

/// Header of a request as it goes on to the next connection: without what concerns this one.
http::request_header<> EndToEndHeader(const HttpRequest& aRequest);

/// Makes an answer fit for the next connection.
void PrepareForwardedAnswer(HttpResponse& aResponse, bool aHeadRequest);

/// Number of a text of decimal digits up to aMaximum; nothing for anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view aText, std::uint64_t aMaximum);

/// Whether a path has exactly one reading: no dot segments, empty segments, backslashes, encoded
/// slashes or needlessly encoded characters. A target that normalises a path of another form would
/// serve a route other than the one the call was classified by.
bool IsNormalised(std::string_view aPath);

/// Answer of a refusal, with its headers and a small JSON body.
HttpResponse RefusalResponse(ResultCode aCode, RunState aRun, Duration aRetryAfter = Duration(0));

} // namespace jackdawwind::node
