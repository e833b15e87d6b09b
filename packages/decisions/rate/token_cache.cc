#include "decisions/rate/token_cache.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "decisions/rate/steward_buckets.h"

namespace jackdawwind {

namespace {

/// An unanswered report is repeated after this time; a call waits 60 ms, which allows three
/// reports.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(20);
/// Backoff after a grant that fell short; in this time a steward can borrow within its region.
constexpr Duration kMinBackoff = std::chrono::milliseconds(8);
/// Longest backoff while the steward grants some of the tokens: calls wait 60 ms, so each is
/// requested at least once more.
constexpr Duration kMaxPartialGrantBackoff = std::chrono::milliseconds(32);
/// Limits the reports for an organisation that is over its rate.
constexpr Duration kMaxBackoff = std::chrono::milliseconds(200);
/// Backoff after an answer from a node that is not the steward.
constexpr Duration kNotElectedBackoff = std::chrono::milliseconds(50);
/// Longest period of demand that tokens are prefetched for.
constexpr Duration kMaxPrefetchTime = std::chrono::seconds(1);
/// Smaller amounts are not prefetched: with rare calls most of the tokens would expire unused.
constexpr std::uint32_t kMinPrefetchTokens = 2;
/// Tokens are requested when fewer than this part of the prefetch target is left.
constexpr double kRefillThreshold = 0.4;

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
  return found != this->accounts.end() && found->second.tokens.TakeOne(aNow);
}

std::uint32_t
TokenCache::Count(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  return found == this->accounts.end() ? 0 : found->second.tokens.Count(aNow);
}

bool
TokenCache::ShouldRequest(const std::string& aOrganisation, std::uint32_t aWaiting, Time aNow) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end() || aNow < found->second.nextRequestAt) {
    return false;
  }
  const double threshold = kRefillThreshold * this->PrefetchTarget(found->second, aNow);
  return aWaiting > 0 || found->second.tokens.Count(aNow) < threshold;
}

Time
TokenCache::NextRequestAt(const std::string& aOrganisation) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  return found == this->accounts.end() ? Time::min() : found->second.nextRequestAt;
}

std::vector<TokenDemand>
TokenCache::Demands(const std::map<std::string, std::uint32_t>& aWaiting, Time aNow) const
{
  std::vector<TokenDemand> demands;
  for (const std::pair<const std::string, Account>& account : this->accounts) {
    if (aNow < account.second.nextRequestAt) {
      continue;
    }
    const std::map<std::string, std::uint32_t>::const_iterator waiting =
      aWaiting.find(account.first);
    const std::uint32_t cached = account.second.tokens.Count(aNow);
    const std::uint32_t target = this->PrefetchTarget(account.second, aNow);
    std::uint32_t want = target > cached ? target - cached : 0;
    want += waiting == aWaiting.end() ? 0 : waiting->second;
    if (want > 0) {
      demands.push_back(TokenDemand({ .organisation = account.first, .want = want }));
    }
  }
  return demands;
}

void
TokenCache::NoteSent(std::uint64_t aSequence,
                     const std::string& aSteward,
                     const std::vector<TokenDemand>& aDemands,
                     Time aNow)
{
  while (!this->openReports.empty() &&
         this->openReports.begin()->second.sentAt + kMaxTokenLife <= aNow) {
    this->openReports.erase(this->openReports.begin());
  }
  this->openReports[aSequence] = OpenReport{ aSteward, aDemands, aNow };
  for (const TokenDemand& demand : aDemands) {
    this->accounts[demand.GetOrganisation()].nextRequestAt = aNow + kRequestTimeout;
  }
}

bool
TokenCache::Receive(const StewardGrant& aGrant, Time aNow)
{
  const std::map<std::uint64_t, OpenReport>::iterator found =
    this->openReports.find(aGrant.Sequence());
  if (found == this->openReports.end() || found->second.steward != aGrant.Sender()) {
    return false;
  }
  const OpenReport report = found->second;
  this->openReports.erase(found);
  for (const TokenGrant& grant : aGrant.Grants()) {
    const std::map<std::string, Account>::iterator account =
      this->accounts.find(grant.GetOrganisation());
    if (account != this->accounts.end()) {
      const Duration life = std::min<Duration>(grant.Life(), kMaxTokenLife);
      account->second.tokens.Add(grant.Tokens(), report.sentAt + life);
      account->second.life = life;
    }
  }
  for (const TokenDemand& demand : report.demands) {
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
TokenCache::PrefetchTarget(const Account& aAccount, Time aNow) const
{
  if (!this->prefetch) {
    return 0;
  }
  const Duration prefetchTime = std::min(aAccount.life / 2, kMaxPrefetchTime);
  const double tokens = aAccount.demand.PerSecond(aNow) * Seconds(prefetchTime);
  const std::uint32_t target = static_cast<std::uint32_t>(tokens);
  return target < kMinPrefetchTokens ? 0 : target;
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
    account.nextRequestAt = aNow + kNotElectedBackoff;
    return;
  }
  std::uint32_t granted = 0;
  for (const TokenGrant& grant : aGrant.Grants()) {
    granted += grant.GetOrganisation() == aDemand.GetOrganisation() ? grant.Tokens() : 0;
  }
  if (granted >= aDemand.Want()) {
    account.backoff = Duration::zero();
  } else if (granted > 0) {
    account.backoff = std::clamp(account.backoff * 2, kMinBackoff, kMaxPartialGrantBackoff);
  } else {
    account.backoff = std::clamp(account.backoff * 2, kMinBackoff, kMaxBackoff);
  }
  account.nextRequestAt = aNow + account.backoff;
}

} // namespace jackdawwind
