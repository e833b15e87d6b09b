// Decision core of one node: maps events to effects.
//
//   NodeCore core(options);
//   std::vector<Effect> effects = core.Start(now);
//   effects = core.Handle(event, now);      // for every event, and TimerFired at NextWake()
//
// The core does no I/O and reads no clock: the same sequence of events and times gives the same
// effects. It composes the decision modules for membership, configuration, rate limits, claims,
// routing and admission, and passes changes from one to the other. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decisions/effects.h"
#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind {

class NodeCore
{
public:
  struct Options
  {
    NodeSettings settings;
    /// Own address, with the ports that the listeners are bound to.
    PeerAddress self;
    std::uint64_t incarnation = 0;
    /// Seed of all random choices.
    std::uint64_t seed = 0;
    /// Unix time at the zero of the monotonic clock.
    std::chrono::microseconds unixTimeAtClockZero{};
    /// Generates unguessable call and root ids.
    std::function<std::string()> makeId;
  };

  explicit NodeCore(Options aOptions);
  ~NodeCore();

  /// Must be called once, before the first event.
  Effects Start(Time aNow);
  Effects Handle(const Event& aEvent, Time aNow);
  /// Time at which Handle(TimerFired) is due.
  Time NextWake() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace jackdawwind
