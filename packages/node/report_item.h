// What the other threads hand to the reporting thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "values/generated/calls.h"

namespace jackdawwind::node {

/// A message that was dropped.
struct ItemDropped
{
  /// Where and why, for example "events" for a full ring of events.
  std::string ring;

  friend bool operator==(const ItemDropped&, const ItemDropped&) = default;
};

/// A request that the I/O thread refused by itself, before the decisions knew of it.
struct EarlyRefusal
{
  ResultCode code = ResultCode::kMalformedRequest;
  /// Why, without any part of the request that could be a secret.
  std::string reason;

  friend bool operator==(const EarlyRefusal&, const EarlyRefusal&) = default;
};

using ReportItem =
  std::variant<LogLine, CallMeasured, PhaseChanged, StatusReady, ItemDropped, EarlyRefusal>;

/// Takes a report without waiting; safe for every thread.
using ReportSink = std::function<void(ReportItem)>;

/// Reports a numbered log event; aDetail must hold no key, call id or body.
inline void
ReportEvent(const ReportSink& aSink, LogEvent aEvent, std::string aDetail)
{
  aSink(LogLine({ .event = aEvent, .detail = std::move(aDetail) }));
}

} // namespace jackdawwind::node
