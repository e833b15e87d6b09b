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

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/effects.h"
#include "decisions/membership/change_queue.h"
#include "decisions/membership/contact_list.h"
#include "decisions/membership/failure_detector.h"
#include "decisions/membership/member_table.h"
#include "decisions/membership/probe_ring.h"
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
  void HandleAnnouncement(const NodeAnnounced& aAnnounced, Time aNow, Effects& aEffects);

  /// A message to a node went unanswered: it is probed next, at once if no other probe runs, so
  /// that traffic finds a dead node sooner than the round of probes does.
  void ReportUnresponsive(const std::string& aNode, Time aNow);
  /// The target beside this node changed.
  void SetTarget(const std::string& aService, TargetState aState, Time aNow, Effects& aEffects);
  /// This node is shutting down; sent to several peers at once.
  void Leave(Time aNow, Effects& aEffects);
  /// Offset that this node's probes report.
  void SetConfigOffset(std::uint64_t aOffset);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

  /// All known members by node id, this node and the dead that are not yet forgotten included.
  const std::map<std::string, Member>& Members() const { return this->table.All(); }
  /// The same as a list, in the order of the ids.
  std::vector<Member> List() const;
  /// Live or suspect members of a domain, this node included, in the order of their ids.
  std::vector<PeerAddress> ActiveMembers(const std::string& aDomain) const;
  /// Grows whenever Members() changes.
  std::uint64_t ChangeCount() const { return this->table.ChangeCount(); }

private:
  const Member& Self() const;
  /// Raises the own version and lets the change spread.
  void PutSelf(Member::Fields aFields, Time aNow);

  void MergeAll(const std::vector<Member>& aMembers, Time aNow, Effects& aEffects);
  void MergeSelf(const Member& aClaim, Time aNow, Effects& aEffects);
  /// Starts and stops timers, queues the record and reports the change.
  /// aOwnFinding: this node made the change and tells the other domains too.
  void Follow(const TableChange& aChange, bool aOwnFinding, Time aNow, Effects& aEffects);
  void Report(const TableChange& aChange, Effects& aEffects) const;

  /// Records for a message to aNode: what the receiver must answer to, then queued changes.
  std::vector<Member> ChangesFor(const std::string& aNode, bool aWithSelf);
  void SendProbe(const PeerAddress& aTo,
                 std::uint64_t aSequence,
                 const std::string& aOnBehalfOf,
                 bool aWithSelf,
                 Effects& aEffects);
  void SendAck(const PeerAddress& aTo,
               std::uint64_t aSequence,
               const std::string& aSubject,
               std::vector<Member> aChanges,
               Effects& aEffects) const;
  void SendSync(const PeerAddress& aTo,
                std::vector<Member> aMembers,
                bool aReply,
                Effects& aEffects) const;
  /// Asks for a full exchange when the table of a peer keeps differing.
  void CompareHash(const PeerAddress& aPeer,
                   std::uint64_t aHash,
                   bool aWasStranger,
                   Time aNow,
                   Effects& aEffects);

  void BeginPeriod(Time aNow, Effects& aEffects);
  /// Tells some nodes that others hold them for dead; returns one to probe.
  std::optional<std::string> TellDoubts(Effects& aEffects);
  void LookForOthers(Effects& aEffects, Time aNow);
  void CheckProbe(Time aNow, Effects& aEffects);
  void RemoveExpired(Time aNow, Effects& aEffects);
  void SchedulePush(const std::string& aNode, bool aOwnFinding, Time aNow);
  void PushChanges(Time aNow, Effects& aEffects);
  /// Other live nodes in random order: of aDomain, or of all domains when it is empty.
  std::vector<PeerAddress> RandomPeers(const std::string& aDomain, std::size_t aCount);
  void PushTo(const std::vector<PeerAddress>& aPeers,
              const std::vector<Member>& aChanges,
              Effects& aEffects) const;

  Options options;
  Random random;
  MemberTable table;
  ChangeQueue queue;
  ProbeRing ring;
  FailureDetector detector;
  ContactList contacts;
  bool started = false;
  std::uint64_t configOffset = 0;
  Time nextPeriod{};
  /// Node to probe next.
  std::optional<std::string> doubted;
  Time nextSync{};
  /// Nodes with changes to push at once, and whether this node made the change.
  std::map<std::string, bool> urgent;
  /// Time::max() for none.
  Time pushDue = Time::max();
  Time lastPush{};
  /// Dead nodes and when to forget them.
  std::map<std::string, Time> forgetAt;
  /// Nodes that are alive here and dead elsewhere, with the claim that they have to refute.
  std::map<std::string, Member> doubts;
  /// Number of differing hashes in a row by peer.
  std::map<std::string, std::uint32_t> differing;
};

} // namespace jackdawwind
