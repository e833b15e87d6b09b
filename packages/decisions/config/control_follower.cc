#include "decisions/config/control_follower.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

/// Time between two checks of the timers below.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);

/// Interval at which readers confirm the state to their domain when nothing changes.
constexpr Duration kConfirmInterval = std::chrono::seconds(1);

/// Minimum time between two confirmations that a node forwards to its children.
constexpr Duration kForwardInterval = std::chrono::milliseconds(500);

/// Nodes other than the readers read the log themselves after this time without a relay.
constexpr Duration kReadLogAfterSilence = std::chrono::seconds(3);

/// They also read it when relays arrive but the news age exceeds this, because the readers do not
/// reach the log. Random jitter of up to the same length is added, so that the nodes do not all try
/// at once during an outage.
constexpr Duration kReadLogAfterStaleNews = std::chrono::seconds(30);

/// Interval at which a node without news sends a request to a peer.
constexpr Duration kRequestInterval = std::chrono::seconds(2);

/// A new request may be sent after this time without an answer.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);

/// Assumed network delay of an unsolicited relay, which cannot be measured without synchronised
/// clocks. The error is small against the age limit of keys, which is minutes.
constexpr Duration kAssumedRelayDelay = std::chrono::milliseconds(500);

/// A longer time between two calls means that the process was suspended.
constexpr Duration kPauseThreshold = std::chrono::seconds(2);

/// Time after a pause in which unsolicited relays may have waited in a socket and do not count.
constexpr Duration kIgnoreAfterPause = std::chrono::seconds(1);

/// News age of a node that has had no news yet: a year, so that sums do not overflow.
constexpr Duration kInitialNewsAge = std::chrono::hours(24 * 365);

/// A relay sends the whole state instead of more records than this.
constexpr std::size_t kMaxRelayedRecords = 200;

/// Buffer limit of a gap that no snapshot closes; the oldest records are dropped first.
constexpr std::size_t kMaxGapRecords = 10000;

constexpr std::size_t kMaxRecentPeers = 8;

/// Logs the outcome of applying a record.
struct ApplyResultLogger
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
  , newsAt(Time{} - kInitialNewsAge)
{
  const std::uint64_t maxDelay = static_cast<std::uint64_t>(kReadLogAfterStaleNews.count());
  this->readLogAfterStaleNews =
    kReadLogAfterStaleNews + Duration(static_cast<Duration::rep>(this->random.Below(maxDelay)));
}

void
ControlFollower::Start(Time aNow, Effects& aEffects)
{
  this->lastCallAt = aNow;
  this->lastContactAt = aNow;
  this->nextTick = aNow + kTickInterval;
  this->FollowFrom(0, aEffects);
}

void
ControlFollower::Receive(const LogRead& aRead, Time aNow, Effects& aEffects)
{
  // Ignore batches in flight when following stopped: records may be missing before them.
  if (aRead.Stream() != kControlStream || !this->following) {
    return;
  }
  this->DetectPause(aNow);
  this->SetLogReachable(true, aEffects);
  this->CollectAnnouncements(aRead.Records());
  this->NoteSnapshots(aRead, aNow);
  if (!this->gap && aRead.FirstRetained() > this->state.Offset()) {
    this->gap = Gap{ aRead.FirstRetained(), {} };
    AddLogLine(aEffects,
               LogEvent::kLogGap,
               "applied up to offset " + std::to_string(this->state.Offset()) +
                 ", oldest retained offset is " + std::to_string(aRead.FirstRetained()));
  }
  if (this->gap) {
    this->BufferInGap(aRead, aEffects);
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
    this->lastContactAt = aNow;
    this->snapshots.NoteCaughtUp(aNow);
  }
  if (this->state.Offset() > this->relayedOffset) {
    this->RelayToChildren(aNow, aEffects);
  }
}

void
ControlFollower::Receive(const LogReadFailed& aFailure, Time aNow, Effects& aEffects)
{
  if (aFailure.Stream() != kControlStream) {
    return;
  }
  this->DetectPause(aNow);
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
  this->DetectPause(aNow);
  aEffects.push_back(
    SendPeer({ .to = aWant.Sender(), .message = this->MakeRelay(aWant.Offset(), aNow) }));
  if (aWant.Offset() > this->state.Offset()) {
    this->RequestRelay(aWant.Sender(), aNow, aEffects);
  }
}

void
ControlFollower::Receive(const ConfigRelay& aRelay, Time aNow, Effects& aEffects)
{
  this->DetectPause(aNow);
  this->CollectAnnouncements(aRelay.Records());
  const std::string before = this->state.Revision();
  if (aRelay.State() && aRelay.State()->AsOf() > this->state.Offset()) {
    this->InstallSnapshot(*aRelay.State(), aEffects);
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
  this->UpdateNewsAge(aRelay, aNow);
  if (this->state.Offset() < aRelay.Offset()) {
    this->RequestRelay(aRelay.Sender(), aNow, aEffects);
  }
  const bool confirmation =
    aRelay.Offset() == this->state.Offset() && aNow - this->relayedAt >= kForwardInterval;
  if (this->state.Offset() > this->relayedOffset || (confirmation && !this->tree.IsReader())) {
    this->RelayToChildren(aNow, aEffects);
  }
  this->UpdateFollowing(aNow, aEffects);
}

void
ControlFollower::NotePeerOffset(const PeerAddress& aPeer,
                                std::uint64_t aOffset,
                                Time aNow,
                                Effects& aEffects)
{
  this->DetectPause(aNow);
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
    this->RequestRelay(aPeer, aNow, aEffects);
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
  this->DetectPause(aNow);
  if (aNow < std::min(this->nextTick, this->snapshots.Due())) {
    return;
  }
  this->nextTick = aNow + kTickInterval;
  this->UpdateFollowing(aNow, aEffects);
  this->RequestNewsIfStale(aNow, aEffects);
  const bool hasSource = this->tree.IsReader() || this->following;
  if (hasSource && aNow - this->relayedAt >= kConfirmInterval) {
    this->RelayToChildren(aNow, aEffects);
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
ControlFollower::DetectPause(Time aNow)
{
  // Relays that waited in a socket while the process was suspended are older than they state.
  if (aNow - this->lastCallAt > kPauseThreshold) {
    this->ignoreUnsolicitedUntil = aNow + kIgnoreAfterPause;
  }
  this->lastCallAt = aNow;
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
  const bool silent = aNow - this->lastContactAt >= kReadLogAfterSilence;
  const bool shouldFollow =
    this->tree.IsReader() || silent || this->NewsAge(aNow) >= this->readLogAfterStaleNews;
  if (shouldFollow && !this->following) {
    this->FollowFrom(this->state.Offset(), aEffects);
  } else if (!shouldFollow && this->following && !this->gap) {
    // Keep following during a gap: the read position is ahead of the state, and restarting at the
    // state could miss records in flight.
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
  std::visit(ApplyResultLogger{ aEffects }, this->state.Apply(aRecord));
  this->history.Add(aRecord);
}

void
ControlFollower::InstallSnapshot(const ConfigSnapshot& aSnapshot, Effects& aEffects)
{
  const std::string before = this->state.Revision();
  this->state = ControlState(aSnapshot);
  this->history.Reset(this->state.Offset());
  if (this->state.Revision() != before) {
    AddLogLine(aEffects, LogEvent::kConfigAccepted, "revision " + this->state.Revision());
  }
}

void
ControlFollower::BufferInGap(const LogRead& aRead, Effects& aEffects)
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
    this->InstallSnapshot(*newest, aEffects);
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
ControlFollower::CollectAnnouncements(const std::vector<LogRecord>& aRecords)
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
  // While catching up, the time at which a snapshot was published is not known.
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
ControlFollower::RelayToChildren(Time aNow, Effects& aEffects)
{
  std::optional<std::vector<LogRecord>> records = this->history.RecordsFrom(this->relayedOffset);
  if (records && records->size() > kMaxRelayedRecords) {
    records.reset();
  }
  // Children that lack earlier records request them or the whole state.
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
  const std::optional<std::vector<LogRecord>> records = this->history.RecordsFrom(aFrom);
  if (records && records->size() <= kMaxRelayedRecords) {
    fields.records = *records;
  } else {
    fields.from = this->state.Offset();
    fields.state = this->state.ToSnapshot();
  }
  return ConfigRelay(std::move(fields));
}

void
ControlFollower::RequestRelay(const PeerAddress& aPeer, Time aNow, Effects& aEffects)
{
  if (this->pendingRequest && aNow - this->pendingRequest->at < kRequestTimeout) {
    return;
  }
  this->pendingRequest = PendingRequest{ aPeer.Node(), aNow };
  aEffects.push_back(SendPeer(
    { .to = aPeer,
      .message = ConfigWant({ .sender = this->options.self, .offset = this->state.Offset() }) }));
}

void
ControlFollower::RequestNewsIfStale(Time aNow, Effects& aEffects)
{
  const bool requested = this->pendingRequest && aNow - this->pendingRequest->at < kRequestInterval;
  const bool noPeers = this->recentPeers.empty();
  const Duration maxNewsAge = this->tree.IsReader() ? kRequestInterval : kReadLogAfterSilence;
  if (requested || noPeers || this->NewsAge(aNow) < maxNewsAge) {
    return;
  }
  if (this->following && this->logReachable && !this->gap) {
    return; // a log read is in flight
  }
  const PeerAddress peer = this->recentPeers[this->random.Below(this->recentPeers.size())];
  this->RequestRelay(peer, aNow, aEffects);
}

void
ControlFollower::UpdateNewsAge(const ConfigRelay& aRelay, Time aNow)
{
  const bool answer = this->pendingRequest && this->pendingRequest->peer == aRelay.Sender().Node();
  // The peer sent its answer after the request, so the send time of the request is a safe bound.
  const Time sentAt = answer ? this->pendingRequest->at : aNow - kAssumedRelayDelay;
  if (answer) {
    this->pendingRequest.reset();
  }
  // The news age holds only for the sender's offset.
  if (aRelay.Offset() != this->state.Offset() || (!answer && aNow < this->ignoreUnsolicitedUntil)) {
    return;
  }
  this->lastContactAt = aNow;
  this->newsAt = std::max(this->newsAt, sentAt - aRelay.NewsAgeMs());
}

void
ControlFollower::PublishSnapshot(Time aNow, Effects& aEffects)
{
  const bool canPublish = this->tree.IsFirst() && this->following && this->logReachable &&
                          this->caughtUp && !this->gap && !this->snapshotTicket &&
                          this->state.Offset() > 0;
  this->snapshots.Postpone(aNow);
  if (!canPublish) {
    return;
  }
  this->snapshotTicket = this->tickets.Next();
  aEffects.push_back(AppendLog({ .ticket = *this->snapshotTicket,
                                 .stream = kControlStream,
                                 .records = { this->state.ToSnapshot() } }));
}

} // namespace jackdawwind
