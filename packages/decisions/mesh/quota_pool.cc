#include "decisions/mesh/quota_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/hash.h"

namespace jackdawwind {

namespace {

/// Time of demand that one draw covers.
constexpr double kDrawAheadSeconds = 0.25;
/// Drawn tokens that were not used are void after this time; they would hoard the quota.
constexpr Duration kDrawnLife = std::chrono::seconds(2);
/// After a draw without an answer the reserve is used for this long before the next draw.
constexpr Duration kSilence = std::chrono::milliseconds(500);
/// Credit is asked for this many times what was used since the last report.
constexpr std::uint32_t kCreditFactor = 2;
/// Time without draws after the keeper had no token left: a hot organisation would draw for every
/// request that it is refused.
constexpr Duration kEmptyTime = std::chrono::milliseconds(100);
/// Mean of demand over about this time.
constexpr double kDemandSeconds = 2;
/// Part of the quota that all nodes use together while they do not reach a keeper that may still
/// grant the whole of it.
constexpr double kReservePart = 0.3;
/// Time after a change of keepers in which the new one grants a part only: longer than the probes
/// need to find the other side of a cut, after which FleetShare divides the quota.
constexpr Duration kTakeover = std::chrono::seconds(5);

/// FNV mixes its last bytes badly; the multiplication spreads them.
std::uint64_t
Spread(const StableHash& aHash)
{
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kHalf = 32;
  const std::uint64_t value = aHash.Value() * kSpread;
  return value ^ (value >> kHalf);
}

std::size_t
GroupOf(const std::string& aOrganisation)
{
  StableHash hash;
  hash.Add(aOrganisation);
  return Spread(hash) % QuotaPool::kKeepers;
}

std::uint64_t
Weight(std::size_t aGroup, const std::string& aNode)
{
  StableHash hash;
  hash.Add(aNode);
  hash.Add("/");
  hash.Add(std::to_string(aGroup));
  return Spread(hash);
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
      account.keeper = this->self;
      account.bucket.Restart(aNow, aNow);
      account.reserve.filledAt = aNow;
    }
    account.rate = organisation.Rate();
    account.burst = organisation.Burst();
    account.bucket.Configure(account.rate, account.burst);
    next.emplace(organisation.Name(), std::move(account));
  }
  for (std::pair<const std::string, Account>& dropped : this->accounts) {
    this->RefuseWaiters(dropped.second);
  }
  this->accounts = std::move(next);
}

void
QuotaPool::SetMembers(const Members& aMembers, Time aNow)
{
  this->fleet.Update(aMembers, aNow);
  this->ChooseKeepers(aMembers, aNow);
}

std::vector<PeerAddress>
QuotaPool::BestKeepers(const Members& aMembers) const
{
  std::vector<PeerAddress> best(kKeepers, this->self);
  for (std::size_t group = 0; group < kKeepers; ++group) {
    std::uint64_t bestWeight = Weight(group, this->self.Node());
    for (const Members::value_type& member : aMembers) {
      // A suspect keeps nothing: its draws would go unanswered for as long as the suspicion lasts.
      const bool lives = member.second.State() == NodeState::kAlive;
      const std::uint64_t weight = lives ? Weight(group, member.first) : 0;
      if (lives && weight > bestWeight) {
        best[group] = member.second.Address();
        bestWeight = weight;
      }
    }
  }
  return best;
}

void
QuotaPool::ChooseKeepers(const Members& aMembers, Time aNow)
{
  const std::vector<PeerAddress> best = this->BestKeepers(aMembers);
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    const PeerAddress& keeper = best[account.group];
    if (keeper == account.keeper) {
      continue;
    }
    if (keeper == this->self) {
      const Members::const_iterator before = aMembers.find(account.keeper.Node());
      const bool signedOff =
        before != aMembers.end() && before->second.State() == NodeState::kLeaving;
      account.bucket.Restart(aNow, signedOff ? aNow : aNow + kTakeover);
    }
    account.keeper = keeper;
    account.creditUntil = Time{};
    account.emptyUntil = Time{};
    account.unreported += std::exchange(account.reporting, 0);
    if (keeper == this->self) {
      account.bucket.Deduct(account.unreported, AgeOf(account, aNow), aNow);
      account.unreported = 0;
    }
  }
}

bool
QuotaPool::IsKeeper(const Account& aAccount) const
{
  return aAccount.keeper == this->self;
}

bool
QuotaPool::TakeReserve(Account& aAccount, Time aNow) const
{
  // Alone after a start of the whole fleet every node has only its reserve, so it may be whole.
  const double part = this->fleet.IsAlone(aNow) ? 1.0 : kReservePart;
  const double share = part / static_cast<double>(this->fleet.Expected());
  Reserve& reserve = aAccount.reserve;
  const double passed = Seconds(std::max(aNow - reserve.filledAt, Duration::zero()));
  reserve.tokens = std::min(std::max(aAccount.burst * share, 1.0),
                            reserve.tokens + aAccount.rate * share * passed);
  reserve.filledAt = aNow;
  if (reserve.tokens < 1.0) {
    return false;
  }
  reserve.tokens -= 1.0;
  return true;
}

void
QuotaPool::Fill(Account& aAccount, Time aNow) const
{
  aAccount.bucket.Fill(this->fleet.Share(aNow), aNow);
}

bool
QuotaPool::TakeOwn(Account& aAccount, Time aNow) const
{
  if (this->fleet.IsAlone(aNow)) {
    // What fills meanwhile is not this node's: after a cut every node would bring a whole burst.
    // And when the cut ends, another keeper acts until all have heard of it.
    aAccount.bucket.Restart(aNow, this->fleet.HadCompany() ? aNow + kTakeover : aNow);
    return this->TakeReserve(aAccount, aNow);
  }
  this->Fill(aAccount, aNow);
  return aAccount.bucket.Grant(1, aNow) > 0;
}

Duration
QuotaPool::AgeOf(const Account& aAccount, Time aNow)
{
  return aAccount.unreported > 0 ? aNow - aAccount.unreportedAt : Duration::zero();
}

bool
QuotaPool::TakeCredit(Account& aAccount, Time aNow)
{
  if (aNow >= aAccount.creditUntil || aAccount.unreported + aAccount.reporting >= aAccount.credit) {
    return false;
  }
  ++aAccount.unreported;
  aAccount.unreportedAt +=
    (aNow - aAccount.unreportedAt) / static_cast<Duration::rep>(aAccount.unreported);
  Channel& channel = this->ChannelTo(aAccount.keeper);
  const bool usedUp = aAccount.unreported + aAccount.reporting >= aAccount.credit;
  channel.reportAt = std::min(channel.reportAt, usedUp ? aNow : aNow + kReportInterval);
  return true;
}

void
QuotaPool::NoteDemand(Account& aAccount, Time aNow)
{
  const double passed = Seconds(aNow - aAccount.demandAt);
  const double kept = std::exp(-passed / kDemandSeconds);
  aAccount.demand = aAccount.demand * kept + 1.0 / kDemandSeconds;
  aAccount.demandAt = aNow;
}

QuotaPool::Channel&
QuotaPool::ChannelTo(const PeerAddress& aKeeper)
{
  Channel& channel = this->channels[aKeeper.Node()];
  channel.keeper = aKeeper;
  return channel;
}

QuotaPool::Verdict
QuotaPool::Request(std::uint64_t aExchange, const std::string& aOrganisation, Time aNow)
{
  const auto found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end() || found->second.rate <= 0) {
    return Verdict::kTaken;
  }
  Account& account = found->second;
  NoteDemand(account, aNow);
  if (this->IsKeeper(account)) {
    return this->TakeOwn(account, aNow) ? Verdict::kTaken : Verdict::kRefused;
  }
  if (account.drawn >= 1.0 && aNow - account.drawnAt < kDrawnLife) {
    account.drawn -= 1.0;
    return Verdict::kTaken;
  }
  if (this->TakeCredit(account, aNow)) {
    return Verdict::kTaken;
  }
  if (this->ChannelTo(account.keeper).silentUntil > aNow) {
    return this->TakeReserve(account, aNow) ? Verdict::kTaken : Verdict::kRefused;
  }
  if (account.emptyUntil > aNow) {
    return Verdict::kRefused;
  }
  account.waiters.push_back({ aExchange, aNow + kDrawTimeout });
  this->waitingFor.emplace(aExchange, aOrganisation);
  return Verdict::kWaiting;
}

void
QuotaPool::Return(const std::string& aOrganisation)
{
  const auto found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  if (this->IsKeeper(account)) {
    account.bucket.Return();
  } else if (account.unreported > 0) {
    --account.unreported;
  } else {
    account.drawn += 1.0;
  }
}

void
QuotaPool::Abandon(std::uint64_t aExchange)
{
  const auto found = this->waitingFor.find(aExchange);
  if (found == this->waitingFor.end()) {
    return;
  }
  const auto account = this->accounts.find(found->second);
  if (account != this->accounts.end()) {
    std::erase_if(account->second.waiters,
                  [aExchange](const Waiter& aWaiter) { return aWaiter.exchange == aExchange; });
  }
  this->waitingFor.erase(found);
}

std::uint32_t
QuotaPool::WantOf(const Account& aAccount)
{
  if (aAccount.waiters.empty()) {
    return 0;
  }
  const double ahead = std::floor(aAccount.demand * kDrawAheadSeconds);
  return static_cast<std::uint32_t>(static_cast<double>(aAccount.waiters.size()) + ahead);
}

void
QuotaPool::Draw(Channel& aChannel, Time aNow, Effects& aEffects)
{
  std::vector<QuotaUse> uses;
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    if (account.keeper != aChannel.keeper || (account.waiters.empty() && account.unreported == 0)) {
      continue;
    }
    uses.push_back(QuotaUse({ .organisation = entry.first,
                              .used = account.unreported,
                              .age = AgeOf(account, aNow),
                              .want = WantOf(account) }));
    account.reporting = std::exchange(account.unreported, 0);
  }
  aChannel.reportAt = Time::max();
  if (uses.empty()) {
    return;
  }
  aChannel.answerDue = aNow + kDrawTimeout;
  aEffects.push_back(SendPeer(
    { .to = aChannel.keeper,
      .message = QuotaDraw(
        { .sender = this->self, .sequence = ++aChannel.sequence, .uses = std::move(uses) }) }));
}

QuotaAllowance
QuotaPool::Answer(const std::string& aNode, const QuotaUse& aUse, Time aNow)
{
  const std::string& organisation = aUse.GetOrganisation();
  const auto found = this->accounts.find(organisation);
  if (found == this->accounts.end() || !this->IsKeeper(found->second)) {
    return QuotaAllowance({ .organisation = organisation });
  }
  this->Fill(found->second, aNow);
  QuotaBucket& bucket = found->second.bucket;
  bucket.Deduct(aUse.Used(), aUse.Age(), aNow);
  const std::uint32_t tokens = bucket.Grant(aUse.Want(), aNow);
  const std::uint32_t wanted = std::max(1U, kCreditFactor * (aUse.Used() + aUse.Want()));
  return QuotaAllowance({ .organisation = organisation,
                          .tokens = tokens,
                          .credit = bucket.GiveCredit(aNode, wanted, aNow) });
}

void
QuotaPool::Receive(const QuotaDraw& aDraw, Time aNow, Effects& aEffects)
{
  std::vector<QuotaAllowance> allowances;
  allowances.reserve(aDraw.Uses().size());
  for (const QuotaUse& use : aDraw.Uses()) {
    allowances.push_back(this->Answer(aDraw.Sender().Node(), use, aNow));
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
  channel->second.answerDue = Time::max();
  channel->second.silentUntil = Time{};
  for (const QuotaAllowance& allowance : aGrant.Allowances()) {
    const auto found = this->accounts.find(allowance.GetOrganisation());
    if (found != this->accounts.end()) {
      this->ApplyAllowance(found->second, allowance, aNow);
    }
  }
}

void
QuotaPool::ApplyAllowance(Account& aAccount, const QuotaAllowance& aAllowance, Time aNow)
{
  aAccount.reporting = 0;
  aAccount.credit = aAllowance.Credit();
  aAccount.creditUntil = aNow + QuotaBucket::kCreditLife;
  if (aNow - aAccount.drawnAt >= kDrawnLife) {
    aAccount.drawn = 0;
  }
  aAccount.drawn += aAllowance.Tokens();
  aAccount.drawnAt = aNow;
  this->ServeWaiters(aAccount);
  if (aAllowance.Tokens() == 0 && aAllowance.Credit() == 0) {
    // The keeper has none left: those that wait are refused now, not at the end of their wait.
    aAccount.emptyUntil = aNow + kEmptyTime;
    this->RefuseWaiters(aAccount);
  }
}

void
QuotaPool::ServeWaiters(Account& aAccount)
{
  while (!aAccount.waiters.empty() && aAccount.drawn >= 1.0) {
    aAccount.drawn -= 1.0;
    this->decisions.push_back({ aAccount.waiters.front().exchange, true });
    this->waitingFor.erase(aAccount.waiters.front().exchange);
    aAccount.waiters.pop_front();
  }
}

void
QuotaPool::RefuseWaiters(Account& aAccount)
{
  for (const Waiter& waiter : aAccount.waiters) {
    this->decisions.push_back({ waiter.exchange, false });
    this->waitingFor.erase(waiter.exchange);
  }
  aAccount.waiters.clear();
}

void
QuotaPool::PollWaiters(Account& aAccount, Time aNow)
{
  const bool keeper = this->IsKeeper(aAccount);
  while (!aAccount.waiters.empty() && (keeper || aAccount.waiters.front().until <= aNow)) {
    const std::uint64_t exchange = aAccount.waiters.front().exchange;
    const bool taken = keeper ? this->TakeOwn(aAccount, aNow) : this->TakeReserve(aAccount, aNow);
    this->decisions.push_back({ exchange, taken });
    this->waitingFor.erase(exchange);
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
      Channel& channel = this->ChannelTo(account.keeper);
      channel.reportAt = std::min(channel.reportAt, aNow);
    }
  }
}

void
QuotaPool::GiveUpDraw(Channel& aChannel, Time aNow)
{
  aChannel.answerDue = Time::max();
  aChannel.silentUntil = aNow + kSilence;
  this->silentKeepers.push_back(aChannel.keeper.Node());
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    if (account.keeper == aChannel.keeper && account.reporting > 0) {
      // Reported once more: a report that was lost must not make its requests free.
      account.unreported += std::exchange(account.reporting, 0);
      aChannel.reportAt = aChannel.silentUntil;
    }
  }
}

void
QuotaPool::Poll(Time aNow, Effects& aEffects)
{
  if (!this->waitingFor.empty()) {
    this->PollAllWaiters(aNow);
  }
  for (std::pair<const std::string, Channel>& entry : this->channels) {
    Channel& channel = entry.second;
    if (channel.answerDue <= aNow) {
      this->GiveUpDraw(channel, aNow);
    }
    if (channel.answerDue == Time::max() && channel.silentUntil <= aNow &&
        channel.reportAt <= aNow) {
      this->Draw(channel, aNow, aEffects);
    }
  }
}

Time
QuotaPool::NextWake() const
{
  Time next = Time::max();
  for (const std::pair<const std::string, Channel>& entry : this->channels) {
    const Channel& channel = entry.second;
    const Time report = channel.answerDue == Time::max() && channel.reportAt != Time::max()
                          ? std::max(channel.reportAt, channel.silentUntil)
                          : Time::max();
    next = std::min({ next, channel.answerDue, report });
  }
  if (this->waitingFor.empty()) {
    return next;
  }
  for (const std::pair<const std::string, Account>& entry : this->accounts) {
    if (!entry.second.waiters.empty()) {
      next = std::min(next, entry.second.waiters.front().until);
    }
  }
  return next;
}

std::vector<std::string>
QuotaPool::TakeUnresponsiveOwners()
{
  std::vector<std::string> taken;
  taken.swap(this->silentKeepers);
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
