// Thread of metrics, log lines and the administration listener.
//
//   Reporting::OpenResult opened = Reporting::Open(settings, events);
//   Reporting& reporting = *std::get<std::unique_ptr<Reporting>>(opened);
//   reporting.Start();
//   reporting.Submit(LogLine(...));      // never waits; the oldest report is dropped when full
//
// GET /health answers while the process lives, GET /health/ready only in the phase serving. GET
// /status and POST /drain need the administration token.
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
  /// Takes a report; safe for every thread.
  void Submit(ReportItem aItem);
  /// Writes the reports that wait and ends the thread.
  void Stop();

private:
  static constexpr std::size_t kReportRing = 8192;
  /// Largest request of the administration API; its requests have no bodies of note.
  static constexpr std::uint32_t kMaxBodyBytes = 65536;
  static constexpr std::uint32_t kMaxHeaderBytes = 8192;
  static constexpr std::uint64_t kBodyMemoryBytes = 1U << 20U;
  static constexpr std::size_t kMaxConnections = 64;
  /// Time in which the decisions answer a request for the status.
  static constexpr Duration kStatusTimeout = std::chrono::seconds(2);

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
  void ApplyReports();
  void Apply(const LogLine& aItem);
  void Apply(const CallMeasured& aItem);
  void Apply(const PhaseChanged& aItem);
  void Apply(const StatusReady& aItem);
  void Apply(const ItemDropped& aItem);
  void Apply(const EarlyRefusal& aItem);

  const NodeSettings& settings;
  Ring<Event>& events;
  LogWriter log;
  Metrics metrics;
  Phase phase = Phase::kBooting;
  BodyBudget budget;
  std::shared_ptr<std::size_t> connectionCount = std::make_shared<std::size_t>(0);
  asio::io_context io;
  std::unique_ptr<Listener> listener;
  std::map<std::uint64_t, StatusWaiter> waiters;
  std::uint64_t lastTicket = 0;
  Ring<ReportItem> reports;
  std::thread thread;
};

} // namespace jackdawwind::node
