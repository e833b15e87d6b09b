#include "decisions/membership/membership.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace jackdawwind {

namespace {

/// Records per probe, acknowledgement or push. A record takes about 240 bytes of JSON.
constexpr std::size_t kMaxChanges = 6;

/// A node sends each change this many times the bit width of the live member count. At 470 nodes
/// that is 9 times; nodes that still miss a change are detected by the table hash.
constexpr std::uint32_t kRetransmitMultiplier = 1;

/// Members asked to probe a member that did not acknowledge in time.
constexpr std::size_t kIndirectProbes = 2;

/// Members of its own domain to which a node pushes an urgent change. It reaches 98% of the domain
/// in a few hops; probes deliver it to the rest.
constexpr std::size_t kOwnDomainPushFanOut = 4;

/// Members of each other domain to which the originator of an urgent change pushes it.
constexpr std::size_t kOtherDomainPushFanOut = 2;

/// Batches changes that occur close together into one message.
constexpr Duration kPushDelay = std::chrono::milliseconds(20);

/// Minimum time between pushes; bounds the traffic when many nodes change at once.
constexpr Duration kPushInterval = std::chrono::milliseconds(100);

/// Queue limit of urgent changes; further changes travel on probes only.
constexpr std::size_t kMaxUrgentChanges = 32;

/// Minimum time between full exchanges: a table of 470 members exceeds 100 kB.
constexpr Duration kSyncInterval = std::chrono::seconds(5);

/// Consecutive table hash mismatches with a peer that start a full exchange.
constexpr std::uint32_t kMismatchesBeforeSync = 2;

/// A full exchange also follows when the table has matched no peer's for this long without a change
/// of its own. In a large fleet it takes minutes to meet the same peer twice.
constexpr Duration kStableMismatchTime = std::chrono::seconds(3);

/// Time after the start in which a node completes its table actively. Its full exchanges may follow
/// each other sooner, after the first mismatch, and it does not gossip the members that it learns
/// of: after a start of the whole fleet every node would send every other one's record many times.
constexpr Duration kJoinTime = std::chrono::seconds(10);
constexpr Duration kJoinSyncInterval = std::chrono::seconds(2);

/// Rounds in which a node that has started asks contacts for their tables, and the time between
/// them. If a whole fleet starts, each round multiplies what its nodes know by the number of
/// contacts asked, so that six rounds are enough for a thousand nodes.
constexpr std::uint32_t kMaxJoinRounds = 6;
constexpr Duration kJoinRoundInterval = std::chrono::milliseconds(300);

/// Nodes per period that are notified of an unconfirmed death, in addition to the probed one.
constexpr std::size_t kMaxDeathNotices = 5;

/// Contacts tried per period while no other member is known.
constexpr std::size_t kJoinContacts = 3;

/// Delayed records of a forgotten node are ignored for this long.
constexpr Duration kTombstoneLifetime = std::chrono::minutes(10);

/// Sequence number of a push, which acknowledges no probe.
constexpr std::uint64_t kPushSequence = 0;

/// Whether a change must spread at once: joins and restarts, target state changes, leaving,
/// suspicions (so that the member can refute in time) and refutations. Deaths are not urgent
/// because every node runs the suspicion timeout itself.
bool
IsUrgent(const TableChange& aChange)
{
  if (!aChange.before) {
    return true;
  }
  const Member& before = *aChange.before;
  const Member& after = aChange.after;
  const bool stateChanged = before.State() != after.State() && after.State() != NodeState::kDead;
  return stateChanged || before.GetTargetState() != after.GetTargetState() ||
         before.Incarnation() != after.Incarnation();
}

/// Whether a member is alive or suspect.
bool
IsActive(const Member& aMember)
{
  return aMember.State() == NodeState::kAlive || aMember.State() == NodeState::kSuspect;
}

} // namespace

Membership::Membership(Options aOptions, std::uint64_t aSeed)
  : options(std::move(aOptions))
  , random(aSeed)
  , ring(this->options.self.Address().Node(), this->options.self.GetDomain())
  , detector(this->options.period, this->options.ackTimeout, this->options.suspicionTimeout)
{
  this->table.Put(this->options.self);
  for (const PeerAddress& seed : this->options.seeds) {
    const PeerAddress& self = this->options.self.Address();
    if (seed.Host() != self.Host() || seed.ControlPort() != self.ControlPort()) {
      this->contacts.AddSeed(seed);
    }
  }
}

void
Membership::Start(Time aNow, Effects& aEffects)
{
  this->started = true;
  this->startedAt = aNow;
  this->changedAt = aNow;
  this->syncAllowedAt = aNow;
  const std::uint64_t period = static_cast<std::uint64_t>(this->options.period.count());
  // Random phase, so that nodes started together do not probe at the same time.
  this->nextPeriod = aNow + Duration(static_cast<Duration::rep>(this->random.Below(period)));
  this->SyncWithContacts(aEffects, aNow);
}

void
Membership::Receive(const Probe& aProbe, Time aNow, Effects& aEffects)
{
  const PeerAddress& sender = aProbe.Sender();
  const bool wasUnknown = !this->table.IsLive(sender.Node());
  const std::uint64_t ownVersion = this->Self().Version();
  this->MergeAll(aProbe.Changes(), aNow, aEffects);
  const bool refuted = this->Self().Version() != ownVersion;
  this->SendAck(sender,
                aProbe.Sequence(),
                this->options.self.Address().Node(),
                this->ChangesFor(sender.Node(), wasUnknown || refuted),
                aEffects);
  if (!this->table.IsLive(sender.Node())) {
    // The probe lacked the sender's own record, so the sender assumes that this node has it.
    // Request it with a sync.
    if (aNow >= this->syncAllowedAt) {
      this->syncAllowedAt = aNow + kSyncInterval;
      this->SendSync(sender, { this->Self() }, true, aEffects);
    }
    return;
  }
  if (wasUnknown) {
    this->CompareHash(sender, aProbe.TableHash(), true, aNow, aEffects);
  }
}

void
Membership::Receive(const ProbeAck& aAck, Time aNow, Effects& aEffects)
{
  const bool wasUnknown = !this->table.IsLive(aAck.Subject());
  this->MergeAll(aAck.Changes(), aNow, aEffects);
  if (aAck.Sequence() == kPushSequence) {
    return;
  }
  this->detector.Acknowledge(aAck.Sequence());
  const std::optional<IndirectProbeOrigin> origin =
    this->detector.EndIndirectProbe(aAck.Sequence());
  if (origin) {
    this->SendAck(origin->address, origin->sequence, aAck.Subject(), aAck.Changes(), aEffects);
  }
  const Member* subject = this->table.Find(aAck.Subject());
  if (subject == nullptr || subject->State() == NodeState::kDead) {
    return;
  }
  if (subject->State() == NodeState::kLeaving) {
    // A leaving member stays in state leaving while it is suspected, so no refutation arrives that
    // would end the suspicion; the acknowledgement ends it.
    this->detector.ClearSuspicion(aAck.Subject());
  }
  this->CompareHash(subject->Address(), aAck.TableHash(), wasUnknown, aNow, aEffects);
}

void
Membership::Receive(const ProbeRequest& aRequest, Time aNow, Effects& aEffects)
{
  const IndirectProbeOrigin origin{ aRequest.Sender(), aRequest.Sequence() };
  const std::uint64_t sequence = this->detector.BeginIndirectProbe(origin, aNow);
  this->SendProbe(aRequest.Subject(), sequence, aRequest.Sender().Node(), false, aEffects);
}

void
Membership::Receive(const MemberSync& aSync, Time aNow, Effects& aEffects)
{
  this->MergeAll(aSync.Members(), aNow, aEffects);
  if (aSync.Reply()) {
    // Send only records that the sender lacks; the whole table would double the size of an
    // exchange.
    this->SendSync(aSync.Sender(), this->table.NewerThan(aSync.Members()), false, aEffects);
  }
}

void
Membership::HandleAnnouncements(const std::vector<NodeAnnounced>& aAnnounced,
                                Time aNow,
                                Effects& aEffects)
{
  for (const NodeAnnounced& announced : aAnnounced) {
    const Member* known = this->table.Find(announced.Address().Node());
    if (known == nullptr || known->Incarnation() < announced.Incarnation()) {
      // The process may have ended since the announcement; it enters the table only when it
      // answers.
      this->contacts.AddAnnounced(announced.Address(),
                                  announced.Region() == this->options.self.Region());
    }
  }
  // One round for all announcements: every contact answers with its whole table.
  if (this->started && this->joinRounds == 0 && this->IsMissingMembers()) {
    this->joinRounds = kMaxJoinRounds;
    this->nextJoinRound = aNow;
    this->ContinueJoin(aNow, aEffects);
  }
}

bool
Membership::IsJoining(Time aNow) const
{
  return aNow - this->startedAt < kJoinTime;
}

bool
Membership::IsMissingMembers() const
{
  // Registers keep the entries of processes that ended; a few unreached contacts are normal.
  constexpr std::size_t kMembersPerMissing = 10;
  return this->contacts.UnreachedCount() * kMembersPerMissing > this->table.LiveCount();
}

void
Membership::ContinueJoin(Time aNow, Effects& aEffects)
{
  if (!this->IsMissingMembers()) {
    this->joinRounds = 0;
  }
  if (this->joinRounds == 0) {
    this->nextJoinRound = Time::max();
    return;
  }
  --this->joinRounds;
  this->nextJoinRound = aNow + kJoinRoundInterval;
  this->SyncWithContacts(aEffects, aNow);
}

void
Membership::ReportUnresponsive(const std::string& aNode, Time aNow)
{
  const Member* member = this->table.Find(aNode);
  if (member == nullptr || member->State() != NodeState::kAlive ||
      aNode == this->options.self.Address().Node()) {
    return;
  }
  this->unresponsive = aNode;
  if (!this->detector.IsProbing()) {
    this->nextPeriod = aNow;
  }
}

void
Membership::SetTarget(const std::string& aService,
                      TargetState aState,
                      Time aNow,
                      Effects& /*aEffects*/)
{
  Member::Fields fields = this->Self().ToFields();
  if (fields.service == aService && fields.targetState == aState) {
    return;
  }
  fields.service = aService;
  fields.targetState = aState;
  this->UpdateSelf(fields, aNow);
}

void
Membership::Leave(Time aNow, Effects& aEffects)
{
  Member::Fields fields = this->Self().ToFields();
  if (fields.state == NodeState::kLeaving) {
    return;
  }
  fields.state = NodeState::kLeaving;
  this->UpdateSelf(fields, aNow);
  this->PushChanges(aNow, aEffects);
}

void
Membership::SetConfigOffset(std::optional<std::uint64_t> aOffset)
{
  this->configOffset = aOffset;
}

void
Membership::SetStoreEra(std::optional<std::uint64_t> aEra)
{
  this->storeEra = aEra;
}

void
Membership::Poll(Time aNow, Effects& aEffects)
{
  if (!this->started) {
    return;
  }
  if (aNow - this->NextWake() > this->options.ackTimeout) {
    // The process was suspended; acknowledgements and refutations may be unread in its sockets.
    this->detector.Restart(aNow);
    this->queue.Add(this->options.self.Address().Node());
  }
  this->CheckProbe(aNow, aEffects);
  this->RemoveExpired(aNow, aEffects);
  if (aNow >= this->nextPeriod) {
    this->BeginPeriod(aNow, aEffects);
  }
  if (aNow >= this->nextJoinRound) {
    this->ContinueJoin(aNow, aEffects);
  }
  if (aNow >= this->pushDue) {
    this->PushChanges(aNow, aEffects);
  }
}

Time
Membership::NextWake() const
{
  if (!this->started) {
    return Time::max();
  }
  Time wake =
    std::min({ this->nextPeriod, this->detector.NextDue(), this->pushDue, this->nextJoinRound });
  for (const auto& [node, time] : this->forgetAt) {
    wake = std::min(wake, time);
  }
  return wake;
}

std::vector<Member>
Membership::List() const
{
  std::vector<Member> members;
  members.reserve(this->Members().size());
  for (const std::pair<const std::string, Member>& item : this->Members()) {
    members.push_back(item.second);
  }
  return members;
}

std::vector<PeerAddress>
Membership::ActiveMembers(const std::string& aDomain) const
{
  std::vector<PeerAddress> live;
  for (const auto& [node, member] : this->table.All()) {
    if (member.GetDomain() == aDomain && IsActive(member)) {
      live.push_back(member.Address());
    }
  }
  return live;
}

const Member&
Membership::Self() const
{
  return *this->table.Find(this->options.self.Address().Node());
}

void
Membership::UpdateSelf(Member::Fields aFields, Time aNow)
{
  const std::string node = aFields.address.Node();
  ++aFields.version;
  this->table.Put(Member(std::move(aFields)));
  this->queue.Add(node);
  this->SchedulePush(node, true, aNow);
}

void
Membership::MergeAll(const std::vector<Member>& aMembers, Time aNow, Effects& aEffects)
{
  for (const Member& member : aMembers) {
    if (member.Address().Node() == this->options.self.Address().Node()) {
      this->MergeSelf(member, aNow, aEffects);
      continue;
    }
    if (this->table.IsUnconfirmedDeath(member)) {
      this->unconfirmedDeaths.insert_or_assign(member.Address().Node(), member);
      continue;
    }
    const std::optional<TableChange> change = this->table.Merge(member);
    if (change) {
      this->HandleChange(*change, false, aNow, aEffects);
    }
  }
}

void
Membership::MergeSelf(const Member& aRecord, Time aNow, Effects& aEffects)
{
  const Member& self = this->Self();
  // Records of another incarnation concern an earlier or later process of this node.
  if (aRecord.Incarnation() != self.Incarnation() || !Supersedes(aRecord, self)) {
    return;
  }
  Member::Fields fields = self.ToFields();
  fields.version = aRecord.Version();
  this->UpdateSelf(fields, aNow);
  AddLogLine(
    aEffects, LogEvent::kSuspicionRefuted, "version " + std::to_string(this->Self().Version()));
}

void
Membership::HandleChange(const TableChange& aChange,
                         bool aLocalOrigin,
                         Time aNow,
                         Effects& aEffects)
{
  const std::string& node = aChange.after.Address().Node();
  this->changedAt = aNow;
  const bool alreadyMember = aChange.before.has_value();
  if (alreadyMember || !this->IsJoining(aNow)) {
    this->queue.Add(node);
    if (IsUrgent(aChange)) {
      this->SchedulePush(node, aLocalOrigin, aNow);
    }
  }
  this->forgetAt.erase(node);
  this->unconfirmedDeaths.erase(node);
  switch (aChange.after.State()) {
    case NodeState::kAlive:
      this->detector.ClearSuspicion(node);
      this->contacts.MarkReached(aChange.after.Address());
      break;
    case NodeState::kSuspect:
      this->detector.Suspect(node, aNow);
      break;
    case NodeState::kLeaving:
      this->detector.ClearSuspicion(node);
      break;
    case NodeState::kDead:
      this->detector.ClearSuspicion(node);
      this->hashMismatches.erase(node);
      this->forgetAt[node] = aNow + this->options.forgetAfter;
      if (aChange.before && aChange.before->State() != NodeState::kLeaving) {
        this->contacts.AddLost(aChange.after.Address(), aNow);
      }
      this->contacts.MarkUnreached(aChange.after.Address());
      break;
  }
  this->ReportChange(aChange, aEffects);
}

void
Membership::ReportChange(const TableChange& aChange, Effects& aEffects) const
{
  const Member& after = aChange.after;
  const std::string& node = after.Address().Node();
  const std::string detail = node + " domain " + after.GetDomain();
  const bool sameProcess = aChange.before && aChange.before->Incarnation() == after.Incarnation();
  if (aChange.before && !sameProcess) {
    aEffects.push_back(ForgetPeer({ .node = node }));
  }
  const NodeState before = sameProcess ? aChange.before->State() : NodeState::kDead;
  if (before == NodeState::kDead && after.State() != NodeState::kDead) {
    AddLogLine(aEffects, LogEvent::kMemberJoined, detail);
  }
  if (after.State() == before) {
    return;
  }
  if (after.State() == NodeState::kSuspect) {
    AddLogLine(aEffects, LogEvent::kMemberSuspected, detail);
  }
  if (after.State() == NodeState::kLeaving) {
    AddLogLine(aEffects, LogEvent::kMemberLeft, detail);
    aEffects.push_back(ForgetPeer({ .node = node }));
  }
  if (after.State() == NodeState::kDead) {
    if (before != NodeState::kLeaving) {
      AddLogLine(aEffects, LogEvent::kMemberDied, detail);
    }
    aEffects.push_back(ForgetPeer({ .node = node }));
  }
}

std::vector<Member>
Membership::ChangesFor(const std::string& aNode, bool aWithSelf)
{
  std::set<std::string> chosen;
  const Member* receiver = this->table.Find(aNode);
  if (receiver != nullptr && receiver->State() != NodeState::kAlive) {
    chosen.insert(aNode); // lets the receiver refute its state
  }
  if (aWithSelf) {
    chosen.insert(this->options.self.Address().Node());
  }
  const std::uint32_t limit =
    kRetransmitMultiplier * static_cast<std::uint32_t>(std::bit_width(this->table.LiveCount()));
  for (const std::string& node : this->queue.Take(kMaxChanges, limit)) {
    chosen.insert(node);
  }
  std::vector<Member> changes;
  const std::map<std::string, Member>::const_iterator unconfirmed =
    this->unconfirmedDeaths.find(aNode);
  if (unconfirmed != this->unconfirmedDeaths.end()) {
    changes.push_back(unconfirmed->second);
  }
  for (const std::string& node : chosen) {
    if (const Member* member = this->table.Find(node)) {
      changes.push_back(*member);
    }
  }
  return changes;
}

void
Membership::SendProbe(const PeerAddress& aTo,
                      std::uint64_t aSequence,
                      const std::string& aOnBehalfOf,
                      bool aWithSelf,
                      Effects& aEffects)
{
  aEffects.push_back(
    SendPeer({ .to = aTo,
               .message = Probe({ .sequence = aSequence,
                                  .onBehalfOf = aOnBehalfOf,
                                  .sender = this->options.self.Address(),
                                  .tableHash = this->table.Hash(),
                                  .configOffset = this->configOffset,
                                  .evacuationHash = this->evacuationHash,
                                  .changes = this->ChangesFor(aTo.Node(), aWithSelf),
                                  .storeEra = this->storeEra }) }));
}

void
Membership::SendAck(const PeerAddress& aTo,
                    std::uint64_t aSequence,
                    const std::string& aSubject,
                    std::vector<Member> aChanges,
                    Effects& aEffects) const
{
  aEffects.push_back(SendPeer({ .to = aTo,
                                .message = ProbeAck({ .sequence = aSequence,
                                                      .subject = aSubject,
                                                      .tableHash = this->table.Hash(),
                                                      .configOffset = this->configOffset,
                                                      .evacuationHash = this->evacuationHash,
                                                      .changes = std::move(aChanges),
                                                      .storeEra = this->storeEra }) }));
}

void
Membership::SendSync(const PeerAddress& aTo,
                     std::vector<Member> aMembers,
                     bool aReply,
                     Effects& aEffects) const
{
  aEffects.push_back(SendPeer({ .to = aTo,
                                .message = MemberSync({ .sender = this->options.self.Address(),
                                                        .members = std::move(aMembers),
                                                        .reply = aReply }) }));
}

void
Membership::CompareHash(const PeerAddress& aPeer,
                        std::uint64_t aHash,
                        bool aWasUnknown,
                        Time aNow,
                        Effects& aEffects)
{
  if (aHash == this->table.Hash()) {
    this->hashMismatches.erase(aPeer.Node());
    this->agreedAt = aNow;
    return;
  }
  const std::uint32_t mismatches = ++this->hashMismatches[aPeer.Node()];
  const bool joining = this->IsJoining(aNow);
  const bool stable = aNow - std::max(this->agreedAt, this->changedAt) >= kStableMismatchTime;
  if ((mismatches < kMismatchesBeforeSync && !aWasUnknown && !joining && !stable) ||
      aNow < this->syncAllowedAt) {
    return;
  }
  this->hashMismatches.erase(aPeer.Node());
  this->syncAllowedAt = aNow + (joining ? kJoinSyncInterval : kSyncInterval);
  std::vector<Member> all;
  for (const auto& [node, member] : this->table.All()) {
    all.push_back(member);
  }
  this->SendSync(aPeer, std::move(all), true, aEffects);
}

void
Membership::BeginPeriod(Time aNow, Effects& aEffects)
{
  this->nextPeriod = aNow + this->options.period;
  this->table.ExpireTombstones(aNow);
  std::optional<std::string> preferred = this->SendUnconfirmedDeaths(aEffects);
  if (!preferred && this->unresponsive && this->table.IsLive(*this->unresponsive)) {
    preferred = this->unresponsive;
  }
  this->unresponsive.reset();
  const std::optional<std::string> subject =
    preferred ? preferred : this->ring.Next(this->table, this->random);
  if (!subject) {
    this->SyncWithContacts(aEffects, aNow);
    return;
  }
  const std::uint64_t sequence = this->detector.BeginProbe(*subject, aNow);
  this->SendProbe(this->table.Find(*subject)->Address(), sequence, "", false, aEffects);
  this->unconfirmedDeaths.erase(*subject);
  // Across all live nodes, each unreached address is tried about once in two periods.
  const double unreachedPerNode = static_cast<double>(this->contacts.UnreachedCount()) /
                                  static_cast<double>(this->table.LiveCount());
  if (this->random.Fraction() < std::min(unreachedPerNode, 1.0) / 2) {
    for (const PeerAddress& contact : this->contacts.Take(1, aNow, this->random)) {
      this->SendProbe(contact, this->detector.NextSequence(), "", true, aEffects);
    }
  }
}

std::optional<std::string>
Membership::SendUnconfirmedDeaths(Effects& aEffects)
{
  for (std::size_t sent = 0; sent<kMaxDeathNotices&& this->unconfirmedDeaths.size()> 1; ++sent) {
    const std::string node = this->unconfirmedDeaths.begin()->first;
    this->SendProbe(
      this->table.Find(node)->Address(), this->detector.NextSequence(), "", false, aEffects);
    this->unconfirmedDeaths.erase(node);
  }
  if (this->unconfirmedDeaths.empty()) {
    return std::nullopt;
  }
  return this->unconfirmedDeaths.begin()->first;
}

void
Membership::SyncWithContacts(Effects& aEffects, Time aNow)
{
  // One contact of any region is enough to find the other regions; tables cost much on the links
  // between them.
  std::vector<PeerAddress> chosen = this->contacts.TakeNear(kJoinContacts - 1, aNow, this->random);
  for (const PeerAddress& contact :
       this->contacts.Take(kJoinContacts - chosen.size(), aNow, this->random)) {
    if (std::find(chosen.begin(), chosen.end(), contact) == chosen.end()) {
      chosen.push_back(contact);
    }
  }
  for (const PeerAddress& contact : chosen) {
    this->SendSync(contact, { this->Self() }, true, aEffects);
  }
}

void
Membership::CheckProbe(Time aNow, Effects& aEffects)
{
  struct Visitor
  {
    Membership& membership;
    Time now;
    Effects& effects;

    void operator()(const ProbePending& /*aStatus*/) const {}

    void operator()(const ProbeUnanswered& aStatus) const
    {
      const Member* subject = this->membership.table.Find(aStatus.subject);
      if (subject == nullptr) {
        return;
      }
      std::size_t asked = 0;
      for (const PeerAddress& peer : this->membership.RandomPeers("", kIndirectProbes + 1)) {
        if (peer.Node() != aStatus.subject && asked < kIndirectProbes) {
          ++asked;
          this->effects.push_back(SendPeer(
            { .to = peer,
              .message = ProbeRequest({ .sequence = aStatus.sequence,
                                        .subject = subject->Address(),
                                        .sender = this->membership.options.self.Address() }) }));
        }
      }
    }

    void operator()(const ProbeFailed& aStatus) const
    {
      const Member* subject = this->membership.table.Find(aStatus.subject);
      if (subject == nullptr) {
        return;
      }
      if (subject->State() == NodeState::kAlive) {
        this->membership.HandleChange(
          this->membership.table.Put(WithState(*subject, NodeState::kSuspect)),
          true,
          this->now,
          this->effects);
      } else if (subject->State() == NodeState::kLeaving) {
        this->membership.detector.Suspect(aStatus.subject, this->now);
      }
    }
  };
  std::visit(Visitor{ *this, aNow, aEffects }, this->detector.Check(aNow));
}

void
Membership::RemoveExpired(Time aNow, Effects& aEffects)
{
  for (const std::string& node : this->detector.TakeExpired(aNow)) {
    const Member* member = this->table.Find(node);
    if (member != nullptr && member->State() != NodeState::kDead) {
      this->HandleChange(
        this->table.Put(WithState(*member, NodeState::kDead)), true, aNow, aEffects);
    }
  }
  std::vector<std::string> forgotten;
  for (const auto& [node, time] : this->forgetAt) {
    if (time <= aNow) {
      forgotten.push_back(node);
    }
  }
  for (const std::string& node : forgotten) {
    this->forgetAt.erase(node);
    this->queue.Remove(node);
    this->unconfirmedDeaths.erase(node);
    this->table.Forget(node, aNow + kTombstoneLifetime);
  }
}

void
Membership::SchedulePush(const std::string& aNode, bool aLocalOrigin, Time aNow)
{
  if (this->urgentChanges.size() >= kMaxUrgentChanges && !this->urgentChanges.contains(aNode)) {
    return;
  }
  this->urgentChanges[aNode] |= aLocalOrigin;
  if (this->pushDue == Time::max()) {
    this->pushDue = std::max(aNow + kPushDelay, this->lastPush + kPushInterval);
  }
}

void
Membership::PushChanges(Time aNow, Effects& aEffects)
{
  std::vector<Member> changes;
  std::vector<Member> localChanges;
  while (changes.size() < kMaxChanges && !this->urgentChanges.empty()) {
    const std::map<std::string, bool>::const_iterator next = this->urgentChanges.begin();
    if (const Member* member = this->table.Find(next->first)) {
      changes.push_back(*member);
      if (next->second) {
        localChanges.push_back(*member);
      }
    }
    this->urgentChanges.erase(next);
  }
  this->lastPush = aNow;
  this->pushDue = this->urgentChanges.empty() ? Time::max() : aNow + kPushInterval;
  const std::string& domain = this->options.self.GetDomain();
  this->PushTo(this->RandomPeers(domain, kOwnDomainPushFanOut), changes, aEffects);
  if (localChanges.empty()) {
    return;
  }
  std::set<std::string> otherDomains;
  for (const auto& [node, member] : this->table.All()) {
    if (IsActive(member) && member.GetDomain() != domain) {
      otherDomains.insert(member.GetDomain());
    }
  }
  for (const std::string& other : otherDomains) {
    this->PushTo(this->RandomPeers(other, kOtherDomainPushFanOut), localChanges, aEffects);
  }
}

std::vector<PeerAddress>
Membership::RandomPeers(const std::string& aDomain, std::size_t aCount)
{
  std::vector<const PeerAddress*> peers;
  peers.reserve(this->table.All().size());
  for (const auto& [node, member] : this->table.All()) {
    const bool inDomain = aDomain.empty() || member.GetDomain() == aDomain;
    if (inDomain && IsActive(member) && node != this->options.self.Address().Node()) {
      peers.push_back(&member.Address());
    }
  }
  std::vector<PeerAddress> chosen;
  while (chosen.size() < aCount && !peers.empty()) {
    const std::size_t index = this->random.Below(peers.size());
    chosen.push_back(*peers[index]);
    peers[index] = peers.back();
    peers.pop_back();
  }
  return chosen;
}

void
Membership::PushTo(const std::vector<PeerAddress>& aPeers,
                   const std::vector<Member>& aChanges,
                   Effects& aEffects) const
{
  for (const PeerAddress& peer : aPeers) {
    this->SendAck(peer, kPushSequence, this->options.self.Address().Node(), aChanges, aEffects);
  }
}

} // namespace jackdawwind
