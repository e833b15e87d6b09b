// Items that the other threads send to the reporting thread.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "values/generated/calls.h"

namespace jackdawwind::node {

/// A message, event, report or connection that was dropped at a limit or could not be sent.
struct ItemDropped
{
  /// Name of the full ring or other cause, for example "events" for the event ring; label value of
  /// the drop counter.
  std::string ring;

  friend bool operator==(const ItemDropped&, const ItemDropped&) = default;
};

/// A request that the I/O thread refused before the decision thread saw it.
struct EarlyRefusal
{
  ResultCode code = ResultCode::kMalformedRequest;
  /// Reason for the log; contains no part of the request that could be a secret.
  std::string reason;

  friend bool operator==(const EarlyRefusal&, const EarlyRefusal&) = default;
};

/// Control messages of one kind that were sent over one distance since the previous item.
struct ControlTraffic
{
  /// Name of the message on the wire, for example "probe".
  std::string kind;
  Distance distance = Distance::kUnknown;
  std::uint64_t messages = 0;
  /// Bytes of the messages, without HTTP headers.
  std::uint64_t bytes = 0;

  friend auto operator<=>(const ControlTraffic&, const ControlTraffic&) = default;
};

/// Control messages that this node sent, in the order of kind and distance.
struct ControlTrafficReport
{
  std::vector<ControlTraffic> sent;

  friend bool operator==(const ControlTrafficReport&, const ControlTrafficReport&) = default;
};

using ReportItem = std::variant<LogLine,
                                CallMeasured,
                                MetricUpdated,
                                PhaseChanged,
                                StatusReady,
                                ItemDropped,
                                EarlyRefusal,
                                ControlTrafficReport>;

/// Queues a report without blocking; may be called from any thread.
using ReportSink = std::function<void(ReportItem)>;

/// Reports a numbered log event; aDetail must not contain a key, a call id or a body.
inline void
ReportEvent(const ReportSink& aSink, LogEvent aEvent, std::string aDetail)
{
  aSink(LogLine({ .event = aEvent, .detail = std::move(aDetail) }));
}

} // namespace jackdawwind::node
