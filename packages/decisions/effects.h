// Effects that the decision modules return, and helpers to build them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "values/generated/calls.h"

namespace jackdawwind {

using Effects = std::vector<Effect>;

/// Appends a log line for aEvent; aDetail must not contain keys, call ids or bodies.
inline void
AddLogLine(Effects& aEffects, LogEvent aEvent, std::string aDetail)
{
  aEffects.push_back(LogLine({ .event = aEvent, .detail = std::move(aDetail) }));
}

/// Issues the tickets that match a log append with its result. The modules of a node share one
/// source, so that their tickets are unique.
class TicketSource
{
public:
  std::uint64_t Next() { return ++this->last; }

private:
  std::uint64_t last = 0;
};

} // namespace jackdawwind
