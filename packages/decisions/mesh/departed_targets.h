// Remembers for other nodes which of their targets have left, and tells them after a restart.
//
//   for (const PeerAddress& holder : DepartureHolders(self, members)) { ... send TargetDeparted ...
//   } departed.Receive(message, now);                        // at a holder for (const SendPeer&
//   told : departed.TakeDue(members, now)) { ... }   // after member changes
//
// A node acknowledges that its target leaves. If it restarts before the target has ended, a
// heartbeat from before the acknowledgement may arrive late, and to the new process the target
// looks ready. The departure is in the platform's store (departure_log.h), which the new process
// may not reach. So the node also tells a few others, and each of them tells the new process as
// soon as it sees the restart, and again if that process announces a ready target. Messages may be
// lost; one holder is enough.
//
// TakeDue is linear in the number of departures kept, which is zero in a fleet at rest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/peer.h"

namespace jackdawwind {

/// Other nodes that hold the departures of a node: the next live members after it, in the order of
/// node ids, some of its own failure domain and some of the others. Linear in the number of
/// members.
std::vector<PeerAddress> DepartureHolders(const std::string& aNode,
                                          const std::map<std::string, Member>& aMembers);

class DepartedTargets
{
public:
  /// Time for which a departure is kept. Reports from before it arrive seconds late at most.
  static constexpr Duration kLifetime = std::chrono::minutes(5);
  /// Number of departures that are kept, one for each node.
  static constexpr std::size_t kMaxDepartures = 1024;

  void Receive(const TargetDeparted& aDeparted, Time aNow);
  /// Messages to nodes that have restarted since they acknowledged the departure.
  std::vector<SendPeer> TakeDue(const std::map<std::string, Member>& aMembers, Time aNow);

private:
  struct Departure
  {
    TargetDeparted message;
    Time receivedAt{};
    /// Process that was told, and whether it had announced a ready target by then.
    std::uint64_t toldIncarnation = 0;
    bool toldReady = false;
  };

  /// Latest departure by node.
  std::map<std::string, Departure> departures;
};

} // namespace jackdawwind
