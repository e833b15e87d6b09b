#include "node/caller_request.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/crypto.h"

namespace jackdawwind::node {

namespace {

/// Longest timeout that a caller may set: one day.
constexpr std::uint64_t kMaxTimeoutMs = 86'400'000;

Rejection
Malformed(std::string aReason)
{
  return Rejection{ ResultCode::kMalformedRequest, std::move(aReason) };
}

/// Value of a field that may occur once: an empty text when absent, nullopt when empty or repeated.
std::optional<std::string>
ReadSingleValue(const HttpRequest& aRequest, const char* aName)
{
  const std::size_t count = FieldCount(aRequest, aName);
  if (count == 0) {
    return std::string();
  }
  const std::string_view value = View(aRequest[aName]);
  if (count > 1 || value.empty()) {
    return std::nullopt;
  }
  return std::string(value);
}

std::variant<Credential, Rejection>
ReadCredential(const HttpRequest& aRequest, ListenerKind aListener)
{
  const std::optional<std::string> key = ReadSingleValue(aRequest, kTenantKeyHeader);
  if (!key) {
    return Malformed("X-Tenant-Key is empty or repeated");
  }
  if (aListener == ListenerKind::kTarget) {
    const std::optional<std::string> callId = ReadSingleValue(aRequest, kCallIdHeader);
    if (!callId) {
      return Malformed("X-Call-Id is empty or repeated");
    }
    if (!callId->empty()) {
      return Credential(ParentCall({ .callId = *callId }));
    }
  }
  if (key->empty()) {
    return Credential(NoCredential());
  }
  return Credential(KeyHash({ .hash = wire::HashHex(*key) }));
}

struct RequestLine
{
  std::string service;
  std::string path;
  std::string requestTarget;
};

std::optional<RequestLine>
ReadRequestLine(std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  if (!IsNormalised(path) || aTarget.find('#') != std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t slash = path.find('/', 1);
  RequestLine line;
  line.service = std::string(path.substr(1, slash == std::string_view::npos ? slash : slash - 1));
  line.path = slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
  line.requestTarget = line.path + std::string(aTarget.substr(path.size()));
  if (line.service.empty()) {
    return std::nullopt;
  }
  return line;
}

} // namespace

std::variant<ParsedCall, Rejection>
ParseCallerRequest(const HttpRequest& aRequest, ListenerKind aListener, std::uint64_t aExchange)
{
  if (aRequest.method() == http::verb::connect) {
    return Malformed("the method CONNECT is not supported");
  }
  const std::optional<RequestLine> line = ReadRequestLine(View(aRequest.target()));
  if (!line) {
    return Malformed("the request path is not normalised or names no service");
  }
  const std::variant<Credential, Rejection> credential = ReadCredential(aRequest, aListener);
  if (const Rejection* rejection = std::get_if<Rejection>(&credential)) {
    return *rejection;
  }
  const std::optional<std::string> timeoutText = ReadSingleValue(aRequest, kTimeoutHeader);
  if (!timeoutText) {
    return Malformed("X-Timeout-Ms is empty or repeated");
  }
  std::optional<std::chrono::microseconds> timeout;
  if (!timeoutText->empty()) {
    const std::optional<std::uint64_t> number = ParseNumber(*timeoutText, kMaxTimeoutMs);
    if (!number || *number == 0) {
      return Malformed("X-Timeout-Ms is not a number from 1 to 86400000");
    }
    timeout = std::chrono::milliseconds(*number);
  }
  const std::optional<std::string> idempotencyKey =
    ReadSingleValue(aRequest, kIdempotencyKeyHeader);
  if (!idempotencyKey) {
    return Malformed("Idempotency-Key is empty or repeated");
  }
  const std::string method(View(aRequest.method_string()));
  CallArrived event(
    { .exchange = aExchange,
      .credential = std::get<Credential>(credential),
      .method = method,
      .service = line->service,
      .path = line->path,
      .timeout = timeout,
      .idempotencyKey = idempotencyKey->empty() ? "" : wire::HashHex(*idempotencyKey),
      .fingerprint = wire::ShortHashHex(method + "\n" + std::string(View(aRequest.target())) +
                                        "\n" + aRequest.body()) });
  return ParsedCall{ std::move(event), line->requestTarget };
}

http::request_header<>
ForwardedHeader(const HttpRequest& aRequest, const std::string& aTarget)
{
  http::request_header<> header = EndToEndHeader(aRequest);
  StripReservedFields(header);
  header.target(aTarget);
  return header;
}

} // namespace jackdawwind::node
