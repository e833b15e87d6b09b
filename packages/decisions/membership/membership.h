// Finds the other nodes of the fleet, notices which of them stop answering, and forgets the dead.
//
//   Membership membership(options, seed);
//   membership.Start(now, effects);
//   membership.Receive(probe, now, effects);     // and every other membership message
//   membership.Poll(now, effects);               // at NextWake()
//
// One probe per period whatever the size of the fleet; changes travel on probes, so that control
// bytes per node do not grow with the number of members.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/effects.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class Membership
{
public:
  struct Options
  {
    /// This node; state alive, target state none.
    Member self;
    std::vector<PeerAddress> seeds;
    Duration period = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(300);
    Duration suspicionTimeout = std::chrono::seconds(4);
    Duration forgetAfter = std::chrono::seconds(60);
  };

  Membership(Options aOptions, std::uint64_t aSeed);

  void Start(Time aNow, Effects& aEffects);
  void Receive(const Probe& aProbe, Time aNow, Effects& aEffects);
  void Receive(const ProbeAck& aAck, Time aNow, Effects& aEffects);
  void Receive(const ProbeRequest& aRequest, Time aNow, Effects& aEffects);
  void Receive(const MemberSync& aSync, Time aNow, Effects& aEffects);
  /// A node announced itself in the log.
  void Learn(const NodeAnnounced& aAnnounced, Time aNow, Effects& aEffects);

  /// The target beside this node changed.
  void SetTarget(const std::string& aService, TargetState aState, Time aNow, Effects& aEffects);
  /// This node is shutting down; sent to several peers at once.
  void Leave(Time aNow, Effects& aEffects);
  /// Offset that this node's probes report.
  void SetConfigOffset(std::uint64_t aOffset);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

  /// All known members by node id, this node and the dead that are not yet forgotten included.
  const std::map<std::string, Member>& Members() const { return this->members; }
  /// Live or suspect members of a domain, this node included, in the order of their ids.
  std::vector<PeerAddress> LiveOf(const std::string& aDomain) const;
  /// Grows whenever Members() changes.
  std::uint64_t Changes() const { return this->changeCount; }

private:
  Options options;
  Random random;
  std::map<std::string, Member> members;
  std::uint64_t changeCount = 0;
};

} // namespace jackdawwind
