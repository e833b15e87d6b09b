// Replicates the control stream to a node, from the log or from its peers, and publishes snapshots.
//
//   ControlFollower follower(options, tickets, seed);
//   follower.Start(now, effects);
//   follower.Receive(logRead, now, effects);      // and the other messages
//   follower.Poll(now, effects);                  // at NextWake()
//   follower.State().FindKey(hash);
//
// The two active nodes with the lowest ids of a domain read the log and relay the records to the
// others, which read the log themselves after 3 s without a relay. A node whose offset is behind a
// peer's sends it a ConfigWant and receives the missing records or the whole state in a
// ConfigRelay.
//
// News is a confirmation that the state is the newest, by reaching the end of the log or from a
// peer. The news age is the time since that confirmation; relays carry it, so that every node knows
// how old its configuration may be even while it cannot reach the log.
//
// Guarantees: the state's offset never decreases, and two nodes at the same offset have the same
// state.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "decisions/config/control_state.h"
#include "decisions/config/record_history.h"
#include "decisions/config/relay_tree.h"
#include "decisions/config/snapshot_schedule.h"
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
    /// Time after which the log expires a record; a snapshot is published every third of it.
    Duration retention{};
  };

  ControlFollower(Options aOptions, TicketSource& aTickets, std::uint64_t aSeed);

  /// Starts reading the log from offset 0.
  void Start(Time aNow, Effects& aEffects);

  void Receive(const LogRead& aRead, Time aNow, Effects& aEffects);
  void Receive(const LogReadFailed& aFailure, Time aNow, Effects& aEffects);
  void Receive(const LogAppended& aAppended, Time aNow, Effects& aEffects);
  void Receive(const ConfigWant& aWant, Time aNow, Effects& aEffects);
  void Receive(const ConfigRelay& aRelay, Time aNow, Effects& aEffects);

  /// Handles the offset that a peer reported in a probe or an acknowledgement.
  void NotePeerOffset(const PeerAddress& aPeer,
                      std::uint64_t aOffset,
                      Time aNow,
                      Effects& aEffects);

  /// Sets the active members of the own domain, including this node; called when they change.
  void SetDomainMembers(const std::vector<PeerAddress>& aMembers, Time aNow, Effects& aEffects);

  /// Runs the timers that are due.
  void Poll(Time aNow, Effects& aEffects);
  /// Time of the next call to Poll; Time::max() before Start.
  Time NextWake() const;

  const ControlState& State() const { return this->state; }
  /// Whether the last read of the log succeeded.
  bool LogReachable() const { return this->logReachable; }
  /// Time since the end of the log, directly or through peers, last confirmed the state as newest.
  Duration NewsAge(Time aNow) const;
  /// Removes and returns the node announcements read since the last call.
  std::vector<NodeAnnounced> TakeAnnouncements();

private:
  /// Records read after older ones expired unread. They cannot be applied until a snapshot or a
  /// peer's state covers the expired ones.
  struct Gap
  {
    /// The state must reach this offset before the records can be applied.
    std::uint64_t from = 0;
    std::deque<LogRecord> records;
  };

  /// Detects that the process was suspended since the last call.
  void DetectPause(Time aNow);
  void FollowFrom(std::uint64_t aOffset, Effects& aEffects);
  /// Starts or stops reading the log, depending on the node's role, the last contact and the news
  /// age.
  void UpdateFollowing(Time aNow, Effects& aEffects);

  void Apply(const LogRecord& aRecord, Effects& aEffects);
  /// Replaces the state by a snapshot with a higher offset.
  void InstallSnapshot(const ConfigSnapshot& aSnapshot, Effects& aEffects);
  /// Buffers the records and installs the newest usable snapshot among them.
  void BufferInGap(const LogRead& aRead, Effects& aEffects);
  /// Applies the buffered records when the state has reached them.
  void TryCloseGap(Effects& aEffects);
  void CollectAnnouncements(const std::vector<LogRecord>& aRecords);
  void NoteSnapshots(const LogRead& aRead, Time aNow);
  void SetLogReachable(bool aReachable, Effects& aEffects);

  /// Sends the records since the last relay, possibly none, and the news age to the children.
  void RelayToChildren(Time aNow, Effects& aEffects);
  /// Records from aFrom on, or the whole state when they are not at hand or too many.
  ConfigRelay MakeRelay(std::uint64_t aFrom, Time aNow) const;
  /// Sends a ConfigWant unless another one is still waiting for its answer.
  void RequestRelay(const PeerAddress& aPeer, Time aNow, Effects& aEffects);
  /// Requests a relay from a random recent peer when neither the log nor a relay has brought news.
  void RequestNewsIfStale(Time aNow, Effects& aEffects);
  void UpdateNewsAge(const ConfigRelay& aRelay, Time aNow);
  void PublishSnapshot(Time aNow, Effects& aEffects);

  Options options;
  TicketSource& tickets;
  Random random;
  ControlState state;
  RecordHistory history;
  RelayTree tree;
  SnapshotSchedule snapshots;
  std::optional<Gap> gap;
  std::vector<NodeAnnounced> announcements;

  bool following = false;
  bool logReachable = false;
  bool outageReported = false;
  bool caughtUp = false;

  /// Time of the last confirmation that the state is the newest.
  Time newsAt;
  /// Time of the last complete log read or of the last relay at this node's offset.
  Time lastContactAt{};
  Time lastCallAt{};
  /// Unsolicited relays do not count as news until this time; see DetectPause.
  Time ignoreUnsolicitedUntil{};
  Time nextTick = Time::max();
  /// News age at which a node that is no reader reads the log itself.
  Duration readLogAfterStaleNews{};

  /// Offset up to which records were sent to the children.
  std::uint64_t relayedOffset = 0;
  Time relayedAt{};

  /// A ConfigWant that has not been answered.
  struct PendingRequest
  {
    std::string peer;
    Time at{};
  };
  std::optional<PendingRequest> pendingRequest;
  /// Peers that last reported an offset not behind this node's, newest at the back.
  std::deque<PeerAddress> recentPeers;
  /// Ticket of the snapshot append in flight.
  std::optional<std::uint64_t> snapshotTicket;
};

} // namespace jackdawwind
