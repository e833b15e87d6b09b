#include "decisions/mesh/quota_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "util/hash.h"

namespace jackdawwind {

namespace {

/// Duration of demand for which a draw requests tokens in advance.
constexpr double kPrefetchSeconds = 0.25;
/// Unused drawn tokens expire after this time, so that idle nodes do not hoard the quota.
constexpr Duration kDrawnLifetime = std::chrono::seconds(2);
/// Time after an unanswered draw in which the fallback bucket is used and no draw is sent.
constexpr Duration kUnansweredBackoff = std::chrono::milliseconds(500);
/// Ratio of the requested credit to the use since the last report.
constexpr std::uint32_t kCreditFactor = 2;
/// Time without draws after the owner ran out of tokens. Otherwise an organisation over its quota
/// would cause a draw for every rejected request.
constexpr Duration kExhaustedBackoff = std::chrono::milliseconds(100);
/// Time constant of the exponentially decaying demand estimate.
constexpr double kDemandTimeConstantSeconds = 2;
/// Fraction of the quota that the fallback buckets of all nodes provide together, while an
/// unreachable owner may still be granting the whole quota.
constexpr double kFallbackFraction = 0.3;
/// Time after a change of owner in which the new one grants a fraction of the rate only. It exceeds
/// the time in which probes detect a partition, after which FleetShare divides the quota.
constexpr Duration kTakeoverTime = std::chrono::seconds(5);

/// Time after a node has met others since its start in which its buckets refill with a fraction of
/// the rate only: until the nodes that owned its quotas meanwhile have learned of it.
constexpr Duration kJoinTime = std::chrono::seconds(1);

/// Lifetime of the tokens that a leaving owner keeps, until it draws from the next one. Longer, and
/// the next owner could save a burst beside them.
constexpr Duration kKeptLifetime = std::chrono::milliseconds(500);
/// Time until a draw is repeated whose receiver does not own the quota: pushed changes of members
/// take two or three times as long.
constexpr Duration kNotOwnerPause = std::chrono::milliseconds(30);

/// Finalizes an FNV hash, which mixes the last input bytes poorly.
std::uint64_t
FinalizeHash(const StableHash& aHash)
{
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kHalfBits = 32;
  const std::uint64_t value = aHash.Value() * kMultiplier;
  return value ^ (value >> kHalfBits);
}

std::size_t
GroupOf(const std::string& aOrganisation)
{
  StableHash hash;
  hash.Add(aOrganisation);
  return FinalizeHash(hash) % QuotaPool::kOwnerGroups;
}

std::uint64_t
RendezvousWeight(std::size_t aGroup, const std::string& aNode)
{
  StableHash hash;
  hash.Add(aNode);
  hash.Add("/");
  hash.Add(std::to_string(aGroup));
  return FinalizeHash(hash);
}

} // namespace

QuotaPool::QuotaPool(PeerAddress aSelf)
  : self(std::move(aSelf))
{
}

void
QuotaPool::Configure(const RouteTable& aTable, Time aNow)
{
  std::map<std::string, Account> next;
  for (const MeshOrganisation& organisation : aTable.Configuration().Organisations()) {
    Account account;
    const auto old = this->accounts.find(organisation.Name());
    if (old != this->accounts.end()) {
      account = std::move(old->second);
      this->accounts.erase(old);
    } else {
      account.group = GroupOf(organisation.Name());
      account.owner = this->self;
      account.bucket.Restart(aNow, this->joinedAt + kJoinTime);
      account.fallback.filledAt = aNow;
    }
    account.rate = organisation.Rate();
    account.burst = organisation.Burst();
    account.bucket.Configure(account.rate, account.burst);
    next.emplace(organisation.Name(), std::move(account));
  }
  for (std::pair<const std::string, Account>& removed : this->accounts) {
    this->RejectWaiters(removed.second);
  }
  this->accounts = std::move(next);
}

void
QuotaPool::SetMembers(const Members& aMembers, Time aNow)
{
  const bool seenPeers = this->fleet.HasSeenPeers();
  this->fleet.Update(aMembers, aNow);
  if (!seenPeers && this->fleet.HasSeenPeers()) {
    this->Join(aNow);
  }
  this->UpdateOwners(aMembers, aNow);
}

void
QuotaPool::Join(Time aNow)
{
  this->joinedAt = aNow;
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    entry.second.bucket.Restart(aNow, aNow + kJoinTime);
  }
}

std::vector<PeerAddress>
QuotaPool::EligibleOwners(const Members& aMembers)
{
  std::vector<PeerAddress> alive;
  std::vector<PeerAddress> leaving;
  for (const Members::value_type& entry : aMembers) {
    // A suspect owns no quota: draws to it may go unanswered for as long as the suspicion lasts.
    if (entry.second.State() == NodeState::kAlive) {
      alive.push_back(entry.second.Address());
    } else if (entry.second.State() == NodeState::kLeaving) {
      leaving.push_back(entry.second.Address());
    }
  }
  return alive.empty() ? leaving : alive;
}

std::vector<PeerAddress>
QuotaPool::ComputeOwners(const Members& aMembers) const
{
  const std::vector<PeerAddress> eligible = EligibleOwners(aMembers);
  std::vector<PeerAddress> best(kOwnerGroups, this->self);
  for (std::size_t group = 0; group < kOwnerGroups; ++group) {
    std::uint64_t bestWeight = 0;
    for (const PeerAddress& member : eligible) {
      const std::uint64_t weight = RendezvousWeight(group, member.Node());
      if (weight > bestWeight) {
        best[group] = member;
        bestWeight = weight;
      }
    }
  }
  return best;
}

void
QuotaPool::UpdateOwners(const Members& aMembers, Time aNow)
{
  const std::vector<PeerAddress> best = this->ComputeOwners(aMembers);
  const Members::const_iterator own = aMembers.find(this->self.Node());
  const bool isLeaving = own != aMembers.end() && own->second.State() == NodeState::kLeaving;
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    const PeerAddress& owner = best[account.group];
    if (owner == account.owner) {
      continue;
    }
    if (owner == this->self) {
      const Members::const_iterator previous = aMembers.find(account.owner.Node());
      const bool leftCleanly =
        previous != aMembers.end() && previous->second.State() == NodeState::kLeaving;
      account.bucket.Restart(aNow, leftCleanly ? aNow : aNow + kTakeoverTime);
    }
    if (isLeaving && this->IsOwner(account)) {
      KeepSavedTokens(account, aNow);
    }
    account.owner = owner;
    account.creditExpiresAt = Time{};
    account.exhaustedUntil = Time{};
    account.inDraw = false;
    account.unreported += std::exchange(account.reporting, 0);
    if (owner == this->self) {
      account.bucket.Deduct(account.unreported, MeanUnreportedAge(account, aNow), aNow);
      account.unreported = 0;
    }
  }
}

void
QuotaPool::KeepSavedTokens(Account& aAccount, Time aNow)
{
  aAccount.drawn = aAccount.bucket.Grant(std::numeric_limits<std::uint32_t>::max(), aNow);
  aAccount.drawnAt = aNow - (kDrawnLifetime - kKeptLifetime);
}

bool
QuotaPool::IsOwner(const Account& aAccount) const
{
  return aAccount.owner == this->self;
}

bool
QuotaPool::TakeFallback(Account& aAccount, Time aNow) const
{
  // While all nodes are isolated, as after a start of the whole fleet, only the fallback buckets
  // are in use, so together they may provide the whole quota.
  const double fraction = this->fleet.IsIsolated(aNow) ? 1.0 : kFallbackFraction;
  const double share = fraction / static_cast<double>(this->fleet.Expected());
  FallbackBucket& fallback = aAccount.fallback;
  const double elapsed = Seconds(std::max(aNow - fallback.filledAt, Duration::zero()));
  fallback.tokens = std::min(std::max(aAccount.burst * share, 1.0),
                             fallback.tokens + aAccount.rate * share * elapsed);
  fallback.filledAt = aNow;
  if (fallback.tokens < 1.0) {
    return false;
  }
  fallback.tokens -= 1.0;
  return true;
}

void
QuotaPool::RefillBucket(Account& aAccount, Time aNow) const
{
  aAccount.bucket.Refill(this->fleet.Share(aNow), aNow);
}

bool
QuotaPool::TakeFromBucket(Account& aAccount, Time aNow) const
{
  if (this->fleet.IsIsolated(aNow)) {
    // Keeps the bucket empty while isolated; otherwise every node would have a full burst when the
    // partition heals. The takeover time covers the other owner, which continues to grant until all
    // nodes have learned that the partition has healed.
    aAccount.bucket.Restart(aNow, this->fleet.HasSeenPeers() ? aNow + kTakeoverTime : aNow);
    return this->TakeFallback(aAccount, aNow);
  }
  this->RefillBucket(aAccount, aNow);
  return aAccount.bucket.Grant(1, aNow) > 0;
}

Duration
QuotaPool::MeanUnreportedAge(const Account& aAccount, Time aNow)
{
  return aAccount.unreported > 0 ? aNow - aAccount.unreportedAt : Duration::zero();
}

bool
QuotaPool::TakeCredit(Account& aAccount, Time aNow)
{
  if (aNow >= aAccount.creditExpiresAt ||
      aAccount.unreported + aAccount.reporting >= aAccount.credit) {
    return false;
  }
  ++aAccount.unreported;
  aAccount.unreportedAt +=
    (aNow - aAccount.unreportedAt) / static_cast<Duration::rep>(aAccount.unreported);
  Channel& channel = this->ChannelTo(aAccount.owner);
  const bool exhausted = aAccount.unreported + aAccount.reporting >= aAccount.credit;
  channel.nextDrawAt = std::min(channel.nextDrawAt, exhausted ? aNow : aNow + kReportInterval);
  return true;
}

void
QuotaPool::NoteDemand(Account& aAccount, Time aNow)
{
  const double elapsed = Seconds(aNow - aAccount.demandAt);
  const double decay = std::exp(-elapsed / kDemandTimeConstantSeconds);
  aAccount.demand = aAccount.demand * decay + 1.0 / kDemandTimeConstantSeconds;
  aAccount.demandAt = aNow;
}

QuotaPool::Channel&
QuotaPool::ChannelTo(const PeerAddress& aOwner)
{
  Channel& channel = this->channels[aOwner.Node()];
  channel.owner = aOwner;
  return channel;
}

QuotaPool::Verdict
QuotaPool::Acquire(std::uint64_t aExchange, const std::string& aOrganisation, Time aNow)
{
  const auto found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end() || found->second.rate <= 0) {
    return Verdict::kAdmitted;
  }
  Account& account = found->second;
  NoteDemand(account, aNow);
  if (this->IsOwner(account)) {
    return this->TakeFromBucket(account, aNow) ? Verdict::kAdmitted : Verdict::kRejected;
  }
  if (account.drawn >= 1.0 && aNow - account.drawnAt < kDrawnLifetime) {
    account.drawn -= 1.0;
    return Verdict::kAdmitted;
  }
  if (this->TakeCredit(account, aNow)) {
    return Verdict::kAdmitted;
  }
  if (this->ChannelTo(account.owner).backoffUntil > aNow) {
    return this->TakeFallback(account, aNow) ? Verdict::kAdmitted : Verdict::kRejected;
  }
  if (account.exhaustedUntil > aNow) {
    return Verdict::kRejected;
  }
  account.waiters.push_back({ aExchange, aNow + kDrawTimeout });
  this->waiterOrganisations.emplace(aExchange, aOrganisation);
  return Verdict::kPending;
}

void
QuotaPool::Refund(const std::string& aOrganisation)
{
  const auto found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  if (this->IsOwner(account)) {
    account.bucket.Refund();
  } else if (account.unreported > 0) {
    --account.unreported;
  } else {
    account.drawn += 1.0;
  }
}

void
QuotaPool::Abandon(std::uint64_t aExchange)
{
  const auto found = this->waiterOrganisations.find(aExchange);
  if (found == this->waiterOrganisations.end()) {
    return;
  }
  const auto account = this->accounts.find(found->second);
  if (account != this->accounts.end()) {
    std::erase_if(account->second.waiters,
                  [aExchange](const Waiter& aWaiter) { return aWaiter.exchange == aExchange; });
  }
  this->waiterOrganisations.erase(found);
}

std::uint32_t
QuotaPool::WantedTokens(const Account& aAccount)
{
  if (aAccount.waiters.empty()) {
    return 0;
  }
  const double prefetch = std::floor(aAccount.demand * kPrefetchSeconds);
  return static_cast<std::uint32_t>(static_cast<double>(aAccount.waiters.size()) + prefetch);
}

void
QuotaPool::SendDraw(Channel& aChannel, Time aNow, Effects& aEffects)
{
  std::vector<QuotaUse> uses;
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    if (account.owner != aChannel.owner || (account.waiters.empty() && account.unreported == 0)) {
      continue;
    }
    uses.push_back(QuotaUse({ .organisation = entry.first,
                              .used = account.unreported,
                              .age = MeanUnreportedAge(account, aNow),
                              .want = WantedTokens(account) }));
    account.reporting = std::exchange(account.unreported, 0);
    account.inDraw = true;
  }
  aChannel.nextDrawAt = Time::max();
  if (uses.empty()) {
    return;
  }
  aChannel.drawDeadline = aNow + kDrawTimeout;
  aEffects.push_back(SendPeer(
    { .to = aChannel.owner,
      .message = QuotaDraw(
        { .sender = this->self, .sequence = ++aChannel.sequence, .uses = std::move(uses) }) }));
}

std::optional<QuotaAllowance>
QuotaPool::AnswerUse(const std::string& aNode, const QuotaUse& aUse, Time aNow)
{
  const std::string& organisation = aUse.GetOrganisation();
  const auto found = this->accounts.find(organisation);
  if (found == this->accounts.end() || !this->IsOwner(found->second)) {
    return std::nullopt;
  }
  this->RefillBucket(found->second, aNow);
  QuotaBucket& bucket = found->second.bucket;
  bucket.Deduct(aUse.Used(), aUse.Age(), aNow);
  const std::uint32_t tokens = bucket.Grant(aUse.Want(), aNow);
  const std::uint32_t creditWanted = std::max(1U, kCreditFactor * (aUse.Used() + aUse.Want()));
  return QuotaAllowance({ .organisation = organisation,
                          .tokens = tokens,
                          .credit = bucket.GrantCredit(aNode, creditWanted, aNow) });
}

void
QuotaPool::Receive(const QuotaDraw& aDraw, Time aNow, Effects& aEffects)
{
  std::vector<QuotaAllowance> allowances;
  allowances.reserve(aDraw.Uses().size());
  for (const QuotaUse& use : aDraw.Uses()) {
    const std::optional<QuotaAllowance> allowance =
      this->AnswerUse(aDraw.Sender().Node(), use, aNow);
    if (allowance) {
      allowances.push_back(*allowance);
    }
  }
  aEffects.push_back(SendPeer({ .to = aDraw.Sender(),
                                .message = QuotaGrant({ .sender = this->self.Node(),
                                                        .sequence = aDraw.Sequence(),
                                                        .allowances = std::move(allowances) }) }));
}

void
QuotaPool::Receive(const QuotaGrant& aGrant, Time aNow)
{
  const auto channel = this->channels.find(aGrant.Sender());
  if (channel == this->channels.end() || channel->second.sequence != aGrant.Sequence()) {
    return;
  }
  channel->second.drawDeadline = Time::max();
  channel->second.backoffUntil = Time{};
  for (const QuotaAllowance& allowance : aGrant.Allowances()) {
    const auto found = this->accounts.find(allowance.GetOrganisation());
    // A grant of a former owner is void: the requests that it reported were taken over.
    if (found != this->accounts.end() && found->second.owner.Node() == aGrant.Sender()) {
      this->ApplyAllowance(found->second, allowance, aNow);
    }
  }
  this->RepeatUnanswered(channel->second, aNow);
}

void
QuotaPool::RepeatUnanswered(Channel& aChannel, Time aNow)
{
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    if (!account.inDraw || account.owner != aChannel.owner) {
      continue;
    }
    account.inDraw = false;
    account.unreported += std::exchange(account.reporting, 0);
    aChannel.pausedUntil = aNow + kNotOwnerPause;
    const Duration delay = account.waiters.empty() ? kUnansweredBackoff : kNotOwnerPause;
    aChannel.nextDrawAt = std::min(aChannel.nextDrawAt, aNow + delay);
  }
}

void
QuotaPool::ApplyAllowance(Account& aAccount, const QuotaAllowance& aAllowance, Time aNow)
{
  aAccount.inDraw = false;
  aAccount.reporting = 0;
  aAccount.credit = aAllowance.Credit();
  aAccount.creditExpiresAt = aNow + QuotaBucket::kCreditLifetime;
  if (aNow - aAccount.drawnAt >= kDrawnLifetime) {
    aAccount.drawn = 0;
  }
  aAccount.drawn += aAllowance.Tokens();
  aAccount.drawnAt = aNow;
  this->AdmitWaiters(aAccount);
  if (aAllowance.Tokens() == 0 && aAllowance.Credit() == 0) {
    // The owner has nothing left: rejects the waiting requests now instead of letting them time
    // out.
    aAccount.exhaustedUntil = aNow + kExhaustedBackoff;
    this->RejectWaiters(aAccount);
  }
}

void
QuotaPool::AdmitWaiters(Account& aAccount)
{
  while (!aAccount.waiters.empty() && aAccount.drawn >= 1.0) {
    aAccount.drawn -= 1.0;
    this->decisions.push_back({ aAccount.waiters.front().exchange, true });
    this->waiterOrganisations.erase(aAccount.waiters.front().exchange);
    aAccount.waiters.pop_front();
  }
}

void
QuotaPool::RejectWaiters(Account& aAccount)
{
  for (const Waiter& waiter : aAccount.waiters) {
    this->decisions.push_back({ waiter.exchange, false });
    this->waiterOrganisations.erase(waiter.exchange);
  }
  aAccount.waiters.clear();
}

void
QuotaPool::PollWaiters(Account& aAccount, Time aNow)
{
  const bool isOwner = this->IsOwner(aAccount);
  while (!aAccount.waiters.empty() && (isOwner || aAccount.waiters.front().deadline <= aNow)) {
    const std::uint64_t exchange = aAccount.waiters.front().exchange;
    const bool admitted =
      isOwner ? this->TakeFromBucket(aAccount, aNow) : this->TakeFallback(aAccount, aNow);
    this->decisions.push_back({ exchange, admitted });
    this->waiterOrganisations.erase(exchange);
    aAccount.waiters.pop_front();
  }
}

void
QuotaPool::PollAllWaiters(Time aNow)
{
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    this->PollWaiters(account, aNow);
    if (!account.waiters.empty()) {
      Channel& channel = this->ChannelTo(account.owner);
      channel.nextDrawAt = std::min(channel.nextDrawAt, aNow);
    }
  }
}

void
QuotaPool::HandleDrawTimeout(Channel& aChannel, Time aNow)
{
  aChannel.drawDeadline = Time::max();
  aChannel.backoffUntil = aNow + kUnansweredBackoff;
  this->unresponsiveOwners.push_back(aChannel.owner.Node());
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    account.inDraw = account.inDraw && account.owner != aChannel.owner;
    if (account.owner == aChannel.owner && account.reporting > 0) {
      // Reports these requests again, since a lost report would leave them uncounted.
      account.unreported += std::exchange(account.reporting, 0);
      aChannel.nextDrawAt = aChannel.backoffUntil;
    }
  }
}

void
QuotaPool::Poll(Time aNow, Effects& aEffects)
{
  if (!this->waiterOrganisations.empty()) {
    this->PollAllWaiters(aNow);
  }
  for (std::pair<const std::string, Channel>& entry : this->channels) {
    Channel& channel = entry.second;
    if (channel.drawDeadline <= aNow) {
      this->HandleDrawTimeout(channel, aNow);
    }
    if (channel.drawDeadline == Time::max() && channel.backoffUntil <= aNow &&
        channel.pausedUntil <= aNow && channel.nextDrawAt <= aNow) {
      this->SendDraw(channel, aNow, aEffects);
    }
  }
}

Time
QuotaPool::NextWake() const
{
  Time next = Time::max();
  for (const std::pair<const std::string, Channel>& entry : this->channels) {
    const Channel& channel = entry.second;
    const Time report =
      channel.drawDeadline == Time::max() && channel.nextDrawAt != Time::max()
        ? std::max({ channel.nextDrawAt, channel.backoffUntil, channel.pausedUntil })
        : Time::max();
    next = std::min({ next, channel.drawDeadline, report });
  }
  if (this->waiterOrganisations.empty()) {
    return next;
  }
  for (const std::pair<const std::string, Account>& entry : this->accounts) {
    if (!entry.second.waiters.empty()) {
      next = std::min(next, entry.second.waiters.front().deadline);
    }
  }
  return next;
}

std::vector<std::string>
QuotaPool::TakeUnresponsiveOwners()
{
  std::vector<std::string> taken;
  taken.swap(this->unresponsiveOwners);
  return taken;
}

std::vector<QuotaPool::Decision>
QuotaPool::TakeDecisions()
{
  std::vector<Decision> taken;
  taken.swap(this->decisions);
  return taken;
}

} // namespace jackdawwind
