// State shared by the exchange tables of the I/O thread for calls.
//
// An exchange is one call on one side of this node: a caller's request and its answer
// (EntryExchanges), or a forwarded request and its answer (AdmittedExchanges). Its number is unique
// within the process and identifies it in events to the decisions and in effects from them.
#pragma once

#include <cstddef>
#include <cstdint>

#include "node/event_sender.h"
#include "node/outgoing_exchange.h"
#include "node/report_item.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

/// Accessed by the I/O thread only.
struct ProxyContext
{
  const NodeSettings& settings;
  OutgoingNetwork network;
  EventSender& events;
  ReportSink report;
  /// Number of the newest exchange; 0 before the first.
  std::uint64_t lastExchange = 0;
  /// Exchanges in progress in both tables.
  std::size_t runningExchanges = 0;
  bool draining = false;
};

/// Calls beyond this number of exchanges in progress are refused with kNodeBusy. Bounds the memory
/// for headers and table entries, as the body budget bounds the memory for bodies.
constexpr std::size_t kMaxExchanges = 8192;

} // namespace jackdawwind::node
