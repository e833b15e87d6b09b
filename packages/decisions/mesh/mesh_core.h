// All decisions of one node of a fleet that routes requests by host name and path.
//
//   MeshCore core(options);
//   std::vector<Effect> effects = core.Start(now);
//   effects = core.Handle(event, now);            // for every event, and TimerFired at NextWake()
//
// A request enters at the node of the host where it begins. That node checks route, key and quota,
// picks a target and forwards the request to the node on that target's host (a hop). Only that node
// decides whether its target runs the request. Does no I/O and reads no clock: the same sequence of
// events and times gives the same effects. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "decisions/effects.h"
#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/settings.h"

namespace jackdawwind {

class MeshCore
{
public:
  struct Options
  {
    /// Address of this node, with the ports on which it listens.
    PeerAddress self;
    std::string domain;
    std::string region;
    /// Service of the target on this host; sent to targets as the calling service.
    std::string service;
    /// Entry of the policy file for the region; nothing without one.
    std::optional<RegionPolicy> policy;
    /// Must grow with every start of the node.
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    /// Retries per request that the fleet may send to one service.
    double repeatRatio = 0;
    /// Retries that the whole fleet may send to one service in addition to the ratio.
    double repeatExtra = 0;
    /// Time from the stop request until new requests are rejected and the process may exit.
    Duration drainDelay = std::chrono::milliseconds(2500);
    /// Time from the stop request until the process exits even if requests are in flight.
    Duration drainTimeout = std::chrono::milliseconds(5400);
  };

  explicit MeshCore(Options aOptions);
  ~MeshCore();

  Effects Start(Time aNow);
  Effects Handle(const Event& aEvent, Time aNow);
  /// Time at which Handle(TimerFired) is due.
  Time NextWake() const;
  /// Distance of another node.
  Distance DistanceTo(const std::string& aNode) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace jackdawwind
