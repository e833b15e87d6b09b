#include "standins/log_service/log_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <variant>

#include "wire/codec.h"
#include "wire/generated/standins_codec.h"

namespace jackdawwind::standins {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnavailable = 503;
constexpr std::uint64_t kMaxReadRecords = 10000;
constexpr std::uint64_t kMaxWaitMs = 60000;

std::optional<std::uint64_t>
QueryNumber(const std::map<std::string, std::string>& aQuery,
            const std::string& aName,
            std::uint64_t aDefault)
{
  const auto found = aQuery.find(aName);
  if (found == aQuery.end()) {
    return aDefault;
  }
  const std::string& text = found->second;
  std::uint64_t number = 0;
  const std::from_chars_result result =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

/// Stream name in a path "/streams/{s}/records"; empty for any other path.
std::string
StreamFromPath(const std::string& aPath)
{
  const std::string prefix = "/streams/";
  const std::string suffix = "/records";
  if (aPath.size() <= prefix.size() + suffix.size() || !aPath.starts_with(prefix) ||
      !aPath.ends_with(suffix)) {
    return "";
  }
  return aPath.substr(prefix.size(), aPath.size() - prefix.size() - suffix.size());
}

std::string
ErrorBody(const std::string& aReason)
{
  Json::Value body(Json::objectValue);
  body["error"] = aReason;
  return wire::ToJsonText(body);
}

} // namespace

LogService::LogService(boost::asio::io_context& aContext, Options aOptions)
  : context(aContext)
  , options(aOptions)
  , server(aContext, aOptions.port, [this](const Request& aRequest) { this->Serve(aRequest); })
{
}

void
LogService::SetFaults(const LogFaults& aFaults)
{
  this->faults = aFaults;
  this->faultyRequestsLeft = aFaults.Count();
}

void
LogService::Expire(const LogExpiry& aExpiry)
{
  Stream& stream = this->streams[aExpiry.Stream()];
  while (!stream.entries.empty() && stream.firstRetained < aExpiry.ExpireBefore()) {
    stream.entries.pop_front();
    ++stream.firstRetained;
  }
}

std::uint64_t
LogService::Append(const std::string& aStream, const Json::Value& aRecords)
{
  Stream& stream = this->streams[aStream];
  const std::uint64_t first = stream.End();
  for (const Json::Value& record : aRecords) {
    stream.entries.push_back({ record, Clock::now() });
  }
  std::vector<PendingRead> pendingReads;
  pendingReads.swap(stream.pendingReads);
  for (const PendingRead& pendingRead : pendingReads) {
    if (pendingRead.from < stream.End()) {
      pendingRead.timer->cancel();
      AnswerRead(stream, pendingRead);
    } else {
      stream.pendingReads.push_back(pendingRead);
    }
  }
  return first;
}

std::vector<Json::Value>
LogService::Records(const std::string& aStream) const
{
  std::vector<Json::Value> records;
  const auto found = this->streams.find(aStream);
  if (found != this->streams.end()) {
    for (const Entry& entry : found->second.entries) {
      records.push_back(entry.record);
    }
  }
  return records;
}

void
LogService::Serve(const Request& aRequest)
{
  const std::string path = aRequest->Path();
  const std::string stream = StreamFromPath(path);
  if (path == "/faults") {
    this->ServeFaults(aRequest);
  } else if (stream.empty()) {
    aRequest->Answer(kNotFound, ErrorBody("unknown path"));
  } else {
    ++this->requests;
    this->ServeWithFaults(aRequest, stream);
  }
}

void
LogService::ServeWithFaults(const Request& aRequest, const std::string& aStream)
{
  switch (this->TakeFaultMode()) {
    case LogFaultMode::kNone:
      this->ServeStream(aRequest, aStream, false);
      break;
    case LogFaultMode::kStall:
      // Never answered; the session keeps the connection open until the client closes it.
      break;
    case LogFaultMode::kRefuse:
      aRequest->Answer(kUnavailable, ErrorBody("fault: refuse"));
      break;
    case LogFaultMode::kLoseAppendAnswers:
      this->ServeStream(aRequest, aStream, true);
      break;
    case LogFaultMode::kSlow: {
      const std::shared_ptr<Timer> timer = std::make_shared<Timer>(this->context);
      timer->expires_after(this->faults.DelayMs());
      timer->async_wait([this, timer, aRequest, aStream](const boost::system::error_code& aError) {
        if (!aError) {
          this->ServeStream(aRequest, aStream, false);
        }
      });
      break;
    }
  }
}

void
LogService::ServeStream(const Request& aRequest, const std::string& aStream, bool aLoseAnswer)
{
  this->DropExpired();
  if (aRequest->Message().method() == http::verb::post) {
    this->ServeAppend(aRequest, aStream, aLoseAnswer);
  } else if (aRequest->Message().method() == http::verb::get) {
    this->ServeRead(aRequest, aStream);
  } else {
    aRequest->Answer(kMethodNotAllowed, ErrorBody("expected GET or POST"));
  }
}

void
LogService::ServeAppend(const Request& aRequest, const std::string& aStream, bool aLoseAnswer)
{
  const wire::Decoded<Json::Value> records = wire::ParseJson(aRequest->Message().body());
  const Json::Value* array = std::get_if<Json::Value>(&records);
  if (array == nullptr || !array->isArray() || array->empty()) {
    aRequest->Answer(kBadRequest, ErrorBody("expected a JSON array of records"));
    return;
  }
  Json::Value body(Json::objectValue);
  body["first_offset"] = static_cast<Json::UInt64>(this->Append(aStream, *array));
  if (aLoseAnswer) {
    aRequest->Close();
  } else {
    aRequest->Answer(kOk, wire::ToJsonText(body));
  }
}

void
LogService::ServeRead(const Request& aRequest, const std::string& aStream)
{
  const std::map<std::string, std::string> query = aRequest->Query();
  const std::optional<std::uint64_t> from = QueryNumber(query, "from", 0);
  const std::optional<std::uint64_t> limit = QueryNumber(query, "limit", kMaxReadRecords);
  const std::optional<std::uint64_t> wait = QueryNumber(query, "wait_ms", 0);
  if (!from || !limit || !wait) {
    aRequest->Answer(kBadRequest, ErrorBody("expected numbers in from, limit and wait_ms"));
    return;
  }
  const auto found = this->streams.find(aStream);
  if (found == this->streams.end()) {
    aRequest->Answer(kNotFound, ErrorBody("unknown stream"));
    return;
  }
  Stream& stream = found->second;
  const PendingRead pendingRead{
    aRequest, *from, std::min(*limit, kMaxReadRecords), std::make_shared<Timer>(this->context)
  };
  if (*wait == 0 || *from < stream.End()) {
    AnswerRead(stream, pendingRead);
    return;
  }
  stream.pendingReads.push_back(pendingRead);
  const auto removePendingRead = [this, aStream, aRequest] {
    std::vector<PendingRead>& pendingReads = this->streams[aStream].pendingReads;
    std::erase_if(pendingReads, [&](const PendingRead& aPendingRead) {
      return aPendingRead.request == aRequest;
    });
  };
  aRequest->OnAbandoned([removePendingRead, timer = pendingRead.timer] {
    timer->cancel();
    removePendingRead();
  });
  pendingRead.timer->expires_after(std::chrono::milliseconds(std::min(*wait, kMaxWaitMs)));
  pendingRead.timer->async_wait(
    [this, aStream, pendingRead, removePendingRead](const boost::system::error_code& aError) {
      if (!aError) {
        removePendingRead();
        AnswerRead(this->streams[aStream], pendingRead);
      }
    });
}

void
LogService::ServeFaults(const Request& aRequest)
{
  const std::string& body = aRequest->Message().body();
  const wire::Decoded<LogFaults> newFaults = wire::DecodeText<LogFaults>(body);
  const wire::Decoded<LogExpiry> expiry = wire::DecodeText<LogExpiry>(body);
  if (const LogFaults* decoded = std::get_if<LogFaults>(&newFaults)) {
    this->SetFaults(*decoded);
  } else if (const LogExpiry* decodedExpiry = std::get_if<LogExpiry>(&expiry)) {
    this->Expire(*decodedExpiry);
  } else {
    const wire::DecodeError& error = std::get<wire::DecodeError>(newFaults);
    aRequest->Answer(kBadRequest, ErrorBody(error.path + ": expected " + error.expected));
    return;
  }
  aRequest->Answer(kOk, "{}");
}

LogFaultMode
LogService::TakeFaultMode()
{
  const LogFaultMode mode = this->faults.Mode();
  if (this->faultyRequestsLeft > 0) {
    --this->faultyRequestsLeft;
    if (this->faultyRequestsLeft == 0) {
      // Keeps the delay, which the current request still uses.
      LogFaults::Fields fields = this->faults.ToFields();
      fields.mode = LogFaultMode::kNone;
      this->faults = LogFaults(fields);
    }
  }
  return mode;
}

void
LogService::DropExpired()
{
  const Time oldest = Clock::now() - this->options.retention;
  for (std::pair<const std::string, Stream>& entry : this->streams) {
    Stream& stream = entry.second;
    while (!stream.entries.empty() && stream.entries.front().appended < oldest) {
      stream.entries.pop_front();
      ++stream.firstRetained;
    }
  }
}

void
LogService::AnswerRead(const Stream& aStream, const PendingRead& aPendingRead)
{
  const std::uint64_t from = std::max(aPendingRead.from, aStream.firstRetained);
  const std::uint64_t until = std::min(aStream.End(), from + aPendingRead.limit);
  Json::Value body(Json::objectValue);
  body["first_retained"] = static_cast<Json::UInt64>(aStream.firstRetained);
  body["end"] = static_cast<Json::UInt64>(aStream.End());
  body["records"] = Json::Value(Json::arrayValue);
  for (std::uint64_t offset = from; offset < until; ++offset) {
    Json::Value entry(Json::objectValue);
    entry["offset"] = static_cast<Json::UInt64>(offset);
    entry["record"] = aStream.entries[offset - aStream.firstRetained].record;
    body["records"].append(entry);
  }
  aPendingRead.request->Answer(kOk, wire::ToJsonText(body));
}

} // namespace jackdawwind::standins
