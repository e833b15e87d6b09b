// Announces a node in the log, so that nodes without seeds find it, and again before the record
// expires.
#pragma once

#include <cstdint>

#include "decisions/effects.h"
#include "util/clock.h"
#include "values/generated/records.h"

namespace jackdawwind {

class Announcer
{
public:
  /// aRetention is how long the log keeps records.
  Announcer(NodeAnnounced aAnnouncement, Duration aRetention, TicketSource& aTickets);

  void Receive(const LogAppended& aAppended, Time aNow);
  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const { return this->due; }

private:
  NodeAnnounced announcement;
  Duration period;
  TicketSource& tickets;
  std::uint64_t ticket = 0;
  Time due{};
};

} // namespace jackdawwind
