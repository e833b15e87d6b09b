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
/// Mean of demand over about this time.
constexpr double kDemandSeconds = 2;
/// Part of the quota that all nodes use together while the former keeper may still grant the whole
/// of it behind a cut, each its own part: by itself, or from the node that takes the keeper's
/// place. An organisation that uses its quota up has no burst saved, so that this and the tolerance
/// of quotas cover it.
constexpr double kReservePart = 0.3;
/// Time after a change of keepers in which only that part is granted: longer than the probes need
/// to find the other side of a cut, after which FleetShare divides the quota.
constexpr Duration kTakeover = std::chrono::seconds(5);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::uint64_t
Weight(const std::string& aOrganisation, const std::string& aNode)
{
  StableHash hash;
  hash.Add(aNode);
  hash.Add("/");
  hash.Add(aOrganisation);
  // FNV mixes its last bytes badly; the multiplication spreads them.
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kHalf = 32;
  const std::uint64_t value = hash.Value() * kSpread;
  return value ^ (value >> kHalf);
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
    } else {
      account.keeper = this->self;
      account.bucket.filledAt = aNow;
      account.reserve.filledAt = aNow;
    }
    account.rate = organisation.Rate();
    account.burst = organisation.Burst();
    account.bucket.tokens = std::min(account.bucket.tokens, account.burst);
    next.emplace(organisation.Name(), std::move(account));
  }
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    if (!next.contains(entry.first)) {
      for (const Waiter& waiter : entry.second.waiters) {
        this->decisions.push_back({ waiter.exchange, false });
        this->waitingFor.erase(waiter.exchange);
      }
    }
  }
  this->accounts = std::move(next);
}

void
QuotaPool::SetMembers(const Members& aMembers, Time aNow)
{
  this->fleet.Update(aMembers, aNow);
  this->ChooseKeepers(aMembers, aNow);
}

PeerAddress
QuotaPool::BestKeeper(const std::string& aOrganisation, const Members& aMembers) const
{
  PeerAddress best = this->self;
  std::uint64_t bestWeight = Weight(aOrganisation, this->self.Node());
  for (const Members::value_type& member : aMembers) {
    // A suspect keeps nothing: its draws would go unanswered for as long as the suspicion lasts.
    const bool lives = member.second.State() == NodeState::kAlive;
    const std::uint64_t weight = Weight(aOrganisation, member.first);
    if (lives && weight > bestWeight) {
      best = member.second.Address();
      bestWeight = weight;
    }
  }
  return best;
}

void
QuotaPool::ChooseKeepers(const Members& aMembers, Time aNow)
{
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    const PeerAddress best = this->BestKeeper(entry.first, aMembers);
    if (best == account.keeper) {
      continue;
    }
    if (best == this->self) {
      account.bucket = Bucket{ 0, aNow };
      const Members::const_iterator before = aMembers.find(account.keeper.Node());
      const bool signedOff =
        before != aMembers.end() && before->second.State() == NodeState::kLeaving;
      account.heldUntil = signedOff ? aNow : aNow + kTakeover;
    }
    account.keeper = best;
  }
}

bool
QuotaPool::IsKeeper(const Account& aAccount) const
{
  return aAccount.keeper == this->self;
}

void
QuotaPool::Fill(Bucket& aBucket, double aRate, double aCapacity, Time aNow)
{
  const double added = aRate * Seconds(std::max(aNow - aBucket.filledAt, Duration::zero()));
  aBucket.tokens = std::min(aCapacity, aBucket.tokens + added);
  aBucket.filledAt = aNow;
}

bool
QuotaPool::TakeOne(Bucket& aBucket)
{
  if (aBucket.tokens < 1.0) {
    return false;
  }
  aBucket.tokens -= 1.0;
  return true;
}

bool
QuotaPool::TakeReserve(Account& aAccount, Time aNow) const
{
  // Alone after a start of the whole fleet every node has only its reserve, so it may be whole.
  const double part = this->fleet.IsAlone(aNow) ? 1.0 : kReservePart;
  const double share = part / static_cast<double>(this->fleet.Expected());
  Fill(aAccount.reserve, aAccount.rate * share, std::max(aAccount.burst * share, 1.0), aNow);
  return TakeOne(aAccount.reserve);
}

void
QuotaPool::FillOwn(Account& aAccount, Time aNow) const
{
  const double held = aNow < aAccount.heldUntil ? kReservePart : 1.0;
  const double part = this->fleet.Share() * held;
  Fill(aAccount.bucket, aAccount.rate * part, std::max(aAccount.burst, 1.0), aNow);
}

bool
QuotaPool::TakeOwn(Account& aAccount, Time aNow) const
{
  if (this->fleet.IsAlone(aNow)) {
    // What fills meanwhile is not this node's: after a cut every node would bring a whole burst.
    aAccount.bucket = Bucket{ 0, aNow };
    return this->TakeReserve(aAccount, aNow);
  }
  this->FillOwn(aAccount, aNow);
  return TakeOne(aAccount.bucket);
}

void
QuotaPool::NoteDemand(Account& aAccount, Time aNow)
{
  const double passed = Seconds(aNow - aAccount.demandAt);
  const double kept = std::exp(-passed / kDemandSeconds);
  aAccount.demand = aAccount.demand * kept + 1.0 / kDemandSeconds;
  aAccount.demandAt = aNow;
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
  const auto channel = this->channels.find(account.keeper.Node());
  if (channel != this->channels.end() && channel->second.silentUntil > aNow) {
    return this->TakeReserve(account, aNow) ? Verdict::kTaken : Verdict::kRefused;
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
    account.bucket.tokens = std::min(account.bucket.tokens + 1.0, account.burst);
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
  const double ahead = std::floor(aAccount.demand * kDrawAheadSeconds);
  return static_cast<std::uint32_t>(static_cast<double>(aAccount.waiters.size()) + ahead);
}

void
QuotaPool::Draw(Channel& aChannel, Time aNow, Effects& aEffects)
{
  std::vector<TokenDemand> demands;
  for (const std::pair<const std::string, Account>& entry : this->accounts) {
    const Account& account = entry.second;
    if (account.keeper == aChannel.keeper && !account.waiters.empty()) {
      demands.push_back(TokenDemand({ .organisation = entry.first, .want = WantOf(account) }));
    }
  }
  if (demands.empty()) {
    return;
  }
  aChannel.answerDue = aNow + kDrawTimeout;
  aEffects.push_back(SendPeer({ .to = aChannel.keeper,
                                .message = QuotaDraw({ .sender = this->self,
                                                       .sequence = ++aChannel.sequence,
                                                       .demands = std::move(demands) }) }));
}

void
QuotaPool::Receive(const QuotaDraw& aDraw, Time aNow, Effects& aEffects)
{
  std::vector<TokenDemand> grants;
  for (const TokenDemand& demand : aDraw.Demands()) {
    const auto found = this->accounts.find(demand.GetOrganisation());
    std::uint32_t granted = 0;
    if (found != this->accounts.end() && this->IsKeeper(found->second)) {
      Account& account = found->second;
      this->FillOwn(account, aNow);
      const double whole = std::floor(account.bucket.tokens);
      granted = static_cast<std::uint32_t>(std::min<double>(whole, demand.Want()));
      account.bucket.tokens -= granted;
    }
    grants.push_back(TokenDemand({ .organisation = demand.GetOrganisation(), .want = granted }));
  }
  aEffects.push_back(SendPeer({ .to = aDraw.Sender(),
                                .message = QuotaGrant({ .sender = this->self.Node(),
                                                        .sequence = aDraw.Sequence(),
                                                        .grants = std::move(grants) }) }));
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
  for (const TokenDemand& grant : aGrant.Grants()) {
    const auto found = this->accounts.find(grant.GetOrganisation());
    if (found == this->accounts.end()) {
      continue;
    }
    Account& account = found->second;
    if (aNow - account.drawnAt >= kDrawnLife) {
      account.drawn = 0;
    }
    account.drawn += grant.Want();
    account.drawnAt = aNow;
    this->ServeWaiters(account);
    if (grant.Want() > 0) {
      continue;
    }
    // The keeper has none left: those that wait are refused now, not at the end of their wait.
    for (const Waiter& waiter : account.waiters) {
      this->decisions.push_back({ waiter.exchange, false });
      this->waitingFor.erase(waiter.exchange);
    }
    account.waiters.clear();
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
QuotaPool::Poll(Time aNow, Effects& aEffects)
{
  for (std::pair<const std::string, Account>& entry : this->accounts) {
    Account& account = entry.second;
    while (!account.waiters.empty()) {
      const Waiter waiter = account.waiters.front();
      const bool keeper = this->IsKeeper(account);
      if (!keeper && waiter.until > aNow) {
        break;
      }
      const bool taken = keeper ? this->TakeOwn(account, aNow) : this->TakeReserve(account, aNow);
      this->decisions.push_back({ waiter.exchange, taken });
      this->waitingFor.erase(waiter.exchange);
      account.waiters.pop_front();
    }
    if (account.waiters.empty()) {
      continue;
    }
    Channel& channel = this->channels[account.keeper.Node()];
    channel.keeper = account.keeper;
  }
  for (std::pair<const std::string, Channel>& entry : this->channels) {
    Channel& channel = entry.second;
    if (channel.answerDue <= aNow) {
      channel.answerDue = Time::max();
      channel.silentUntil = aNow + kSilence;
      this->silentKeepers.push_back(entry.first);
    }
    if (channel.answerDue == Time::max() && channel.silentUntil <= aNow) {
      this->Draw(channel, aNow, aEffects);
    }
  }
}

Time
QuotaPool::NextWake() const
{
  Time next = Time::max();
  for (const std::pair<const std::string, Channel>& entry : this->channels) {
    next = std::min(next, entry.second.answerDue);
  }
  for (const std::pair<const std::string, Account>& entry : this->accounts) {
    if (!entry.second.waiters.empty()) {
      next = std::min(next, entry.second.waiters.front().until);
    }
  }
  return next;
}

std::vector<std::string>
QuotaPool::TakeSilentKeepers()
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
