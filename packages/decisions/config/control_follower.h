// Decides how a node learns the control stream: by reading the log or from its peers, and who
// publishes snapshots.
//
// The two live nodes with the lowest ids of a domain read the log; the others get records relayed
// and read the log themselves after 3 s without news. A node whose offset is behind a peer's asks
// it with ConfigWant and gets the missing records or the whole state.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "decisions/config/control_state.h"
#include "decisions/effects.h"
#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class ControlFollower
{
public:
  struct Options
  {
    PeerAddress self;
    /// How long the log keeps records; snapshots are published every third of it.
    Duration retention{};
  };

  ControlFollower(Options aOptions, TicketSource& aTickets, std::uint64_t aSeed);

  /// Starts following the log from its beginning.
  void Start(Time aNow, Effects& aEffects);

  void Receive(const LogRead& aRead, Time aNow, Effects& aEffects);
  void Receive(const LogReadFailed& aFailure, Time aNow, Effects& aEffects);
  void Receive(const LogAppended& aAppended, Time aNow, Effects& aEffects);
  void Receive(const ConfigWant& aWant, Time aNow, Effects& aEffects);
  void Receive(const ConfigRelay& aRelay, Time aNow, Effects& aEffects);

  /// A peer reported its offset (in a probe or its acknowledgement).
  void NotePeerOffset(const PeerAddress& aPeer,
                      std::uint64_t aOffset,
                      Time aNow,
                      Effects& aEffects);

  /// Live members of the own domain (this node among them), whenever they change.
  void SetDomainMembers(const std::vector<PeerAddress>& aMembers, Time aNow, Effects& aEffects);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

  const ControlState& State() const { return this->state; }
  bool LogReachable() const { return this->logReachable; }
  /// Time since the log, or a peer that knows the log's state, last confirmed the configuration.
  Duration NewsAge(Time aNow) const;
  /// Node announcements read since the last call.
  std::vector<NodeAnnounced> TakeAnnouncements();

private:
  // The owner of this module adds its private members here.
  Options options;
  TicketSource& tickets;
  Random random;
  ControlState state;
  bool logReachable = false;
  std::vector<NodeAnnounced> announcements;
};

} // namespace jackdawwind
