#include "decisions/membership/announcer.h"

#include <utility>
#include <variant>

#include "decisions/config/control_state.h"

namespace jackdawwind {

namespace {

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
  // A second announcement does no harm, so a lost answer is treated like a refusal.
  const bool taken = std::holds_alternative<Appended>(aAppended.Outcome());
  this->due = aNow + (taken ? this->period : kRetryDelay);
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
