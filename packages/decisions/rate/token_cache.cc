#include "decisions/rate/token_cache.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "decisions/rate/steward_buckets.h"

namespace jackdawwind {

namespace {

/// An unanswered report is repeated after this; a call waits 60 ms, so it is asked for three times.
constexpr Duration kAskTimeout = std::chrono::milliseconds(20);
/// Pause after a grant that fell short; in this time a steward can borrow within its region.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(8);
/// Longest pause while the steward gives something: calls wait 60 ms, so each is asked for once
/// more.
constexpr Duration kScarceBackoff = std::chrono::milliseconds(32);
/// Bounds the reports about an organisation that is over its rate.
constexpr Duration kLongestBackoff = std::chrono::milliseconds(200);
/// Pause after an answer of a node that is not elected.
constexpr Duration kNotElectedPause = std::chrono::milliseconds(50);
/// Longest time that tokens are drawn ahead for.
constexpr Duration kLongestAhead = std::chrono::seconds(1);
/// Fewer tokens are not drawn ahead: for rare calls most of them would expire unused.
constexpr std::uint32_t kLeastAhead = 2;
/// Tokens are asked for when fewer than this part of the stock is left.
constexpr double kReorderPart = 0.4;

} // namespace

void
TokenCache::NoteDemand(const std::string& aOrganisation, Time aNow)
{
  this->accounts[aOrganisation].demand.Note(1, aNow);
}

bool
TokenCache::Take(const std::string& aOrganisation, Time aNow)
{
  const std::map<std::string, Account>::iterator found = this->accounts.find(aOrganisation);
  return found != this->accounts.end() && found->second.stock.TakeOne(aNow);
}

std::uint32_t
TokenCache::Count(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  return found == this->accounts.end() ? 0 : found->second.stock.Count(aNow);
}

bool
TokenCache::Due(const std::string& aOrganisation, std::uint32_t aWaiting, Time aNow) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end() || aNow < found->second.nextAsk) {
    return false;
  }
  const double reorder = kReorderPart * this->Target(found->second, aNow);
  return aWaiting > 0 || found->second.stock.Count(aNow) < reorder;
}

Time
TokenCache::NextAsk(const std::string& aOrganisation) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  return found == this->accounts.end() ? Time::min() : found->second.nextAsk;
}

std::vector<TokenDemand>
TokenCache::Wanted(const std::map<std::string, std::uint32_t>& aWaiting, Time aNow) const
{
  std::vector<TokenDemand> wanted;
  for (const std::pair<const std::string, Account>& account : this->accounts) {
    if (aNow < account.second.nextAsk) {
      continue;
    }
    const std::map<std::string, std::uint32_t>::const_iterator waiting =
      aWaiting.find(account.first);
    const std::uint32_t held = account.second.stock.Count(aNow);
    const std::uint32_t target = this->Target(account.second, aNow);
    std::uint32_t want = target > held ? target - held : 0;
    want += waiting == aWaiting.end() ? 0 : waiting->second;
    if (want > 0) {
      wanted.push_back(TokenDemand({ .organisation = account.first, .want = want }));
    }
  }
  return wanted;
}

void
TokenCache::NoteSent(std::uint64_t aSequence,
                     const std::string& aSteward,
                     const std::vector<TokenDemand>& aDemands,
                     Time aNow)
{
  while (!this->asks.empty() && this->asks.begin()->second.at + kMaxTokenLife <= aNow) {
    this->asks.erase(this->asks.begin());
  }
  this->asks[aSequence] = Ask{ aSteward, aDemands, aNow };
  for (const TokenDemand& demand : aDemands) {
    this->accounts[demand.GetOrganisation()].nextAsk = aNow + kAskTimeout;
  }
}

bool
TokenCache::Receive(const StewardGrant& aGrant, Time aNow)
{
  const std::map<std::uint64_t, Ask>::iterator found = this->asks.find(aGrant.Sequence());
  if (found == this->asks.end() || found->second.steward != aGrant.Sender()) {
    return false;
  }
  const Ask ask = found->second;
  this->asks.erase(found);
  for (const TokenGrant& grant : aGrant.Grants()) {
    const std::map<std::string, Account>::iterator account =
      this->accounts.find(grant.GetOrganisation());
    if (account != this->accounts.end()) {
      const Duration life = std::min<Duration>(grant.Life(), kMaxTokenLife);
      account->second.stock.Add(grant.Tokens(), ask.at + life);
      account->second.life = life;
    }
  }
  for (const TokenDemand& demand : ask.demands) {
    this->NoteAnswer(demand, aGrant, aNow);
  }
  return true;
}

void
TokenCache::Retain(const std::set<std::string>& aOrganisations)
{
  std::map<std::string, Account>::iterator account = this->accounts.begin();
  while (account != this->accounts.end()) {
    account = aOrganisations.count(account->first) == 0 ? this->accounts.erase(account)
                                                        : std::next(account);
  }
}

std::uint32_t
TokenCache::Target(const Account& aAccount, Time aNow) const
{
  if (!this->ahead) {
    return 0;
  }
  const Duration time = std::min(aAccount.life / 2, kLongestAhead);
  const double tokens = aAccount.demand.PerSecond(aNow) * Seconds(time);
  const std::uint32_t target = static_cast<std::uint32_t>(tokens);
  return target < kLeastAhead ? 0 : target;
}

void
TokenCache::NoteAnswer(const TokenDemand& aDemand, const StewardGrant& aGrant, Time aNow)
{
  const std::map<std::string, Account>::iterator found =
    this->accounts.find(aDemand.GetOrganisation());
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  if (!aGrant.Elected()) {
    account.nextAsk = aNow + kNotElectedPause;
    return;
  }
  std::uint32_t granted = 0;
  for (const TokenGrant& grant : aGrant.Grants()) {
    granted += grant.GetOrganisation() == aDemand.GetOrganisation() ? grant.Tokens() : 0;
  }
  if (granted >= aDemand.Want()) {
    account.backoff = Duration::zero();
  } else if (granted > 0) {
    account.backoff = std::clamp(account.backoff * 2, kFirstBackoff, kScarceBackoff);
  } else {
    account.backoff = std::clamp(account.backoff * 2, kFirstBackoff, kLongestBackoff);
  }
  account.nextAsk = aNow + account.backoff;
}

} // namespace jackdawwind
