// Adaptive limit on the callers' requests that run concurrently at the local target (AIMD).
//
//   CallerConcurrencyLimit limit;
//   limit.SetSlots(36);
//   limit.NoteSuccess(running);
//   limit.NoteFailure(running, priority, now);
//   if (running < limit.Limit()) { ... }
//
// Protects against overload of a service deeper in the call chain. A request whose nested calls are
// rejected there fails after most of its work is done, and that work is wasted. A call does not
// identify the request that made it, so the overloaded service can't say which request to shed;
// but the request then fails at its own target, where this node observes it. Each node decreases
// its limit multiplicatively when the failure rate is high and increases it additively on success,
// so that requests are rejected before they make their first call. Failures of less urgent requests
// decrease the limit more, which leaves the downstream capacity to the urgent ones.
#pragma once

#include <cstddef>
#include <cstdint>

#include "util/clock.h"

namespace jackdawwind {

class CallerConcurrencyLimit
{
public:
  /// Sets the upper bound of the limit: the number of requests that the target runs at once.
  void SetSlots(std::uint32_t aSlots);
  /// Records a successful answer. aRunning: callers' requests at the target, including this one.
  void NoteSuccess(std::size_t aRunning);
  /// Records a failed request. aRunning: callers' requests at the target, including this one;
  /// aPriority: route priority, 0 is the most urgent.
  void NoteFailure(std::size_t aRunning, std::uint32_t aPriority, Time aNow);

  /// Callers' requests that may run at once.
  std::size_t Limit() const;

private:
  double slots = 0;
  double limit = 0;
  /// Moving average of the share of failed requests.
  double failureRate = 0;
  Time lastDecrease{};
};

} // namespace jackdawwind
