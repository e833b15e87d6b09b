#include "decisions/config/control_follower.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);

/// Readers confirm the state to their domain this often when nothing changes.
constexpr Duration kConfirmInterval = std::chrono::seconds(1);

/// A node passes a confirmation on unless it did so this recently.
constexpr Duration kPassInterval = std::chrono::milliseconds(500);

/// Other nodes read the log themselves after this time without a relay.
constexpr Duration kReadAfterSilence = std::chrono::seconds(3);

/// The same when relays come but their news are old, because the readers do not reach the log. A
/// random part of up to the same length keeps the nodes from trying at once during an outage.
constexpr Duration kReadAfterOldNews = std::chrono::seconds(30);

/// A node without news asks a peer this often.
constexpr Duration kAskInterval = std::chrono::seconds(2);

/// A question is repeated after this time without an answer.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

/// Assumed travel of a relay that was not asked for. Its real travel cannot be measured without
/// common clocks; the limit for old keys is minutes.
constexpr Duration kTravel = std::chrono::milliseconds(500);

/// Longer between two calls means that the process did not run.
constexpr Duration kPause = std::chrono::seconds(2);

/// Time to read what came in during a pause.
constexpr Duration kDistrust = std::chrono::seconds(1);

/// Age of the news of a node that never had any; a year, so that sums do not overflow.
constexpr Duration kNeverHeard = std::chrono::hours(24 * 365);

/// Longer lists are replaced by the whole state.
constexpr std::size_t kMaxRelayedRecords = 200;

/// A gap that no snapshot closes must not grow for ever.
constexpr std::size_t kMaxGapRecords = 10000;

constexpr std::size_t kMaxRecentPeers = 8;

struct RecordNews
{
  Effects& effects;

  void operator()(const NoChange& /*aResult*/) const {}
  void operator()(const ChangeAccepted& aResult) const
  {
    AddLogLine(this->effects, LogEvent::kConfigAccepted, "revision " + aResult.revision);
  }
  void operator()(const ChangeRejected& aResult) const
  {
    AddLogLine(this->effects,
               LogEvent::kConfigRejected,
               "revision " + aResult.revision + ": " + aResult.reason);
  }
};

} // namespace

ControlFollower::ControlFollower(Options aOptions, TicketSource& aTickets, std::uint64_t aSeed)
  : options(std::move(aOptions))
  , tickets(aTickets)
  , random(aSeed)
  , tree(this->options.self.Node())
  , snapshots(this->options.retention, aSeed)
  , newsAt(Time{} - kNeverHeard)
{
  const std::uint64_t longest = static_cast<std::uint64_t>(kReadAfterOldNews.count());
  this->readAfterOldNews =
    kReadAfterOldNews + Duration(static_cast<Duration::rep>(this->random.Below(longest)));
}

void
ControlFollower::Start(Time aNow, Effects& aEffects)
{
  this->lastCall = aNow;
  this->heardAt = aNow;
  this->nextTick = aNow + kTick;
  this->FollowFrom(0, aEffects);
}

void
ControlFollower::Receive(const LogRead& aRead, Time aNow, Effects& aEffects)
{
  // A batch that was under way when following ended may lie beyond a gap.
  if (aRead.Stream() != kControlStream || !this->following) {
    return;
  }
  this->NoticePause(aNow);
  this->SetLogReachable(true, aEffects);
  this->NoteAnnouncements(aRead.Records());
  this->NoteSnapshots(aRead, aNow);
  if (!this->gap && aRead.FirstRetained() > this->state.Offset()) {
    this->gap = Gap{ aRead.FirstRetained(), {} };
    AddLogLine(aEffects,
               LogEvent::kLogGap,
               "have offset " + std::to_string(this->state.Offset()) + ", oldest retained is " +
                 std::to_string(aRead.FirstRetained()));
  }
  if (this->gap) {
    this->KeepForGap(aRead, aEffects);
  } else {
    for (const LogRecord& record : aRead.Records()) {
      this->Apply(record, aEffects);
    }
  }
  if (this->gap) {
    return;
  }
  this->state.SkipTo(aRead.Next());
  if (this->state.Offset() >= aRead.End()) {
    this->caughtUp = true;
    this->newsAt = aNow;
    this->heardAt = aNow;
    this->snapshots.NoteCaughtUp(aNow);
  }
  if (this->state.Offset() > this->relayedOffset) {
    this->RelayDown(aNow, aEffects);
  }
}

void
ControlFollower::Receive(const LogReadFailed& aFailure, Time aNow, Effects& aEffects)
{
  if (aFailure.Stream() != kControlStream) {
    return;
  }
  this->NoticePause(aNow);
  this->SetLogReachable(false, aEffects);
}

void
ControlFollower::Receive(const LogAppended& aAppended, Time aNow, Effects& aEffects)
{
  if (this->snapshotTicket != aAppended.Ticket()) {
    return;
  }
  this->snapshotTicket.reset();
  if (std::holds_alternative<Appended>(aAppended.Outcome())) {
    this->snapshots.NotePublished(aNow);
    AddLogLine(aEffects, LogEvent::kSnapshotPublished, "revision " + this->state.Revision());
  } else {
    this->snapshots.Postpone(aNow);
  }
}

void
ControlFollower::Receive(const ConfigWant& aWant, Time aNow, Effects& aEffects)
{
  this->NoticePause(aNow);
  aEffects.push_back(
    SendPeer({ .to = aWant.Sender(), .message = this->MakeRelay(aWant.Offset(), aNow) }));
  if (aWant.Offset() > this->state.Offset()) {
    this->Ask(aWant.Sender(), aNow, aEffects);
  }
}

void
ControlFollower::Receive(const ConfigRelay& aRelay, Time aNow, Effects& aEffects)
{
  this->NoticePause(aNow);
  this->NoteAnnouncements(aRelay.Records());
  const std::string before = this->state.Revision();
  if (aRelay.State() && aRelay.State()->AsOf() > this->state.Offset()) {
    this->Adopt(*aRelay.State(), aEffects);
  }
  if (aRelay.From() <= this->state.Offset()) {
    for (const LogRecord& record : aRelay.Records()) {
      this->Apply(record, aEffects);
    }
    this->state.SkipTo(aRelay.Offset());
  }
  this->TryCloseGap(aEffects);
  if (this->state.Revision() != before) {
    AddLogLine(aEffects,
               LogEvent::kConfigRelayed,
               "revision " + this->state.Revision() + " from " + aRelay.Sender().Node());
  }
  this->TakeNews(aRelay, aNow);
  if (this->state.Offset() < aRelay.Offset()) {
    this->Ask(aRelay.Sender(), aNow, aEffects);
  }
  const bool confirmation =
    aRelay.Offset() == this->state.Offset() && aNow - this->relayedAt >= kPassInterval;
  if (this->state.Offset() > this->relayedOffset || (confirmation && !this->tree.IsReader())) {
    this->RelayDown(aNow, aEffects);
  }
  this->UpdateFollowing(aNow, aEffects);
}

void
ControlFollower::NotePeerOffset(const PeerAddress& aPeer,
                                std::uint64_t aOffset,
                                Time aNow,
                                Effects& aEffects)
{
  this->NoticePause(aNow);
  if (aOffset < this->state.Offset()) {
    return;
  }
  std::erase_if(this->recentPeers,
                [&aPeer](const PeerAddress& aOther) { return aOther.Node() == aPeer.Node(); });
  this->recentPeers.push_back(aPeer);
  if (this->recentPeers.size() > kMaxRecentPeers) {
    this->recentPeers.pop_front();
  }
  if (aOffset > this->state.Offset()) {
    this->Ask(aPeer, aNow, aEffects);
  }
}

void
ControlFollower::SetDomainMembers(const std::vector<PeerAddress>& aMembers,
                                  Time aNow,
                                  Effects& aEffects)
{
  this->tree.SetMembers(aMembers);
  this->UpdateFollowing(aNow, aEffects);
}

void
ControlFollower::Poll(Time aNow, Effects& aEffects)
{
  this->NoticePause(aNow);
  if (aNow < std::min(this->nextTick, this->snapshots.Due())) {
    return;
  }
  this->nextTick = aNow + kTick;
  this->UpdateFollowing(aNow, aEffects);
  this->AskForNews(aNow, aEffects);
  const bool hasSource = this->tree.IsReader() || this->following;
  if (hasSource && aNow - this->relayedAt >= kConfirmInterval) {
    this->RelayDown(aNow, aEffects);
  }
  if (aNow >= this->snapshots.Due()) {
    this->PublishSnapshot(aNow, aEffects);
  }
}

Time
ControlFollower::NextWake() const
{
  if (this->nextTick == Time::max()) {
    return Time::max();
  }
  return std::min(this->nextTick, this->snapshots.Due());
}

Duration
ControlFollower::NewsAge(Time aNow) const
{
  return aNow - this->newsAt;
}

std::vector<NodeAnnounced>
ControlFollower::TakeAnnouncements()
{
  return std::exchange(this->announcements, {});
}

void
ControlFollower::NoticePause(Time aNow)
{
  // Relays that waited in a socket while the process did not run are older than they say.
  if (aNow - this->lastCall > kPause) {
    this->distrustUntil = aNow + kDistrust;
  }
  this->lastCall = aNow;
}

void
ControlFollower::FollowFrom(std::uint64_t aOffset, Effects& aEffects)
{
  this->following = true;
  aEffects.push_back(FollowLog({ .stream = kControlStream, .from = aOffset }));
}

void
ControlFollower::UpdateFollowing(Time aNow, Effects& aEffects)
{
  const bool silent = aNow - this->heardAt >= kReadAfterSilence;
  const bool wanted =
    this->tree.IsReader() || silent || this->NewsAge(aNow) >= this->readAfterOldNews;
  if (wanted && !this->following) {
    this->FollowFrom(this->state.Offset(), aEffects);
  } else if (!wanted && this->following && !this->gap) {
    // Within a gap the position is ahead of the state; to begin again at the state could leave out
    // records that are under way.
    this->following = false;
    aEffects.push_back(StopFollowing({ .stream = kControlStream }));
  }
}

void
ControlFollower::Apply(const LogRecord& aRecord, Effects& aEffects)
{
  if (aRecord.Offset() < this->state.Offset()) {
    return;
  }
  if (const CorruptRecord* corrupt = std::get_if<CorruptRecord>(&aRecord.GetRecord())) {
    AddLogLine(aEffects,
               LogEvent::kRecordSkipped,
               "offset " + std::to_string(aRecord.Offset()) + ": " + corrupt->Reason());
  }
  std::visit(RecordNews{ aEffects }, this->state.Apply(aRecord));
  this->history.Add(aRecord);
}

void
ControlFollower::Adopt(const ConfigSnapshot& aSnapshot, Effects& aEffects)
{
  const std::string before = this->state.Revision();
  this->state = ControlState(aSnapshot);
  this->history.Restart(this->state.Offset());
  if (this->state.Revision() != before) {
    AddLogLine(aEffects, LogEvent::kConfigAccepted, "revision " + this->state.Revision());
  }
}

void
ControlFollower::KeepForGap(const LogRead& aRead, Effects& aEffects)
{
  for (const LogRecord& record : aRead.Records()) {
    if (!this->gap->records.empty() && record.Offset() <= this->gap->records.back().Offset()) {
      continue;
    }
    this->gap->records.push_back(record);
    if (this->gap->records.size() > kMaxGapRecords) {
      this->gap->records.pop_front();
      this->gap->from = this->gap->records.front().Offset();
    }
  }
  const ConfigSnapshot* newest = nullptr;
  for (const LogRecord& record : this->gap->records) {
    const ConfigSnapshot* snapshot = std::get_if<ConfigSnapshot>(&record.GetRecord());
    const bool usable = snapshot != nullptr && snapshot->AsOf() >= this->gap->from &&
                        snapshot->AsOf() > this->state.Offset();
    if (usable && (newest == nullptr || snapshot->AsOf() > newest->AsOf())) {
      newest = snapshot;
    }
  }
  if (newest != nullptr) {
    this->Adopt(*newest, aEffects);
  }
  this->TryCloseGap(aEffects);
}

void
ControlFollower::TryCloseGap(Effects& aEffects)
{
  if (!this->gap || this->state.Offset() < this->gap->from) {
    return;
  }
  const Gap closed = std::move(*this->gap);
  this->gap.reset();
  for (const LogRecord& record : closed.records) {
    this->Apply(record, aEffects);
  }
}

void
ControlFollower::NoteAnnouncements(const std::vector<LogRecord>& aRecords)
{
  for (const LogRecord& record : aRecords) {
    const NodeAnnounced* announced = std::get_if<NodeAnnounced>(&record.GetRecord());
    if (announced != nullptr && record.Offset() >= this->state.Offset()) {
      this->announcements.push_back(*announced);
    }
  }
}

void
ControlFollower::NoteSnapshots(const LogRead& aRead, Time aNow)
{
  // While catching up it is not known when a snapshot was published.
  if (!this->caughtUp) {
    return;
  }
  for (const LogRecord& record : aRead.Records()) {
    if (std::holds_alternative<ConfigSnapshot>(record.GetRecord())) {
      this->snapshots.NotePublished(aNow);
    }
  }
}

void
ControlFollower::SetLogReachable(bool aReachable, Effects& aEffects)
{
  this->logReachable = aReachable;
  if (aReachable && this->outageReported) {
    AddLogLine(aEffects, LogEvent::kLogReachable, kControlStream);
  }
  if (!aReachable && !this->outageReported) {
    AddLogLine(aEffects, LogEvent::kLogUnreachable, kControlStream);
  }
  this->outageReported = !aReachable;
}

void
ControlFollower::RelayDown(Time aNow, Effects& aEffects)
{
  std::optional<std::vector<LogRecord>> records = this->history.After(this->relayedOffset);
  if (records && records->size() > kMaxRelayedRecords) {
    records.reset();
  }
  // Children that lack more than these records ask for the state.
  const std::uint64_t from = records ? this->relayedOffset : this->state.Offset();
  this->relayedOffset = this->state.Offset();
  this->relayedAt = aNow;
  if (this->tree.Children().empty()) {
    return;
  }
  const std::chrono::milliseconds age =
    std::chrono::ceil<std::chrono::milliseconds>(this->NewsAge(aNow));
  const ConfigRelay relay({ .sender = this->options.self,
                            .from = from,
                            .records = records.value_or(std::vector<LogRecord>()),
                            .offset = this->state.Offset(),
                            .newsAgeMs = age });
  for (const PeerAddress& child : this->tree.Children()) {
    aEffects.push_back(SendPeer({ .to = child, .message = relay }));
  }
}

ConfigRelay
ControlFollower::MakeRelay(std::uint64_t aFrom, Time aNow) const
{
  ConfigRelay::Fields fields;
  fields.sender = this->options.self;
  fields.offset = this->state.Offset();
  fields.from = std::min(aFrom, this->state.Offset());
  fields.newsAgeMs = std::chrono::ceil<std::chrono::milliseconds>(this->NewsAge(aNow));
  const std::optional<std::vector<LogRecord>> records = this->history.After(aFrom);
  if (records && records->size() <= kMaxRelayedRecords) {
    fields.records = *records;
  } else {
    fields.from = this->state.Offset();
    fields.state = this->state.ToSnapshot();
  }
  return ConfigRelay(std::move(fields));
}

void
ControlFollower::Ask(const PeerAddress& aPeer, Time aNow, Effects& aEffects)
{
  if (this->question && aNow - this->question->at < kAnswerTimeout) {
    return;
  }
  this->question = Question{ aPeer.Node(), aNow };
  aEffects.push_back(SendPeer(
    { .to = aPeer,
      .message = ConfigWant({ .sender = this->options.self, .offset = this->state.Offset() }) }));
}

void
ControlFollower::AskForNews(Time aNow, Effects& aEffects)
{
  const bool asked = this->question && aNow - this->question->at < kAskInterval;
  const bool alone = this->recentPeers.empty();
  const Duration patience = this->tree.IsReader() ? kAskInterval : kReadAfterSilence;
  if (asked || alone || this->NewsAge(aNow) < patience) {
    return;
  }
  if (this->following && this->logReachable && !this->gap) {
    return; // a read is under way
  }
  const PeerAddress peer = this->recentPeers[this->random.Below(this->recentPeers.size())];
  this->Ask(peer, aNow, aEffects);
}

void
ControlFollower::TakeNews(const ConfigRelay& aRelay, Time aNow)
{
  const bool answer = this->question && this->question->peer == aRelay.Sender().Node();
  // The peer answered after it was asked, so its news are no older than that.
  const Time sentAt = answer ? this->question->at : aNow - kTravel;
  if (answer) {
    this->question.reset();
  }
  // The age is of the sender's state; it says nothing about another.
  if (aRelay.Offset() != this->state.Offset() || (!answer && aNow < this->distrustUntil)) {
    return;
  }
  this->heardAt = aNow;
  this->newsAt = std::max(this->newsAt, sentAt - aRelay.NewsAgeMs());
}

void
ControlFollower::PublishSnapshot(Time aNow, Effects& aEffects)
{
  const bool able = this->tree.IsFirst() && this->following && this->logReachable &&
                    this->caughtUp && !this->gap && !this->snapshotTicket &&
                    this->state.Offset() > 0;
  this->snapshots.Postpone(aNow);
  if (!able) {
    return;
  }
  this->snapshotTicket = this->tickets.Next();
  aEffects.push_back(AppendLog({ .ticket = *this->snapshotTicket,
                                 .stream = kControlStream,
                                 .records = { this->state.ToSnapshot() } }));
}

} // namespace jackdawwind
