// Stand-in for the platform's log service, with fault injection.
//
//   LogService service(context, { .port = 0, .retention = std::chrono::hours(1) });
//
//   POST /streams/{s}/records                              [record, ...]  -> {"first_offset":N}
//   GET  /streams/{s}/records?from=N&limit=M&wait_ms=W     -> {"first_retained":N,"end":N,
//                                                             "records":[{"offset":N,"record":{}}]}
//   PUT  /faults   {"mode":"stall","delay_ms":0,"count":2}                 injects faults
//   PUT  /faults   {"stream":"control","expire_before":7}                  expires records
//
// Streams are held in memory. Records may be any JSON objects; their schema is not checked. Not
// thread-safe: everything runs on the io_context. Listens on 127.0.0.1 only.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include "standins/common/http_server.h"
#include "util/clock.h"
#include "values/generated/standins.h"

namespace jackdawwind::standins {

class LogService
{
public:
  struct Options
  {
    /// TCP port; 0 selects an ephemeral port.
    std::uint16_t port = 0;
    /// Age at which records expire.
    std::chrono::milliseconds retention = std::chrono::hours(24);
  };

  LogService(boost::asio::io_context& aContext, Options aOptions);

  std::uint16_t Port() const { return this->server.Port(); }
  /// Replaces the fault mode.
  void SetFaults(const LogFaults& aFaults);
  /// Removes the records of a stream before an offset.
  void Expire(const LogExpiry& aExpiry);
  /// Appends an array of records like a client, but without faults; returns the first offset.
  std::uint64_t Append(const std::string& aStream, const Json::Value& aRecords);
  /// Retained records of a stream, in order.
  std::vector<Json::Value> Records(const std::string& aStream) const;
  /// Number of appends and reads received, faulty ones included.
  std::uint64_t Requests() const { return this->requests; }

private:
  using Timer = boost::asio::basic_waitable_timer<Clock>;
  using Request = std::shared_ptr<ServedRequest>;

  struct Entry
  {
    Json::Value record;
    Time appended;
  };

  /// A long-polling read that waits for records.
  struct PendingRead
  {
    Request request;
    std::uint64_t from = 0;
    std::uint64_t limit = 0;
    std::shared_ptr<Timer> timer;
  };

  struct Stream
  {
    std::uint64_t firstRetained = 0;
    std::deque<Entry> entries;
    std::vector<PendingRead> pendingReads;

    /// Offset after the last record.
    std::uint64_t End() const { return this->firstRetained + this->entries.size(); }
  };

  void Serve(const Request& aRequest);
  void ServeWithFaults(const Request& aRequest, const std::string& aStream);
  void ServeStream(const Request& aRequest, const std::string& aStream, bool aLoseAnswer);
  void ServeAppend(const Request& aRequest, const std::string& aStream, bool aLoseAnswer);
  void ServeRead(const Request& aRequest, const std::string& aStream);
  void ServeFaults(const Request& aRequest);
  /// Fault mode of the current request; decrements the number of faulty requests left, if limited.
  LogFaultMode TakeFaultMode();
  void DropExpired();
  static void AnswerRead(const Stream& aStream, const PendingRead& aPendingRead);

  boost::asio::io_context& context;
  const Options options;
  std::map<std::string, Stream> streams;
  LogFaults faults;
  std::uint32_t faultyRequestsLeft = 0;
  std::uint64_t requests = 0;
  HttpServer server;
};

} // namespace jackdawwind::standins
