#include "decisions/membership/announcer.h"

#include <utility>
#include <variant>

#include "decisions/config/control_state.h"

namespace jackdawwind {

namespace {

/// Delay after a failed append or one of unknown outcome.
constexpr Duration kRetryDelay = std::chrono::seconds(5);

} // namespace

Announcer::Announcer(NodeAnnounced aAnnouncement, Duration aRetention, TicketSource& aTickets)
  : announcement(std::move(aAnnouncement))
  , period(aRetention / 3)
  , tickets(aTickets)
{
}

void
Announcer::Receive(const LogAppended& aAppended, Time aNow)
{
  if (this->ticket == 0 || aAppended.Ticket() != this->ticket) {
    return;
  }
  this->ticket = 0;
  // Announcements are idempotent, so an unknown outcome is retried like a rejection.
  const bool appended = std::holds_alternative<Appended>(aAppended.Outcome());
  this->due = aNow + (appended ? this->period : kRetryDelay);
}

void
Announcer::Poll(Time aNow, Effects& aEffects)
{
  if (aNow < this->due) {
    return;
  }
  this->ticket = this->tickets.Next();
  this->due = Time::max();
  aEffects.push_back(AppendLog(
    { .ticket = this->ticket, .stream = kControlStream, .records = { this->announcement } }));
}

} // namespace jackdawwind
