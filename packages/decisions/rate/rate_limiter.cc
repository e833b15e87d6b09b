#include "decisions/rate/rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace jackdawwind {

namespace {

/// A call that gets no token within this time is refused.
constexpr Duration kMaxCallWait = std::chrono::milliseconds(60);
/// Time between reports of a node without demand.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// Time between reports of a node that knows no steward.
constexpr Duration kSearchHeartbeatInterval = std::chrono::milliseconds(500);
/// Calls that arrive within this time share one report.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(2);
/// Shortest time between reports while no steward is known.
constexpr Duration kMinSearchInterval = std::chrono::milliseconds(50);
/// A vote with an older mark would expire soon after it arrives.
constexpr Duration kMaxMarkAge = std::chrono::milliseconds(2500);
/// A steward that borrows also covers its domain's excess demand of this time.
constexpr double kBorrowAheadSeconds = 0.1;
constexpr Duration kMinWakeDelay = std::chrono::milliseconds(1);

std::uint64_t
RandomNonZero(Random& aRandom)
{
  constexpr std::uint64_t kRange = 1ULL << 62U;
  return aRandom.Below(kRange) + 1;
}

std::uint64_t
MixSeed(std::uint64_t aSeed, std::uint64_t aIncarnation)
{
  // An odd multiplier maps incarnations to seeds one to one, so that incarnations with the same
  // seed draw different mark bases.
  constexpr std::uint64_t kOddMultiplier = 0x9e3779b97f4a7c15ULL;
  return aSeed ^ (aIncarnation * kOddMultiplier);
}

} // namespace

RateLimiter::RateLimiter(Options aOptions, std::uint64_t aSeed)
  : options(std::move(aOptions))
  , random(MixSeed(aSeed, this->options.incarnation))
  , markBase(RandomNonZero(this->random))
  , sequence(RandomNonZero(this->random))
  , cache(this->options.prefetch)
{
}

void
RateLimiter::Configure(const ControlState& aState, Time aNow)
{
  this->BeginEvent(aNow, this->deferredEffects);
  this->organisations.clear();
  std::map<std::string, BucketLimit> limits;
  for (const std::pair<const std::string, Organisation>& item : aState.Organisations()) {
    this->organisations.insert(item.first);
    limits[item.first] = LimitOf(item.second, aState.Domains(), this->options.domain);
  }
  this->buckets.SetLimits(limits, aNow);
  this->cache.Retain(this->organisations);
  const Domain* domain = aState.FindDomain(this->options.domain);
  this->configuredHosts = domain == nullptr ? 0 : domain->Hosts();
  this->UpdateHosts(aNow);
}

void
RateLimiter::SetMembers(const std::map<std::string, Member>& aMembers, Time aNow)
{
  this->BeginEvent(aNow, this->deferredEffects);
  std::vector<PeerAddress> own;
  std::set<std::string> nodes;
  std::map<std::string, LenderMembers> others;
  this->addresses.clear();
  for (const std::pair<const std::string, Member>& item : aMembers) {
    const Member& member = item.second;
    nodes.insert(item.first);
    if (item.first == this->options.self.Node()) {
      continue;
    }
    if (member.GetDomain() == this->options.domain) {
      this->addresses[item.first] = member.Address();
    }
    if (!this->IsLive(member)) {
      continue;
    }
    if (member.GetDomain() == this->options.domain) {
      own.push_back(member.Address());
    } else {
      LenderMembers& lender = others[member.GetDomain()];
      lender.sameRegion = member.Region() == this->options.region;
      lender.members.push_back(member.Address());
    }
  }
  this->liveHosts = static_cast<std::uint32_t>(own.size() + 1);
  this->finder.SetMembers(std::move(own));
  this->borrower.SetMembers(others);
  this->reports.Retain(nodes);
  std::erase_if(this->marks, [&nodes](const std::pair<const std::string, ReceivedMark>& aMark) {
    return nodes.count(aMark.first) == 0;
  });
  this->UpdateHosts(aNow);
}

RateVerdict
RateLimiter::Request(std::uint64_t aExchange,
                     const std::string& aOrganisation,
                     Time aNow,
                     Effects& aEffects)
{
  this->BeginEvent(aNow, aEffects);
  if (!this->IsConfigured(aOrganisation)) {
    return RateVerdict::kRefused;
  }
  this->cache.NoteDemand(aOrganisation, aNow);
  const bool elected = this->Elected();
  if (elected) {
    this->buckets.NoteDemand(aOrganisation, 1, aNow);
  }
  RateVerdict verdict = RateVerdict::kWaiting;
  if (this->waiting.Count(aOrganisation) == 0 && this->TakeToken(aOrganisation, aNow)) {
    verdict = RateVerdict::kAdmitted;
  } else if (!elected && this->cache.NextRequestAt(aOrganisation) > aNow + kMaxCallWait) {
    // The last grants fell short, and the next request would come too late for this call.
    ++this->refused[aOrganisation];
    verdict = RateVerdict::kRefused;
  } else {
    this->waiting.Add(aOrganisation, aExchange, aNow + kMaxCallWait);
  }
  const std::uint32_t waitingNow = this->waiting.Count(aOrganisation);
  if (elected ? waitingNow > 0 : this->cache.ShouldRequest(aOrganisation, waitingNow, aNow)) {
    this->SendDueReports(aNow, aEffects);
  }
  return verdict;
}

void
RateLimiter::Abandon(std::uint64_t aExchange)
{
  this->waiting.Remove(aExchange);
}

std::vector<RateDecision>
RateLimiter::TakeDecisions()
{
  return std::exchange(this->decisions, {});
}

void
RateLimiter::Receive(const StewardReport& aReport, Time aNow, Effects& aEffects)
{
  this->BeginEvent(aNow, aEffects);
  if (aReport.Sender().Node() == this->options.self.Node()) {
    return;
  }
  const bool ownDomain = aReport.GetDomain() == this->options.domain;
  if (ownDomain && aReport.Vote()) {
    this->voting->election.CountVote(aReport.Sender().Node(), aReport.Mark(), aNow);
    this->UpdateLease(aNow, aEffects);
  }
  if (!this->reports.Accept(aReport)) {
    return;
  }
  if (ownDomain) {
    this->ReplyToNode(aReport, aNow, aEffects);
  } else {
    this->ReplyToBorrower(aReport, aNow, aEffects);
  }
}

void
RateLimiter::Receive(const StewardGrant& aGrant, Time aNow, Effects& aEffects)
{
  this->BeginEvent(aNow, aEffects);
  if (aGrant.Released()) {
    this->voting->promise.Release(aGrant.Sender(), aGrant.Mark());
    this->finder.Forget(aGrant.Sender());
    this->nextHeartbeatAt = aNow;
    return;
  }
  if (this->cache.Receive(aGrant, aNow)) {
    this->marks[aGrant.Sender()] = ReceivedMark{ aGrant.Mark(), aNow };
    this->finder.NoteAnswer(aGrant.Sender(), aGrant.Elected(), aNow);
  } else if (this->borrower.Receive(aGrant, aNow) && !aGrant.Grants().empty()) {
    AddLogLine(aEffects, LogEvent::kTokensBorrowed, "from " + aGrant.Sender());
  }
  this->AdmitWaiting(aNow);
  this->SendDueReports(aNow, aEffects);
}

void
RateLimiter::Leave(Time aNow, Effects& aEffects)
{
  this->BeginEvent(aNow, aEffects);
  const bool wasElected = this->Elected();
  const std::uint64_t mark = this->voting->election.IssueMark(aNow);
  const std::vector<std::string> voters = this->voting->election.Resign();
  this->leaving = true;
  this->voting->promise.Release(this->options.self.Node(), mark);
  this->buckets.EndTerm();
  this->borrower.Clear();
  for (const std::string& voter : voters) {
    const std::map<std::string, PeerAddress>::const_iterator address = this->addresses.find(voter);
    if (address != this->addresses.end()) {
      const StewardGrant release(
        { .sender = this->options.self.Node(), .mark = mark, .released = true });
      aEffects.push_back(SendPeer({ .to = address->second, .message = release }));
    }
  }
  if (wasElected) {
    AddLogLine(aEffects, LogEvent::kStewardLost, "released, domain " + this->options.domain);
  }
}

void
RateLimiter::Poll(Time aNow, Effects& aEffects)
{
  this->BeginEvent(aNow, aEffects);
  std::move(
    this->deferredEffects.begin(), this->deferredEffects.end(), std::back_inserter(aEffects));
  this->deferredEffects.clear();
  if (aNow >= this->nextHeartbeatAt) {
    this->Heartbeat(aNow, aEffects);
  }
  this->AdmitWaiting(aNow);
  for (const WaitingCall& call : this->waiting.PopExpired(aNow)) {
    ++this->refused[call.organisation];
    this->decisions.push_back(RateDecision{ call.exchange, false });
  }
  this->SendDueReports(aNow, aEffects);
}

Time
RateLimiter::NextWake() const
{
  Time next = std::min(this->nextHeartbeatAt, this->waiting.NextDeadline());
  if (!this->voting) {
    return next;
  }
  next = std::min(next, this->voting->election.LeaseEnd());
  if (this->Elected()) {
    next = std::min(next, std::max(this->borrower.NextRequestAt(), this->lastNow + kMinWakeDelay));
    return std::min(next, this->nextTokenAt);
  }
  if (!this->waiting.Counts().empty() && this->finder.Steward(this->lastNow) == nullptr) {
    next = std::min(next, std::max(this->borrower.NextRequestAt(), this->lastNow + kMinWakeDelay));
  }
  for (const std::pair<const std::string, std::uint32_t>& count : this->waiting.Counts()) {
    next = std::min(next, std::max(this->cache.NextRequestAt(count.first), this->nextReportAt));
  }
  return next;
}

std::string
RateLimiter::Steward() const
{
  if (this->Elected()) {
    return this->options.self.Node();
  }
  const PeerAddress* known = this->finder.Steward(this->lastNow);
  return known == nullptr ? this->Candidate(this->lastNow) : known->Node();
}

bool
RateLimiter::Elected() const
{
  return this->voting && this->voting->election.Elected();
}

std::vector<TokenStatus>
RateLimiter::Status(Time aNow) const
{
  std::vector<TokenStatus> status;
  for (const std::string& organisation : this->organisations) {
    const std::map<std::string, std::uint64_t>::const_iterator count =
      this->refused.find(organisation);
    status.push_back(TokenStatus(
      { .organisation = organisation,
        .tokens = this->cache.Count(organisation, aNow) + this->borrower.Count(organisation, aNow),
        .refused = count == this->refused.end() ? 0 : count->second }));
  }
  return status;
}

void
RateLimiter::BeginEvent(Time aNow, Effects& aEffects)
{
  this->lastNow = std::max(this->lastNow, aNow);
  if (!this->voting) {
    this->voting.emplace(Voting{ VotePromise(aNow), StewardElection(this->markBase, aNow) });
    this->nextHeartbeatAt = aNow;
  }
  this->UpdateLease(aNow, aEffects);
}

void
RateLimiter::UpdateLease(Time aNow, Effects& aEffects)
{
  switch (this->voting->election.Update(aNow)) {
    case LeaseChange::kWon:
      this->buckets.BeginTerm(aNow);
      AddLogLine(aEffects, LogEvent::kStewardElected, "domain " + this->options.domain);
      break;
    case LeaseChange::kLost:
      this->buckets.EndTerm();
      this->borrower.Clear();
      AddLogLine(aEffects, LogEvent::kStewardLost, "domain " + this->options.domain);
      break;
    case LeaseChange::kNone:
      break;
  }
}

void
RateLimiter::UpdateHosts(Time aNow)
{
  if (this->configuredHosts > 0) {
    this->voting->election.SetHosts(std::max(this->configuredHosts, this->liveHosts), aNow);
  }
}

bool
RateLimiter::TakeToken(const std::string& aOrganisation, Time aNow)
{
  if (this->cache.Take(aOrganisation, aNow)) {
    return true;
  }
  if (this->Elected() && this->buckets.Spend(aOrganisation, aNow)) {
    return true;
  }
  return this->borrower.TakeOne(aOrganisation, aNow);
}

void
RateLimiter::AdmitWaiting(Time aNow)
{
  for (const std::pair<const std::string, std::uint32_t>& count : this->waiting.Counts()) {
    std::uint32_t left = count.second;
    while (left > 0 && this->TakeToken(count.first, aNow)) {
      this->decisions.push_back(RateDecision{ this->waiting.PopFirst(count.first), true });
      --left;
    }
  }
}

void
RateLimiter::SendDueReports(Time aNow, Effects& aEffects)
{
  const std::map<std::string, std::uint32_t> counts = this->waiting.Counts();
  if (this->Elected()) {
    this->nextTokenAt = Time::max();
    for (const std::pair<const std::string, std::uint32_t>& count : counts) {
      this->NoteShortage(count.first, count.second, aNow);
      this->nextTokenAt =
        std::min(this->nextTokenAt,
                 std::max(this->buckets.NextToken(count.first, aNow), aNow + kMinWakeDelay));
    }
    this->SendBorrowRequests(aNow, aEffects);
    return;
  }
  if (this->finder.Steward(aNow) == nullptr) {
    this->BorrowWithoutSteward(counts, aNow, aEffects);
  }
  if (aNow < this->nextReportAt) {
    return;
  }
  for (const std::string& organisation : this->organisations) {
    if (this->cache.ShouldRequest(organisation, this->waiting.Count(organisation), aNow)) {
      this->SendReport(aNow, aEffects);
      return;
    }
  }
}

void
RateLimiter::BorrowWithoutSteward(const std::map<std::string, std::uint32_t>& aCounts,
                                  Time aNow,
                                  Effects& aEffects)
{
  // Lenders enforce their limits whoever borrows, so a domain that is between two stewards or has
  // too few hosts to elect one can use the tokens of the domains that it reaches.
  for (const std::pair<const std::string, std::uint32_t>& count : aCounts) {
    this->NoteShortage(count.first, count.second, aNow);
  }
  this->SendBorrowRequests(aNow, aEffects);
}

void
RateLimiter::SendBorrowRequests(Time aNow, Effects& aEffects)
{
  if (!this->options.borrow) {
    return;
  }
  for (const BorrowRequest& request : this->borrower.TakeRequests(aNow)) {
    const StewardReport report({ .sender = this->options.self,
                                 .incarnation = this->options.incarnation,
                                 .sequence = ++this->sequence,
                                 .domain = this->options.domain,
                                 .demands = request.demands });
    this->borrower.NoteSent(report.Sequence(), request, aNow);
    aEffects.push_back(SendPeer({ .to = request.to, .message = report }));
  }
}

void
RateLimiter::NoteShortage(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow)
{
  if (this->options.borrow) {
    const double ahead = this->buckets.ExcessDemand(aOrganisation, aNow) * kBorrowAheadSeconds;
    this->borrower.NoteShortage(aOrganisation, aTokens + static_cast<std::uint32_t>(ahead), aNow);
  }
}

void
RateLimiter::Heartbeat(Time aNow, Effects& aEffects)
{
  this->VoteForSelf(aNow, aEffects);
  const bool known = this->Elected() || this->finder.Steward(aNow) != nullptr;
  this->nextHeartbeatAt = aNow + (known ? kHeartbeatInterval : kSearchHeartbeatInterval);
  if (this->Elected()) {
    this->buckets.Refresh(aNow);
  } else {
    this->SendReport(aNow, aEffects);
  }
}

void
RateLimiter::VoteForSelf(Time aNow, Effects& aEffects)
{
  const std::string& self = this->options.self.Node();
  if (this->Candidate(aNow) == self && this->voting->promise.MayVote(self, aNow)) {
    this->voting->promise.Make(self, this->voting->election.IssueMark(aNow), aNow);
    this->voting->election.CountOwnVote(self, aNow);
    this->UpdateLease(aNow, aEffects);
  }
}

void
RateLimiter::SendReport(Time aNow, Effects& aEffects)
{
  this->nextReportAt = aNow + this->MinReportInterval(aNow);
  const PeerAddress* target = this->NextTarget(aNow);
  if (target == nullptr) {
    return;
  }
  const std::map<std::string, ReceivedMark>::const_iterator mark = this->marks.find(target->Node());
  const bool marked = mark != this->marks.end() && aNow - mark->second.receivedAt < kMaxMarkAge;
  const bool vote = marked && this->Candidate(aNow) == target->Node() &&
                    this->voting->promise.MayVote(target->Node(), aNow);
  if (vote) {
    this->voting->promise.Make(target->Node(), mark->second.mark, aNow);
  }
  const StewardReport report({ .sender = this->options.self,
                               .incarnation = this->options.incarnation,
                               .sequence = ++this->sequence,
                               .vote = vote,
                               .mark = marked ? mark->second.mark : 0,
                               .domain = this->options.domain,
                               .demands = this->cache.Demands(this->waiting.Counts(), aNow) });
  this->cache.NoteSent(report.Sequence(), target->Node(), report.Demands(), aNow);
  aEffects.push_back(SendPeer({ .to = *target, .message = report }));
}

void
RateLimiter::ReplyToNode(const StewardReport& aReport, Time aNow, Effects& aEffects)
{
  std::vector<TokenGrant> grants;
  if (this->Elected()) {
    for (const TokenDemand& demand : aReport.Demands()) {
      this->GrantDemand(demand, aNow, grants);
    }
  }
  this->SendGrant(aReport, std::move(grants), aNow, aEffects);
  this->SendDueReports(aNow, aEffects);
}

void
RateLimiter::ReplyToBorrower(const StewardReport& aReport, Time aNow, Effects& aEffects)
{
  std::vector<TokenGrant> grants;
  if (this->Elected()) {
    for (const TokenDemand& demand : aReport.Demands()) {
      const TokenGrant grant = this->buckets.Lend(demand.GetOrganisation(), demand.Want(), aNow);
      if (grant.Tokens() > 0) {
        grants.push_back(grant);
      }
    }
  }
  this->SendGrant(aReport, std::move(grants), aNow, aEffects);
}

void
RateLimiter::SendGrant(const StewardReport& aReport,
                       std::vector<TokenGrant> aGrants,
                       Time aNow,
                       Effects& aEffects) const
{
  const StewardGrant grant({ .sender = this->options.self.Node(),
                             .sequence = aReport.Sequence(),
                             .mark = this->voting->election.IssueMark(aNow),
                             .elected = this->Elected(),
                             .grants = std::move(aGrants) });
  aEffects.push_back(SendPeer({ .to = aReport.Sender(), .message = grant }));
}

void
RateLimiter::GrantDemand(const TokenDemand& aDemand, Time aNow, std::vector<TokenGrant>& aGrants)
{
  const std::string& organisation = aDemand.GetOrganisation();
  if (!this->IsConfigured(organisation)) {
    return;
  }
  this->buckets.NoteDemand(organisation, aDemand.Want(), aNow);
  const TokenGrant own = this->buckets.Grant(organisation, aDemand.Want(), aNow);
  std::uint32_t missing = aDemand.Want() - own.Tokens();
  if (own.Tokens() > 0) {
    aGrants.push_back(own);
  }
  for (const TokenBatch& batch : this->borrower.Take(organisation, missing, aNow)) {
    missing -= batch.tokens;
    aGrants.push_back(TokenGrant(
      { .organisation = organisation, .tokens = batch.tokens, .life = batch.expiry - aNow }));
  }
  if (missing > 0) {
    this->NoteShortage(organisation, missing, aNow);
  }
}

bool
RateLimiter::IsLive(const Member& aMember) const
{
  return aMember.State() == NodeState::kAlive || aMember.State() == NodeState::kSuspect;
}

std::string
RateLimiter::Candidate(Time aNow) const
{
  if (this->Elected()) {
    return this->options.self.Node();
  }
  const PeerAddress* known = this->finder.Steward(aNow);
  if (known != nullptr) {
    return known->Node();
  }
  const PeerAddress* lowest = this->finder.Lowest();
  if (lowest == nullptr) {
    return this->leaving ? std::string() : this->options.self.Node();
  }
  return this->leaving ? lowest->Node() : std::min(lowest->Node(), this->options.self.Node());
}

const PeerAddress*
RateLimiter::NextTarget(Time aNow)
{
  const PeerAddress* known = this->finder.Steward(aNow);
  if (known != nullptr) {
    return known;
  }
  // Without a known steward, reports alternate between the candidate and the other members.
  this->tryOthers = !this->tryOthers;
  const PeerAddress* lowest = this->finder.Lowest();
  if (!this->tryOthers && lowest != nullptr && this->Candidate(aNow) == lowest->Node()) {
    return lowest;
  }
  const PeerAddress* next = this->finder.Target(aNow);
  this->finder.Advance();
  return next;
}

Duration
RateLimiter::MinReportInterval(Time aNow) const
{
  return this->finder.Steward(aNow) != nullptr ? kMinReportInterval : kMinSearchInterval;
}

bool
RateLimiter::IsConfigured(const std::string& aOrganisation) const
{
  return this->organisations.count(aOrganisation) > 0;
}

} // namespace jackdawwind
