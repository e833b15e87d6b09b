// Gossip membership in the manner of SWIM: discovers the other nodes of the fleet, detects failed
// nodes by probing, and spreads state changes on probes and acknowledgements.
//
//   Membership membership(options, seed);
//   membership.Start(now, effects);
//   membership.Receive(probe, now, effects);     // and every other membership message
//   membership.Poll(now, effects);               // at NextWake()
//
// A node sends one probe per period, whatever the size of the fleet, and each message carries a
// bounded number of changes, so the control traffic of a node does not grow with the number of
// members. Changes that must spread fast are also pushed to a few random members.
//
// States: a member that does not answer becomes suspect, and dead after the suspicion timeout
// unless it refutes the suspicion with a higher version. An active member is alive or suspect; a
// live member is any that is not dead, so members that are leaving are live but not active. An
// unconfirmed death is a record that reports an active member as dead; see
// MemberTable::IsUnconfirmedDeath.
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
    /// Addresses to contact on start; this node's own address is ignored.
    std::vector<PeerAddress> seeds;
    /// Time between two probes; a probe unanswered at its end has failed.
    Duration period = std::chrono::seconds(1);
    /// An unanswered probe is repeated through other members after this time.
    Duration ackTimeout = std::chrono::milliseconds(300);
    /// A suspect that does not refute the suspicion within this time is declared dead.
    Duration suspicionTimeout = std::chrono::seconds(4);
    /// A dead member is removed from the table after this time.
    Duration forgetAfter = std::chrono::seconds(60);
  };

  Membership(Options aOptions, std::uint64_t aSeed);

  /// Contacts the seeds and starts probing; Poll does nothing before.
  void Start(Time aNow, Effects& aEffects);
  void Receive(const Probe& aProbe, Time aNow, Effects& aEffects);
  void Receive(const ProbeAck& aAck, Time aNow, Effects& aEffects);
  void Receive(const ProbeRequest& aRequest, Time aNow, Effects& aEffects);
  void Receive(const MemberSync& aSync, Time aNow, Effects& aEffects);
  /// Adds announced nodes as contacts; they become members when they answer. A node that knows no
  /// other member contacts a few of them at once.
  void HandleAnnouncements(const std::vector<NodeAnnounced>& aAnnounced,
                           Time aNow,
                           Effects& aEffects);

  /// Reports that a message to a node went unanswered. The node is probed next, at once if no probe
  /// is in flight, so that calls reveal a dead node sooner than the regular probes.
  void ReportUnresponsive(const std::string& aNode, Time aNow);
  /// Publishes the service and state of the target beside this node in its member record.
  void SetTarget(const std::string& aService, TargetState aState, Time aNow, Effects& aEffects);
  /// Marks this node as leaving and pushes the change to several peers at once.
  void Leave(Time aNow, Effects& aEffects);
  /// Sets the offset or version of the configuration that this node's probes and acknowledgements
  /// report; nothing before the first one.
  void SetConfigOffset(std::optional<std::uint64_t> aOffset);
  /// Sets the hash of the evacuation orders that probes carry.
  void SetEvacuationHash(std::uint64_t aHash) { this->evacuationHash = aHash; }
  /// Sets the era of the platform's store that this node's probes and acknowledgements report;
  /// empty before the first one.
  void SetStoreEra(std::optional<std::uint64_t> aEra);

  /// Runs the timers that are due.
  void Poll(Time aNow, Effects& aEffects);
  /// Time of the next call to Poll; Time::max() before Start.
  Time NextWake() const;

  /// All known members by node id, including this node and dead members not yet forgotten.
  const std::map<std::string, Member>& Members() const { return this->table.All(); }
  /// The same members as a list, ordered by node id.
  std::vector<Member> List() const;
  /// Addresses of the active members of a domain, including this node, ordered by node id.
  std::vector<PeerAddress> ActiveMembers(const std::string& aDomain) const;
  /// Increases whenever Members() changes.
  std::uint64_t ChangeCount() const { return this->table.ChangeCount(); }

private:
  const Member& Self() const;
  /// Stores this node's record with the next version and schedules its push.
  void UpdateSelf(Member::Fields aFields, Time aNow);

  bool IsJoining(Time aNow) const;
  /// Whether many announced nodes are not members.
  bool IsMissingMembers() const;
  /// Runs the next round of a join, or ends it.
  void ContinueJoin(Time aNow, Effects& aEffects);

  void MergeAll(const std::vector<Member>& aMembers, Time aNow, Effects& aEffects);
  /// Refutes a record of this process that supersedes its own, by taking a higher version.
  void MergeSelf(const Member& aRecord, Time aNow, Effects& aEffects);
  /// Updates timers and contacts, queues the record for gossip and reports the change.
  /// aLocalOrigin: this node made the change, so it also pushes it to the other domains.
  void HandleChange(const TableChange& aChange, bool aLocalOrigin, Time aNow, Effects& aEffects);
  /// Logs the change, and emits ForgetPeer for a process that ended or is leaving.
  void ReportChange(const TableChange& aChange, Effects& aEffects) const;

  /// Records for a message to aNode: those that it has to refute, then queued changes.
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
  /// Starts a full table exchange when a peer's table hash differs repeatedly, or at once when the
  /// peer was unknown before the message.
  void CompareHash(const PeerAddress& aPeer,
                   std::uint64_t aHash,
                   bool aWasUnknown,
                   Time aNow,
                   Effects& aEffects);

  /// Probes the next member, and sometimes a contact at which no live member is known.
  void BeginPeriod(Time aNow, Effects& aEffects);
  /// Sends unconfirmed deaths to the nodes they concern, so that those can refute them; returns one
  /// more such node to probe.
  std::optional<std::string> SendUnconfirmedDeaths(Effects& aEffects);
  /// Sends this node's record to some contacts and asks for their tables.
  void SyncWithContacts(Effects& aEffects, Time aNow);
  /// Requests indirect probes for an unanswered probe; suspects the subject of a failed one.
  void CheckProbe(Time aNow, Effects& aEffects);
  /// Declares expired suspects dead and forgets members that have been dead for forgetAfter.
  void RemoveExpired(Time aNow, Effects& aEffects);
  void SchedulePush(const std::string& aNode, bool aLocalOrigin, Time aNow);
  void PushChanges(Time aNow, Effects& aEffects);
  /// Up to aCount other active members in random order, of aDomain or, if empty, of all domains.
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
  Time startedAt{};
  /// Rounds left of a join, and the time of the next one; Time::max() when there is none.
  std::uint32_t joinRounds = 0;
  Time nextJoinRound = Time::max();
  std::optional<std::uint64_t> configOffset;
  std::uint64_t evacuationHash = 0;
  std::optional<std::uint64_t> storeEra;
  Time nextPeriod{};
  /// Node that did not answer a message; probed next.
  std::optional<std::string> unresponsive;
  /// Earliest time of the next full exchange that this node starts.
  Time syncAllowedAt{};
  /// Nodes whose changes are to be pushed, and whether this node made the change.
  std::map<std::string, bool> urgentChanges;
  /// Time::max() when no push is scheduled.
  Time pushDue = Time::max();
  Time lastPush{};
  /// Dead nodes and the time at which to forget them.
  std::map<std::string, Time> forgetAt;
  /// Active members that other nodes report as dead, with the record to refute.
  std::map<std::string, Member> unconfirmedDeaths;
  /// Time of the last change of a member, and time at which the table last matched a peer's.
  Time changedAt{};
  Time agreedAt{};
  /// Consecutive table hash mismatches by peer.
  std::map<std::string, std::uint32_t> hashMismatches;
};

} // namespace jackdawwind
