// All decisions of one node of a fleet that routes requests by host name and path.
//
//   MeshCore core(options);
//   std::vector<Effect> effects = core.Start(now);
//   effects = core.Handle(event, now);            // for every event, and TimerFired at NextWake()
//
// A request enters at the node of the host where it begins. That node checks route, key and quota,
// picks a target and sends the request to the node beside it, which alone decides whether the
// target runs it. Does no I/O and reads no clock; the same sequence of events and times gives the
// same effects. Not safe for more than one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "decisions/effects.h"
#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class MeshCore
{
public:
  struct Options
  {
    /// This node with the ports that its listeners got.
    PeerAddress self;
    std::string domain;
    std::string region;
    /// Service of the target on this host; told to targets as the origin of requests.
    std::string service;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    /// Repeats per request and besides that the fleet may make of a service.
    double repeatRatio = 0;
    double repeatExtra = 0;
    /// Time after which a stopping process refuses new requests and may exit.
    Duration drainDelay = std::chrono::milliseconds(2500);
    /// Time after which a stopping process exits in any case.
    Duration drainTimeout = std::chrono::milliseconds(5400);
  };

  explicit MeshCore(Options aOptions);
  ~MeshCore();

  Effects Start(Time aNow);
  Effects Handle(const Event& aEvent, Time aNow);
  /// Time at which Handle(TimerFired) is due.
  Time NextWake() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace jackdawwind
