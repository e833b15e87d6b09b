// Decides how a node learns the control stream: by reading the log or from its peers, and who
// publishes snapshots.
//
//   ControlFollower follower(options, tickets, seed);
//   follower.Start(now, effects);
//   follower.Receive(logRead, now, effects);      // and the other messages
//   follower.Poll(now, effects);                  // at NextWake()
//   follower.State().FindKey(hash);
//
// The two live nodes with the lowest ids of a domain read the log; the others get records relayed
// and read the log themselves after 3 s without news. A node whose offset is behind a peer's asks
// it with ConfigWant and gets the missing records or the whole state. The state's offset only
// grows, and two nodes at the same offset have the same state.
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
  /// Records read while older ones are missing that expired before they were read.
  struct Gap
  {
    /// Offset of the first record at hand.
    std::uint64_t from = 0;
    std::deque<LogRecord> records;
  };

  void NoticePause(Time aNow);
  void FollowFrom(std::uint64_t aOffset, Effects& aEffects);
  /// Begins or ends reading the log as the roles and the age of the news demand.
  void UpdateFollowing(Time aNow, Effects& aEffects);

  void Apply(const LogRecord& aRecord, Effects& aEffects);
  /// Takes a state with a higher offset, and the records read after it.
  void Adopt(const ConfigSnapshot& aSnapshot, Effects& aEffects);
  void KeepForGap(const LogRead& aRead, Effects& aEffects);
  /// Applies the kept records when the state reaches them.
  void TryCloseGap(Effects& aEffects);
  void NoteAnnouncements(const std::vector<LogRecord>& aRecords);
  void NoteSnapshots(const LogRead& aRead, Time aNow);
  void SetLogReachable(bool aReachable, Effects& aEffects);

  /// Sends the records since the last relay, or only the age of the news, down the tree.
  void RelayDown(Time aNow, Effects& aEffects);
  ConfigRelay MakeRelay(std::uint64_t aFrom, Time aNow) const;
  void Ask(const PeerAddress& aPeer, Time aNow, Effects& aEffects);
  /// Asks some peer for news when neither the log nor a relay brings them.
  void AskForNews(Time aNow, Effects& aEffects);
  void TakeNews(const ConfigRelay& aRelay, Time aNow);
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

  /// When the log or a peer last confirmed that the state is the newest.
  Time newsAt;
  /// When the log or a relay was last heard of.
  Time heardAt{};
  Time lastCall{};
  /// News that were not asked for do not count until then; see NoticePause.
  Time distrustUntil{};
  Time nextTick = Time::max();
  Duration readAfterOldNews{};

  std::uint64_t relayedOffset = 0;
  Time relayedAt{};

  /// The running question to a peer.
  struct Question
  {
    std::string peer;
    Time at{};
  };
  std::optional<Question> question;
  /// Peers heard of last, newest at the back.
  std::deque<PeerAddress> recentPeers;
  std::optional<std::uint64_t> snapshotTicket;
};

} // namespace jackdawwind
