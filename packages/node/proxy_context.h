// What the parts of the I/O thread share.
#pragma once

#include <cstddef>
#include <cstdint>

#include "node/event_sender.h"
#include "node/outgoing_exchange.h"
#include "node/report_item.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

struct ProxyContext
{
  const NodeSettings& settings;
  OutgoingNetwork network;
  EventSender& events;
  ReportSink report;
  std::uint64_t lastExchange = 0;
  /// Entered and admitted calls in progress.
  std::size_t runningExchanges = 0;
  bool draining = false;
};

/// Exchanges in progress beyond which calls are refused kNodeBusy; bounds headers and table
/// entries, as the body budget bounds bodies.
constexpr std::size_t kMaxExchanges = 8192;

} // namespace jackdawwind::node
