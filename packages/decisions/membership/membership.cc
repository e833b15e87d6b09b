#include "decisions/membership/membership.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace jackdawwind {

namespace {

/// Records per probe, acknowledgement or push; about 240 bytes of JSON each.
constexpr std::size_t kMaxChanges = 6;

/// Each node sends a change this many times the binary logarithm of the fleet's size. At 470 nodes
/// that is 9 times each, which few nodes miss; the table hash finds those that do.
constexpr std::uint32_t kSendFactor = 1;

/// Nodes asked for an indirect probe.
constexpr std::size_t kIndirectProbes = 2;

/// A node that learns an urgent change passes it to this many nodes of its domain: 98% of the
/// domain have it after a few hops, probes reach the rest.
constexpr std::size_t kPushOwnDomain = 4;

/// The node that makes an urgent change sends it to this many nodes of each other domain.
constexpr std::size_t kPushOtherDomain = 2;

/// Collects the changes of a moment into one message.
constexpr Duration kPushDelay = std::chrono::milliseconds(20);

/// Bounds the bytes when many nodes change at once.
constexpr Duration kPushInterval = std::chrono::milliseconds(100);

/// Further changes travel on probes only.
constexpr std::size_t kMaxUrgent = 32;

/// A full table of 470 members has over 100 kB.
constexpr Duration kSyncInterval = std::chrono::seconds(5);
constexpr std::uint32_t kDifferingBeforeSync = 2;

/// Live nodes told per period that others hold them for dead, besides the one that is probed.
constexpr std::size_t kDoubtsTold = 5;

/// Contacts tried per period while no other node is known.
constexpr std::size_t kJoinContacts = 3;

/// Records of a forgotten node that travel late are ignored for this long.
constexpr Duration kIgnoreForgotten = std::chrono::minutes(10);

/// Sequence of a push, which nothing waits for.
constexpr std::uint64_t kPushSequence = 0;

/// Changes that must be known at once: who joins, takes work, leaves or is suspected (so that it
/// can refute in time), and that a suspicion was wrong. A death is not: every node counts the
/// suspicion timeout by itself.
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

bool
IsLive(const Member& aMember)
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
  this->nextSync = aNow;
  const std::uint64_t period = static_cast<std::uint64_t>(this->options.period.count());
  // A random phase spreads the probes of nodes that start together.
  this->nextPeriod = aNow + Duration(static_cast<Duration::rep>(this->random.Below(period)));
  this->LookForOthers(aEffects, aNow);
}

void
Membership::Receive(const Probe& aProbe, Time aNow, Effects& aEffects)
{
  const PeerAddress& sender = aProbe.Sender();
  const bool stranger = !this->table.Lives(sender.Node());
  const std::uint64_t ownVersion = this->Self().Version();
  this->MergeAll(aProbe.Changes(), aNow, aEffects);
  const bool refuted = this->Self().Version() != ownVersion;
  this->SendAck(sender,
                aProbe.Sequence(),
                this->options.self.Address().Node(),
                this->ChangesFor(sender.Node(), stranger || refuted),
                aEffects);
  if (!this->table.Lives(sender.Node())) {
    // It did not send its record, so it believes that this node has it.
    if (aNow >= this->nextSync) {
      this->nextSync = aNow + kSyncInterval;
      this->SendSync(sender, { this->Self() }, true, aEffects);
    }
    return;
  }
  if (stranger) {
    this->CompareHash(sender, aProbe.TableHash(), true, aNow, aEffects);
  }
}

void
Membership::Receive(const ProbeAck& aAck, Time aNow, Effects& aEffects)
{
  const bool stranger = !this->table.Lives(aAck.Subject());
  this->MergeAll(aAck.Changes(), aNow, aEffects);
  if (aAck.Sequence() == kPushSequence) {
    return;
  }
  this->detector.Acknowledge(aAck.Sequence());
  const std::optional<RelayOrigin> origin = this->detector.EndRelay(aAck.Sequence());
  if (origin) {
    this->SendAck(origin->address, origin->sequence, aAck.Subject(), aAck.Changes(), aEffects);
  }
  const Member* subject = this->table.Find(aAck.Subject());
  if (subject == nullptr || subject->State() == NodeState::kDead) {
    return;
  }
  if (subject->State() == NodeState::kLeaving) {
    // Suspicion cannot show in its state; an answer ends it.
    this->detector.Clear(aAck.Subject());
  }
  this->CompareHash(subject->Address(), aAck.TableHash(), stranger, aNow, aEffects);
}

void
Membership::Receive(const ProbeRequest& aRequest, Time aNow, Effects& aEffects)
{
  const RelayOrigin origin{ aRequest.Sender(), aRequest.Sequence() };
  const std::uint64_t sequence = this->detector.BeginRelay(origin, aNow);
  this->SendProbe(aRequest.Subject(), sequence, aRequest.Sender().Node(), false, aEffects);
}

void
Membership::Receive(const MemberSync& aSync, Time aNow, Effects& aEffects)
{
  this->MergeAll(aSync.Members(), aNow, aEffects);
  if (aSync.Reply()) {
    // Only what the sender lacks: the whole table would double the bytes of an exchange.
    this->SendSync(aSync.Sender(), this->table.NewerThan(aSync.Members()), false, aEffects);
  }
}

void
Membership::HandleAnnouncement(const NodeAnnounced& aAnnounced, Time aNow, Effects& aEffects)
{
  const PeerAddress& address = aAnnounced.Address();
  const Member* known = this->table.Find(address.Node());
  if (known != nullptr && known->Incarnation() >= aAnnounced.Incarnation()) {
    return;
  }
  // The process may have ended since, so it enters the table only when it answers.
  this->contacts.AddAnnounced(address);
  if (this->started && this->table.LiveCount() == 1 && aNow >= this->nextSync) {
    this->LookForOthers(aEffects, aNow);
  }
}

void
Membership::ReportUnresponsive(const std::string& aNode, Time aNow)
{
  const Member* member = this->table.Find(aNode);
  if (member == nullptr || member->State() != NodeState::kAlive ||
      aNode == this->options.self.Address().Node()) {
    return;
  }
  this->doubted = aNode;
  if (!this->detector.Busy()) {
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
  this->PutSelf(fields, aNow);
}

void
Membership::Leave(Time aNow, Effects& aEffects)
{
  Member::Fields fields = this->Self().ToFields();
  if (fields.state == NodeState::kLeaving) {
    return;
  }
  fields.state = NodeState::kLeaving;
  this->PutSelf(fields, aNow);
  this->PushChanges(aNow, aEffects);
}

void
Membership::SetConfigOffset(std::uint64_t aOffset)
{
  this->configOffset = aOffset;
}

void
Membership::Poll(Time aNow, Effects& aEffects)
{
  if (!this->started) {
    return;
  }
  if (aNow - this->NextWake() > this->options.ackTimeout) {
    // The process did not run; answers and refutations may wait unread in its sockets.
    this->detector.Restart(aNow);
    this->queue.Add(this->options.self.Address().Node());
  }
  this->CheckProbe(aNow, aEffects);
  this->RemoveExpired(aNow, aEffects);
  if (aNow >= this->nextPeriod) {
    this->BeginPeriod(aNow, aEffects);
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
  Time wake = std::min({ this->nextPeriod, this->detector.NextDue(), this->pushDue });
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
    if (member.GetDomain() == aDomain && IsLive(member)) {
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
Membership::PutSelf(Member::Fields aFields, Time aNow)
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
    if (this->table.IsDoubtfulDeath(member)) {
      this->doubts.insert_or_assign(member.Address().Node(), member);
      continue;
    }
    const std::optional<TableChange> change = this->table.Merge(member);
    if (change) {
      this->Follow(*change, false, aNow, aEffects);
    }
  }
}

void
Membership::MergeSelf(const Member& aClaim, Time aNow, Effects& aEffects)
{
  const Member& self = this->Self();
  // A claim about another incarnation is not about this process.
  if (aClaim.Incarnation() != self.Incarnation() || !Supersedes(aClaim, self)) {
    return;
  }
  Member::Fields fields = self.ToFields();
  fields.version = aClaim.Version();
  this->PutSelf(fields, aNow);
  AddLogLine(
    aEffects, LogEvent::kSuspicionRefuted, "version " + std::to_string(this->Self().Version()));
}

void
Membership::Follow(const TableChange& aChange, bool aOwnFinding, Time aNow, Effects& aEffects)
{
  const std::string& node = aChange.after.Address().Node();
  this->queue.Add(node);
  if (IsUrgent(aChange)) {
    this->SchedulePush(node, aOwnFinding, aNow);
  }
  this->forgetAt.erase(node);
  this->doubts.erase(node);
  switch (aChange.after.State()) {
    case NodeState::kAlive:
      this->detector.Clear(node);
      this->contacts.Found(aChange.after.Address());
      break;
    case NodeState::kSuspect:
      this->detector.Suspect(node, aNow);
      break;
    case NodeState::kLeaving:
      this->detector.Clear(node);
      break;
    case NodeState::kDead:
      this->detector.Clear(node);
      this->differing.erase(node);
      this->forgetAt[node] = aNow + this->options.forgetAfter;
      if (aChange.before && aChange.before->State() != NodeState::kLeaving) {
        this->contacts.AddLost(aChange.after.Address(), aNow);
      }
      this->contacts.Missing(aChange.after.Address());
      break;
  }
  this->Report(aChange, aEffects);
}

void
Membership::Report(const TableChange& aChange, Effects& aEffects) const
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
    chosen.insert(aNode); // so that it can refute
  }
  if (aWithSelf) {
    chosen.insert(this->options.self.Address().Node());
  }
  const std::uint32_t limit =
    kSendFactor * static_cast<std::uint32_t>(std::bit_width(this->table.LiveCount()));
  for (const std::string& node : this->queue.Take(kMaxChanges, limit)) {
    chosen.insert(node);
  }
  std::vector<Member> changes;
  const std::map<std::string, Member>::const_iterator doubt = this->doubts.find(aNode);
  if (doubt != this->doubts.end()) {
    changes.push_back(doubt->second);
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
                                  .changes = this->ChangesFor(aTo.Node(), aWithSelf) }) }));
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
                                                      .changes = std::move(aChanges) }) }));
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
                        bool aWasStranger,
                        Time aNow,
                        Effects& aEffects)
{
  if (aHash == this->table.Hash()) {
    this->differing.erase(aPeer.Node());
    return;
  }
  const std::uint32_t times = ++this->differing[aPeer.Node()];
  if ((times < kDifferingBeforeSync && !aWasStranger) || aNow < this->nextSync) {
    return;
  }
  this->differing.erase(aPeer.Node());
  this->nextSync = aNow + kSyncInterval;
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
  this->table.DropForgotten(aNow);
  std::optional<std::string> doubtful = this->TellDoubts(aEffects);
  if (!doubtful && this->doubted && this->table.Lives(*this->doubted)) {
    doubtful = this->doubted;
  }
  this->doubted.reset();
  const std::optional<std::string> subject =
    doubtful ? doubtful : this->ring.Next(this->table, this->random);
  if (!subject) {
    this->LookForOthers(aEffects, aNow);
    return;
  }
  const std::uint64_t sequence = this->detector.Begin(*subject, aNow);
  this->SendProbe(this->table.Find(*subject)->Address(), sequence, "", false, aEffects);
  this->doubts.erase(*subject);
  // Together the live nodes try each missing address about once in two periods.
  const double wanted = static_cast<double>(this->contacts.MissingCount()) /
                        static_cast<double>(this->table.LiveCount());
  if (this->random.Fraction() < std::min(wanted, 1.0) / 2) {
    for (const PeerAddress& contact : this->contacts.Take(1, aNow, this->random)) {
      this->SendProbe(contact, this->detector.NextSequence(), "", true, aEffects);
    }
  }
}

std::optional<std::string>
Membership::TellDoubts(Effects& aEffects)
{
  for (std::size_t told = 0; told<kDoubtsTold&& this->doubts.size()> 1; ++told) {
    const std::string node = this->doubts.begin()->first;
    this->SendProbe(
      this->table.Find(node)->Address(), this->detector.NextSequence(), "", false, aEffects);
    this->doubts.erase(node);
  }
  if (this->doubts.empty()) {
    return std::nullopt;
  }
  return this->doubts.begin()->first;
}

void
Membership::LookForOthers(Effects& aEffects, Time aNow)
{
  for (const PeerAddress& contact : this->contacts.Take(kJoinContacts, aNow, this->random)) {
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

    void operator()(const ProbePending& /*aVerdict*/) const {}

    void operator()(const ProbeUnanswered& aVerdict) const
    {
      const Member* subject = this->membership.table.Find(aVerdict.subject);
      if (subject == nullptr) {
        return;
      }
      std::size_t asked = 0;
      for (const PeerAddress& peer : this->membership.RandomPeers("", kIndirectProbes + 1)) {
        if (peer.Node() != aVerdict.subject && asked < kIndirectProbes) {
          ++asked;
          this->effects.push_back(SendPeer(
            { .to = peer,
              .message = ProbeRequest({ .sequence = aVerdict.sequence,
                                        .subject = subject->Address(),
                                        .sender = this->membership.options.self.Address() }) }));
        }
      }
    }

    void operator()(const ProbeFailed& aVerdict) const
    {
      const Member* subject = this->membership.table.Find(aVerdict.subject);
      if (subject == nullptr) {
        return;
      }
      if (subject->State() == NodeState::kAlive) {
        this->membership.Follow(
          this->membership.table.Put(WithState(*subject, NodeState::kSuspect)),
          true,
          this->now,
          this->effects);
      } else if (subject->State() == NodeState::kLeaving) {
        this->membership.detector.Suspect(aVerdict.subject, this->now);
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
      this->Follow(this->table.Put(WithState(*member, NodeState::kDead)), true, aNow, aEffects);
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
    this->doubts.erase(node);
    this->table.Forget(node, aNow + kIgnoreForgotten);
  }
}

void
Membership::SchedulePush(const std::string& aNode, bool aOwnFinding, Time aNow)
{
  if (this->urgent.size() >= kMaxUrgent && !this->urgent.contains(aNode)) {
    return;
  }
  this->urgent[aNode] |= aOwnFinding;
  if (this->pushDue == Time::max()) {
    this->pushDue = std::max(aNow + kPushDelay, this->lastPush + kPushInterval);
  }
}

void
Membership::PushChanges(Time aNow, Effects& aEffects)
{
  std::vector<Member> changes;
  std::vector<Member> ownFindings;
  while (changes.size() < kMaxChanges && !this->urgent.empty()) {
    const std::map<std::string, bool>::const_iterator next = this->urgent.begin();
    if (const Member* member = this->table.Find(next->first)) {
      changes.push_back(*member);
      if (next->second) {
        ownFindings.push_back(*member);
      }
    }
    this->urgent.erase(next);
  }
  this->lastPush = aNow;
  this->pushDue = this->urgent.empty() ? Time::max() : aNow + kPushInterval;
  const std::string& domain = this->options.self.GetDomain();
  this->PushTo(this->RandomPeers(domain, kPushOwnDomain), changes, aEffects);
  if (ownFindings.empty()) {
    return;
  }
  std::set<std::string> otherDomains;
  for (const auto& [node, member] : this->table.All()) {
    if (IsLive(member) && member.GetDomain() != domain) {
      otherDomains.insert(member.GetDomain());
    }
  }
  for (const std::string& other : otherDomains) {
    this->PushTo(this->RandomPeers(other, kPushOtherDomain), ownFindings, aEffects);
  }
}

std::vector<PeerAddress>
Membership::RandomPeers(const std::string& aDomain, std::size_t aCount)
{
  std::vector<const PeerAddress*> peers;
  peers.reserve(this->table.All().size());
  for (const auto& [node, member] : this->table.All()) {
    const bool inDomain = aDomain.empty() || member.GetDomain() == aDomain;
    if (inDomain && IsLive(member) && node != this->options.self.Address().Node()) {
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
