#include "logservice/log_client.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include <json/value.h>

#include "logservice/post.h"
#include "wire/codec.h"
#include "wire/envelope.h"
#include "wire/generated/records_codec.h"

namespace jackdawwind::logservice {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kFirstRedirect = 300;
constexpr std::uint32_t kFirstClientError = 400;
constexpr std::uint32_t kFirstServerError = 500;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kRequestTimeout = 408;
constexpr std::uint32_t kServiceUnavailable = 503;

/// Stream names are constants of the program, so other characters, which would need escaping in the
/// path, are rejected.
bool
IsStreamName(const std::string& aStream)
{
  constexpr const char* kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !aStream.empty() && aStream.find_first_not_of(kAllowed) == std::string::npos;
}

std::optional<std::uint64_t>
ReadNumber(const Json::Value& aObject, const char* aKey)
{
  if (!aObject.isObject() || !aObject[aKey].isUInt64()) {
    return std::nullopt;
  }
  return aObject[aKey].asUInt64();
}

Record
DecodeRecord(const Json::Value& aJson)
{
  // The reason quotes a field name, which a record not written by a node can make arbitrarily long.
  constexpr std::size_t kMaxReasonBytes = 200;
  wire::Decoded<Record> decoded = wire::Decode<Record>(aJson);
  if (const wire::DecodeError* error = std::get_if<wire::DecodeError>(&decoded)) {
    const std::string reason =
      error->path + ": expected " + error->expected + ", found " + error->found;
    return CorruptRecord({ .reason = reason.substr(0, kMaxReasonBytes) });
  }
  return std::get<Record>(std::move(decoded));
}

LogReadResult
ReadError(std::string aReason)
{
  return LogReadError({ .reason = std::move(aReason) });
}

LogReadResult
DecodeReadBody(const LogReadRequest& aRequest, const std::string& aBody)
{
  const wire::Decoded<Json::Value> parsed = wire::ParseEnvelope(aBody);
  if (std::holds_alternative<wire::DecodeError>(parsed)) {
    return ReadError("the response is not valid JSON");
  }
  const Json::Value& json = std::get<Json::Value>(parsed);
  const std::optional<std::uint64_t> firstRetained = ReadNumber(json, "first_retained");
  const std::optional<std::uint64_t> end = ReadNumber(json, "end");
  if (!firstRetained || !end || !json["records"].isArray()) {
    return ReadError(
      "the response lacks first_retained, end or records, or one has the wrong type");
  }
  std::uint64_t next = std::max(aRequest.from, *firstRetained);
  std::vector<LogRecord> records;
  records.reserve(json["records"].size());
  for (const Json::Value& entry : json["records"]) {
    const std::optional<std::uint64_t> offset = ReadNumber(entry, "offset");
    if (!offset || *offset < next || *offset >= *end) {
      return ReadError(
        "the offsets in the response are not ascending, or not between from and end");
    }
    records.push_back(LogRecord({ .offset = *offset, .record = DecodeRecord(entry["record"]) }));
    next = *offset + 1;
  }
  return LogRead({ .stream = aRequest.stream,
                   .firstRetained = *firstRetained,
                   .records = std::move(records),
                   .next = next,
                   .end = *end });
}

/// Classifies an append as appended, rejected or unknown.
struct AppendVisitor
{
  AppendOutcome operator()(const HttpNotSent& /*aOutcome*/) const { return AppendRejected(); }
  AppendOutcome operator()(const HttpNoAnswer& /*aOutcome*/) const { return AppendUnknown(); }
  AppendOutcome operator()(const HttpTooLarge& /*aOutcome*/) const { return AppendUnknown(); }
  AppendOutcome operator()(const HttpAnswer& aAnswer) const
  {
    const std::uint32_t status = aAnswer.Status();
    if (status >= kOk && status < kFirstRedirect) {
      const wire::Decoded<Json::Value> json = wire::ParseJson(aAnswer.Body());
      if (const Json::Value* object = std::get_if<Json::Value>(&json)) {
        if (const std::optional<std::uint64_t> first = ReadNumber(*object, "first_offset")) {
          return Appended({ .firstOffset = *first });
        }
      }
      return AppendUnknown();
    }
    // 408 may be sent after the service has received a part of the request.
    const bool refused = status >= kFirstClientError && status < kFirstServerError;
    if ((refused && status != kRequestTimeout) || status == kServiceUnavailable) {
      return AppendRejected();
    }
    return AppendUnknown();
  }
};

/// Decodes the response to a read.
struct ReadVisitor
{
  LogReadResult operator()(const HttpNotSent& aOutcome) const
  {
    return ReadError(aOutcome.Reason());
  }
  LogReadResult operator()(const HttpNoAnswer& aOutcome) const
  {
    return ReadError(aOutcome.Reason());
  }
  LogReadResult operator()(const HttpTooLarge& aOutcome) const
  {
    return LogReadError(
      { .reason = "the response exceeds " + std::to_string(aOutcome.Limit()) + " bytes",
        .tooLarge = true });
  }
  LogReadResult operator()(const HttpAnswer& aAnswer) const
  {
    if (aAnswer.Status() == kNotFound) {
      return LogRead({ .stream = this->request.stream, .next = this->request.from });
    }
    if (aAnswer.Status() != kOk) {
      return ReadError("the log service responded with HTTP status " +
                       std::to_string(aAnswer.Status()));
    }
    return DecodeReadBody(this->request, aAnswer.Body());
  }

  const LogReadRequest& request;
};

} // namespace

std::string
EncodeAppend(const std::vector<Record>& aRecords)
{
  Json::Value array(Json::arrayValue);
  for (const Record& record : aRecords) {
    array.append(wire::Encode(record));
  }
  return wire::ToJsonText(array);
}

AppendOutcome
DecodeAppendOutcome(const HttpOutcome& aOutcome)
{
  return std::visit(AppendVisitor{}, aOutcome);
}

LogReadResult
DecodeReadOutcome(const LogReadRequest& aRequest, const HttpOutcome& aOutcome)
{
  return std::visit(ReadVisitor{ aRequest }, aOutcome);
}

LogClient::LogClient(boost::asio::io_context& aContext, LogServiceSettings aSettings)
  : context(aContext)
  , settings(std::move(aSettings))
{
}

HttpRequest
LogClient::NewRequest(const std::string& aStream) const
{
  return { .host = this->settings.Host(),
           .port = this->settings.Port(),
           .target = "/streams/" + aStream + "/records",
           .timeout = this->settings.TimeoutMs(),
           .maxBodyBytes = kMaxReadBytes };
}

std::weak_ptr<HttpExchange>
LogClient::Append(const std::string& aStream,
                  const std::vector<Record>& aRecords,
                  AppendHandler aHandler)
{
  HttpRequest request = this->NewRequest(aStream);
  request.method = http::verb::post;
  request.body = EncodeAppend(aRecords);
  if (request.body.size() > kMaxAppendBytes || !IsStreamName(aStream)) {
    Post(this->context, [handler = std::move(aHandler)] { handler(AppendRejected()); });
    return {};
  }
  return StartHttpExchange(this->context,
                           std::move(request),
                           [handler = std::move(aHandler)](const HttpOutcome& aOutcome) {
                             handler(DecodeAppendOutcome(aOutcome));
                           });
}

std::weak_ptr<HttpExchange>
LogClient::Read(const LogReadRequest& aRequest, ReadHandler aHandler)
{
  if (!IsStreamName(aRequest.stream)) {
    Post(this->context, [handler = std::move(aHandler)] {
      handler(ReadError("the stream name is empty or contains characters that are not allowed"));
    });
    return {};
  }
  HttpRequest request = this->NewRequest(aRequest.stream);
  request.target += "?from=" + std::to_string(aRequest.from) +
                    "&limit=" + std::to_string(aRequest.limit) +
                    "&wait_ms=" + std::to_string(aRequest.wait.count());
  request.timeout += aRequest.wait;
  return StartHttpExchange(
    this->context,
    std::move(request),
    [handler = std::move(aHandler), read = aRequest](const HttpOutcome& aOutcome) {
      handler(DecodeReadOutcome(read, aOutcome));
    });
}

} // namespace jackdawwind::logservice
