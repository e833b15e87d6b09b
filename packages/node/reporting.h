// Reporting thread: metrics, log lines and the administration API.
//
//   Reporting::OpenResult opened = Reporting::Open(settings, events);
//   Reporting& reporting = *std::get<std::unique_ptr<Reporting>>(opened);
//   reporting.Start();
//   reporting.Submit(LogLine(...));      // never blocks; a full ring drops its oldest report
//
// Reports are applied in batches, kBatchInterval after the first of a batch, so that a busy node
// wakes this thread a few times a second and not once for each report. Changes of the phase and
// status answers are applied at once.
//
// GET /health succeeds while the process runs, GET /health/ready only in the phase serving. GET
// /metrics returns the metrics as Prometheus text. GET /status and POST /drain require the
// administration token.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include "node/listener.h"
#include "node/log_writer.h"
#include "node/metrics.h"
#include "node/report_item.h"
#include "node/server_connection.h"
#include "util/ring.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class Reporting
{
public:
  using OpenResult = std::variant<std::unique_ptr<Reporting>, ListenError>;

  /// Opens the listener. aSettings and aEvents must outlive the result.
  static OpenResult Open(const NodeSettings& aSettings, Ring<Event>& aEvents);

  Reporting(const NodeSettings& aSettings, Ring<Event>& aEvents);
  ~Reporting();
  Reporting(const Reporting&) = delete;
  Reporting& operator=(const Reporting&) = delete;

  std::uint16_t Port() const { return this->listener->Port(); }
  void Start();
  /// Queues a report; may be called from any thread.
  void Submit(ReportItem aItem);
  /// Writes the queued reports and joins the thread.
  void Stop();

private:
  static constexpr std::size_t kReportRingCapacity = 8192;
  /// Maximum body of a request to the administration API, whose requests need none.
  static constexpr std::uint32_t kMaxBodyBytes = 65536;
  static constexpr std::uint32_t kMaxHeaderBytes = 8192;
  static constexpr std::uint64_t kBodyMemoryBytes = 1U << 20U;
  static constexpr std::size_t kMaxConnections = 64;
  /// Time limit for the decision thread to answer a status request.
  static constexpr Duration kStatusTimeout = std::chrono::seconds(2);
  /// Longest delay of a log line or metric. The ring holds the reports of this time at several
  /// times the highest rate of requests.
  static constexpr Duration kBatchInterval = std::chrono::milliseconds(250);

  /// Status request that waits for its answer from the decision thread.
  struct StatusWaiter
  {
    ServerConnection::Pointer connection;
    std::shared_ptr<OperationTimer> timer;
  };

  void Accept(Tcp::socket aSocket);
  void OnRequest(const ServerConnection::Pointer& aConnection, const HttpRequest& aRequest);
  bool IsAuthorised(const HttpRequest& aRequest) const;
  void OnStatus(const ServerConnection::Pointer& aConnection);
  void OnDrain(const ServerConnection::Pointer& aConnection);
  void Answer(const ServerConnection::Pointer& aConnection, HttpResponse aResponse);
  /// Schedules ApplyReports for the end of the batch.
  void BeginBatch();
  void ApplyReports();
  void Apply(const LogLine& aItem);
  void Apply(const CallMeasured& aItem);
  void Apply(const MetricUpdated& aItem);
  void Apply(const PhaseChanged& aItem);
  void Apply(const StatusReady& aItem);
  void Apply(const ItemDropped& aItem);
  void Apply(const EarlyRefusal& aItem);
  void Apply(const ControlTrafficReport& aItem);

  const NodeSettings& settings;
  Ring<Event>& events;
  LogWriter log;
  Metrics metrics;
  Phase phase = Phase::kBooting;
  BodyBudget budget;
  std::shared_ptr<std::size_t> connectionCount = std::make_shared<std::size_t>(0);
  asio::io_context io;
  ClockTimer batchTimer;
  std::unique_ptr<Listener> listener;
  std::map<std::uint64_t, StatusWaiter> waiters;
  std::uint64_t lastTicket = 0;
  Ring<ReportItem> reports;
  std::thread thread;
};

} // namespace jackdawwind::node
