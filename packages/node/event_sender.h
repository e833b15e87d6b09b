// Sends the events of the I/O thread to the decision thread.
//
//   if (!sender.TrySendArrival(event)) { ... }  // ring full: refuse the request as not run
//   sender.Deliver(event);                      // end of an exchange that the decisions track
//
// Deliver never blocks and never loses an event: events that do not fit into the ring go to a
// backlog, which is retried in order. The backlog is bounded by the number of exchanges and
// attempts in progress, since each of them has at most one end event. Not safe for more than one
// thread.
#pragma once

#include <deque>
#include <utility>

#include "node/net.h"
#include "node/report_item.h"
#include "util/ring.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

class EventSender
{
public:
  EventSender(asio::io_context& aIo, Ring<Event>& aRing, ReportSink aReport)
    : timer(aIo)
    , ring(aRing)
    , report(std::move(aReport))
  {
  }

  /// Sends the first event of an exchange. Counts a drop and returns false when the ring is full.
  bool TrySendArrival(Event aEvent)
  {
    // A backlog means that the ring is full, and an arrival must not overtake older events.
    const bool sent = this->backlog.empty() && this->ring.TryPush(std::move(aEvent));
    if (!sent) {
      this->report(ItemDropped{ "events" });
    }
    return sent;
  }

  /// Sends an event that must not be lost; puts it into the backlog when the ring is full.
  void Deliver(Event aEvent)
  {
    if (this->backlog.empty() && this->ring.TryPush(aEvent)) {
      return;
    }
    this->backlog.push_back(std::move(aEvent));
    if (this->backlog.size() == 1) {
      this->ArmRetry();
    }
  }

private:
  /// Delay before a full ring is retried; the decision thread empties the ring in one step.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(2);

  void ArmRetry()
  {
    this->timer.expires_after(kRetryDelay);
    this->timer.async_wait([this](const ErrorCode& aError) {
      if (!aError) {
        this->FlushBacklog();
      }
    });
  }

  void FlushBacklog()
  {
    while (!this->backlog.empty() && this->ring.TryPush(this->backlog.front())) {
      this->backlog.pop_front();
    }
    if (!this->backlog.empty() && !this->ring.Closed()) {
      this->ArmRetry();
    }
  }

  ClockTimer timer;
  Ring<Event>& ring;
  ReportSink report;
  std::deque<Event> backlog;
};

} // namespace jackdawwind::node
