// Announces a node in the control stream of the log, so that nodes without seeds can find it.
//
//   Announcer announcer(announcement, retention, tickets);
//   announcer.Poll(now, effects);                // at NextWake(); the first call appends
//   announcer.Receive(logAppended, now);
//
// The announcement is appended again three times per retention, before the record expires, and
// after 5 s when an append failed or its outcome is unknown.
#pragma once

#include <cstdint>

#include "decisions/effects.h"
#include "util/clock.h"
#include "values/generated/records.h"

namespace jackdawwind {

class Announcer
{
public:
  /// aRetention: time after which the log expires a record.
  Announcer(NodeAnnounced aAnnouncement, Duration aRetention, TicketSource& aTickets);

  /// Schedules the next announcement; answers to other tickets are ignored.
  void Receive(const LogAppended& aAppended, Time aNow);
  void Poll(Time aNow, Effects& aEffects);
  /// Time of the next announcement; Time::max() while an append is in flight.
  Time NextWake() const { return this->due; }

private:
  NodeAnnounced announcement;
  Duration period;
  TicketSource& tickets;
  std::uint64_t ticket = 0;
  Time due{};
};

} // namespace jackdawwind
