// What the other threads hand to the reporting thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "values/generated/calls.h"

namespace jackdawwind::node {

/// An element that did not fit into a ring.
struct RingDropped
{
  /// Name of the ring, for example "events".
  std::string ring;

  friend bool operator==(const RingDropped&, const RingDropped&) = default;
};

using ReportItem = std::variant<LogLine, CallMeasured, PhaseChanged, StatusReady, RingDropped>;

/// Takes a report without waiting; safe for every thread.
using ReportSink = std::function<void(ReportItem)>;

/// Reports a numbered log event; aDetail must hold no key, call id or body.
inline void
ReportEvent(const ReportSink& aSink, LogEvent aEvent, std::string aDetail)
{
  aSink(LogLine({ .event = aEvent, .detail = std::move(aDetail) }));
}

} // namespace jackdawwind::node
