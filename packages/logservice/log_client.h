// Asynchronous client of the platform's log service.
//
//   LogClient client(context, settings.Log());
//   client.Append("control", { record }, [](AppendOutcome aOutcome) { ... });
//   client.Read({ .stream = "control", .from = 0 }, [](LogReadResult aResult) { ... });
//
// Every request uses a connection of its own, so an answer cannot be taken for that of another
// request. Handlers run on the thread of the io_context, exactly once unless cancelled. The client
// does not repeat requests: a repeated append could take effect twice.
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

/// Largest response that is read. A batch of this size still fits the memory of a node.
inline constexpr std::uint64_t kMaxReadBytes = 8ULL * 1024 * 1024;
/// Largest append. Half of kMaxReadBytes, so that every record that was appended can be read.
inline constexpr std::uint64_t kMaxAppendBytes = kMaxReadBytes / 2;

/// What to read.
struct LogReadRequest
{
  std::string stream;
  /// Offset of the first wanted record.
  std::uint64_t from = 0;
  /// Most records of one answer.
  std::uint32_t limit = 500;
  /// How long the log service may wait for a record before it answers with none.
  std::chrono::milliseconds wait{ 0 };
};

class LogClient
{
public:
  using AppendHandler = std::function<void(AppendOutcome)>;
  using ReadHandler = std::function<void(LogReadResult)>;

  LogClient(boost::asio::io_context& aContext, LogServiceSettings aSettings);

  /// Appends records as one request. AppendRejected: not taken (no connection, too large, 4xx or
  /// 503). AppendUnknown: written fully or partly and not answered in a way that proves either.
  std::weak_ptr<HttpExchange> Append(const std::string& aStream,
                                     const std::vector<Record>& aRecords,
                                     AppendHandler aHandler);

  /// Reads records. A record that does not decode is a CorruptRecord with the reason; a stream that
  /// the service does not know is empty and ends at 0.
  std::weak_ptr<HttpExchange> Read(const LogReadRequest& aRequest, ReadHandler aHandler);

private:
  HttpRequest NewRequest(const std::string& aStream) const;

  boost::asio::io_context& context;
  LogServiceSettings settings;
};

/// Body of an append.
std::string EncodeAppend(const std::vector<Record>& aRecords);

/// What an answer to an append says.
AppendOutcome DecodeAppendOutcome(const HttpOutcome& aOutcome);

/// What an answer to a read says.
LogReadResult DecodeReadOutcome(const LogReadRequest& aRequest, const HttpOutcome& aOutcome);

} // namespace jackdawwind::logservice
