// Where decision modules put their effects.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "values/generated/calls.h"

namespace jackdawwind {

using Effects = std::vector<Effect>;

/// Adds the log line of a numbered event; aDetail must hold no key, call id or body.
inline void
AddLogLine(Effects& aEffects, LogEvent aEvent, std::string aDetail)
{
  aEffects.push_back(LogLine({ .event = aEvent, .detail = std::move(aDetail) }));
}

/// Hands out the tickets of log appends; shared by the modules of one node.
class TicketSource
{
public:
  std::uint64_t Next() { return ++this->last; }

private:
  std::uint64_t last = 0;
};

} // namespace jackdawwind
