// Hands the events of the I/O thread to the decisions.
//
//   if (!sender.TrySendArrival(event)) { ... }     // full: refuse the call, not run
//   sender.Deliver(event);                     // the end of something the decisions know of
//
// Deliver never waits and never loses an event: what does not fit is kept in order and offered
// again. Kept events are bounded by the exchanges in progress, of which each has at most one end.
// Not safe for more than one thread.
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

  /// Offers an event whose exchange the decisions do not know yet; false when the ring is full.
  bool TrySendArrival(Event aEvent)
  {
    // Behind kept events there is no room, and an arrival must not overtake them.
    const bool taken = this->kept.empty() && this->ring.TryPush(std::move(aEvent));
    if (!taken) {
      this->report(ItemDropped{ "events" });
    }
    return taken;
  }

  void Deliver(Event aEvent)
  {
    if (this->kept.empty() && this->ring.TryPush(aEvent)) {
      return;
    }
    this->kept.push_back(std::move(aEvent));
    if (this->kept.size() == 1) {
      this->Arm();
    }
  }

private:
  /// Time until a full ring is tried again; the decisions empty the ring in one step.
  static constexpr Duration kRetryTime = std::chrono::milliseconds(2);

  void Arm()
  {
    this->timer.expires_after(kRetryTime);
    this->timer.async_wait([this](const ErrorCode& aError) {
      if (!aError) {
        this->Retry();
      }
    });
  }

  void Retry()
  {
    while (!this->kept.empty() && this->ring.TryPush(this->kept.front())) {
      this->kept.pop_front();
    }
    if (!this->kept.empty() && !this->ring.Closed()) {
      this->Arm();
    }
  }

  ClockTimer timer;
  Ring<Event>& ring;
  ReportSink report;
  std::deque<Event> kept;
};

} // namespace jackdawwind::node
