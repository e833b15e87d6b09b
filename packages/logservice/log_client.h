// Asynchronous client of the platform's log service.
//
//   LogClient client(context, settings.Log());
//   client.Append("control", { record }, [](AppendOutcome aOutcome) { ... });
//   client.Read({ .stream = "control", .from = 0 }, [](LogReadResult aResult) { ... });
//
// Every request uses its own connection, so a response cannot be attributed to another request.
// Handlers run on the thread of the io_context, exactly once unless cancelled. The client does not
// retry: a repeated append could take effect twice.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "logservice/http_exchange.h"
#include "values/generated/platform.h"
#include "values/generated/settings.h"

namespace jackdawwind::logservice {

/// Maximum size of a response. A batch of this size still fits the memory of a node.
inline constexpr std::uint64_t kMaxReadBytes = 8ULL * 1024 * 1024;
/// Maximum size of an append. Half of kMaxReadBytes, so that every appended record can be read.
inline constexpr std::uint64_t kMaxAppendBytes = kMaxReadBytes / 2;

/// Parameters of a read.
struct LogReadRequest
{
  std::string stream;
  /// Offset of the first record to read.
  std::uint64_t from = 0;
  /// Maximum number of records in the response.
  std::uint32_t limit = 500;
  /// Long-poll time: how long the log service may wait for a record before it responds without any.
  std::chrono::milliseconds wait{ 0 };
};

/// Client of the log service; see the head of this file.
class LogClient
{
public:
  using AppendHandler = std::function<void(AppendOutcome)>;
  using ReadHandler = std::function<void(LogReadResult)>;

  LogClient(boost::asio::io_context& aContext, LogServiceSettings aSettings);

  /// Appends records in one request. AppendRejected: nothing was appended (no connection, an append
  /// that is too large, a stream name that is not valid, 4xx except 408, or 503). AppendUnknown:
  /// the request was sent in full or in part, and no response proves whether it took effect.
  std::weak_ptr<HttpExchange> Append(const std::string& aStream,
                                     const std::vector<Record>& aRecords,
                                     AppendHandler aHandler);

  /// Reads records. A record that cannot be decoded is returned as a CorruptRecord with the reason;
  /// a stream unknown to the service is reported as empty, with end offset 0.
  std::weak_ptr<HttpExchange> Read(const LogReadRequest& aRequest, ReadHandler aHandler);

private:
  HttpRequest NewRequest(const std::string& aStream) const;

  boost::asio::io_context& context;
  LogServiceSettings settings;
};

/// Encodes the body of an append request.
std::string EncodeAppend(const std::vector<Record>& aRecords);

/// Derives the outcome of an append from the HTTP outcome.
AppendOutcome DecodeAppendOutcome(const HttpOutcome& aOutcome);

/// Derives the result of a read from the HTTP outcome.
LogReadResult DecodeReadOutcome(const LogReadRequest& aRequest, const HttpOutcome& aOutcome);

} // namespace jackdawwind::logservice
