#include "node/http_headers.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <json/value.h>

#include "values/text.h"
#include "wire/codec.h"

namespace jackdawwind::node {

namespace {

constexpr std::string_view kReservedPrefix = "x-jackdaw-";

std::string
Lower(beast::string_view aText)
{
  std::string lower(aText.data(), aText.size());
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return lower;
}

void
EraseNames(http::fields& aFields, const std::set<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    aFields.erase(name);
  }
}

std::optional<unsigned>
HexDigit(char aCharacter)
{
  constexpr unsigned kTen = 10;
  if (aCharacter >= '0' && aCharacter <= '9') {
    return static_cast<unsigned>(aCharacter - '0');
  }
  const int lower = std::tolower(static_cast<unsigned char>(aCharacter));
  if (lower >= 'a' && lower <= 'f') {
    return static_cast<unsigned>(lower - 'a') + kTen;
  }
  return std::nullopt;
}

/// Whether a byte may be percent-encoded in a normalised path: it is not unreserved (RFC
/// 3986, 2.3), which needs no encoding, and neither a separator nor NUL.
bool
IsAllowedEncodedByte(unsigned aByte)
{
  const bool unreserved = std::isalnum(static_cast<int>(aByte)) != 0 || aByte == '-' ||
                          aByte == '.' || aByte == '_' || aByte == '~';
  return !unreserved && aByte != '/' && aByte != '\\' && aByte != 0;
}

bool
HasValidEncoding(std::string_view aPath)
{
  constexpr unsigned kHexBase = 16;
  constexpr std::size_t kEncodedDigits = 2;
  for (std::size_t index = 0; index < aPath.size(); ++index) {
    if (aPath[index] == '\\') {
      return false;
    }
    if (aPath[index] != '%') {
      continue;
    }
    if (index + kEncodedDigits >= aPath.size()) {
      return false;
    }
    const std::optional<unsigned> high = HexDigit(aPath[index + 1]);
    const std::optional<unsigned> low = HexDigit(aPath[index + 2]);
    if (!high || !low || !IsAllowedEncodedByte(*high * kHexBase + *low)) {
      return false;
    }
    index += kEncodedDigits;
  }
  return true;
}

} // namespace

std::size_t
FieldCount(const http::fields& aFields, std::string_view aName)
{
  const std::pair<http::fields::const_iterator, http::fields::const_iterator> range =
    aFields.equal_range(beast::string_view(aName.data(), aName.size()));
  return static_cast<std::size_t>(std::distance(range.first, range.second));
}

void
StripHopByHop(http::fields& aFields)
{
  std::set<std::string> names{ "connection",
                               "keep-alive",
                               "proxy-connection",
                               "te",
                               "trailer",
                               "transfer-encoding",
                               "upgrade",
                               "proxy-authenticate",
                               "proxy-authorization",
                               "expect" };
  const std::pair<http::fields::const_iterator, http::fields::const_iterator> range =
    aFields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (const beast::string_view token : http::token_list(field->value())) {
      names.insert(Lower(token));
    }
  }
  EraseNames(aFields, names);
}

void
StripReservedFields(http::fields& aFields)
{
  std::set<std::string> names{
    Lower(kTenantKeyHeader), Lower(kCallIdHeader), Lower(kTimeoutHeader), Lower(kDeadlineHeader)
  };
  for (const http::fields::value_type& field : aFields) {
    const std::string name = Lower(field.name_string());
    if (name.starts_with(kReservedPrefix)) {
      names.insert(name);
    }
  }
  EraseNames(aFields, names);
}

http::request_header<>
EndToEndHeader(const HttpRequest& aRequest)
{
  http::request_header<> header(aRequest.base());
  StripHopByHop(header);
  header.erase(http::field::content_length);
  header.version(11);
  return header;
}

void
PrepareForwardedAnswer(HttpResponse& aResponse, bool aHeadRequest)
{
  StripHopByHop(aResponse);
  StripReservedFields(aResponse);
  if (!aHeadRequest) {
    aResponse.prepare_payload();
  }
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText, std::uint64_t aMaximum)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const std::from_chars_result result = std::from_chars(aText.data(), end, number);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end || number > aMaximum) {
    return std::nullopt;
  }
  return number;
}

bool
IsNormalised(std::string_view aPath)
{
  if (aPath.empty() || aPath.front() != '/' || !HasValidEncoding(aPath)) {
    return false;
  }
  std::string_view rest = aPath.substr(1);
  while (true) {
    const std::size_t slash = rest.find('/');
    const std::string_view segment = rest.substr(0, slash);
    const bool isLast = slash == std::string_view::npos;
    if (segment == "." || segment == ".." || (segment.empty() && !isLast)) {
      return false;
    }
    if (isLast) {
      return true;
    }
    rest.remove_prefix(slash + 1);
  }
}

HttpResponse
RefusalResponse(ResultCode aCode, RunState aRun, Duration aRetryAfter)
{
  HttpResponse response;
  response.version(11);
  response.result(HttpStatus(aCode));
  response.set(http::field::content_type, "application/json");
  response.set(kResultHeader, std::to_string(static_cast<unsigned>(aCode)));
  const std::string run(ToText(aRun));
  response.set(kRunHeader, run);
  if (aRetryAfter > Duration(0)) {
    // Retry-After is in whole seconds; rounding down would let callers retry too early.
    const std::chrono::seconds seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
    response.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  Json::Value body(Json::objectValue);
  body["result"] = static_cast<unsigned>(aCode);
  body["code"] = std::string(ToText(aCode));
  body["run"] = run;
  response.body() = wire::ToJsonText(body);
  response.prepare_payload();
  return response;
}

} // namespace jackdawwind::node
