// All decisions of one node.
//
//   NodeCore core(options);
//   std::vector<Effect> effects = core.Start(now);
//   effects = core.Handle(event, now);            // for every event, and TimerFired at NextWake()
//
// Does no I/O and reads no clock; the same sequence of events and times gives the same effects. It
// only composes the modules beside it. Not safe for more than one thread.
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
    /// Addresses with the ports that the listeners got.
    PeerAddress self;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    /// Unix time at the zero of the monotonic clock.
    std::chrono::microseconds unixTimeAtClockZero{};
    /// Makes unguessable call and root ids.
    std::function<std::string()> makeId;
  };

  explicit NodeCore(Options aOptions);
  ~NodeCore();

  Effects Start(Time aNow);
  Effects Handle(const Event& aEvent, Time aNow);
  /// Time at which Handle(TimerFired) is due.
  Time NextWake() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace jackdawwind
