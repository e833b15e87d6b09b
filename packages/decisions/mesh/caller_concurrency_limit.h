// Limit of the callers' requests that run at a target at once, by how they end.
//
//   CallerConcurrencyLimit limit;
//   limit.SetSlots(36);
//   limit.NoteSuccess(running);
//   limit.NoteFailure(running, priority, now);
//   if (running < limit.Limit()) { ... }
//
// Answers the load pattern "a service deep in the chain is full": a request whose calls are refused
// deep down fails after most of its work is done, and all of that is wasted. Calls carry nothing of
// their request, so the refusal cannot name it; but the target beside this node fails what its
// calls fail, and that is seen here. Additive increase and multiplicative decrease over all targets
// turn requests away before their first call. Less urgent kinds step back further, so that what is
// urgent keeps its part.
#pragma once

#include <cstddef>
#include <cstdint>

#include "util/clock.h"

namespace jackdawwind {

class CallerConcurrencyLimit
{
public:
  void SetSlots(std::uint32_t aSlots);
  /// A request was answered with a success; aRunning: requests at the target with it.
  void NoteSuccess(std::size_t aRunning);
  /// A request failed at the target; aPriority: 0 for the most urgent kind.
  void NoteFailure(std::size_t aRunning, std::uint32_t aPriority, Time aNow);

  std::size_t Limit() const;

private:
  double slots = 0;
  double limit = 0;
  /// Mean part of failed requests among the latest.
  double failures = 0;
  Time lastDecrease{};
};

} // namespace jackdawwind
