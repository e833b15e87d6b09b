#include "decisions/rate/token_borrower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "decisions/rate/steward_buckets.h"

namespace jackdawwind {

namespace {

/// Calls wait 60 ms; an older shortage is over or has been reported again.
constexpr Duration kShortageTime = std::chrono::milliseconds(100);
/// A request is repeated after this; longer than two ways over the slow link (16 ms) and a margin.
constexpr Duration kAskTimeout = std::chrono::milliseconds(30);
/// After this time without any answer the next member of the domain is tried.
constexpr Duration kSilence = std::chrono::milliseconds(200);
constexpr Duration kFirstDomainPause = std::chrono::milliseconds(10);
constexpr Duration kLongestDomainPause = std::chrono::seconds(1);
/// Pause after a lender gave less than asked; bounds the requests of an organisation over its rate.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(25);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(400);
/// A token that dies on its way to a node of the domain is of no use.
constexpr Duration kLeastLife = std::chrono::milliseconds(10);

} // namespace

void
TokenBorrower::SetMembers(const std::map<std::string, LenderMembers>& aMembers)
{
  std::erase_if(this->lenders, [&aMembers](const std::pair<const std::string, Lender>& aLender) {
    return aMembers.count(aLender.first) == 0;
  });
  for (const std::pair<const std::string, LenderMembers>& domain : aMembers) {
    Lender& lender = this->lenders[domain.first];
    lender.ownRegion = domain.second.ownRegion;
    lender.finder.SetMembers(domain.second.members);
  }
}

void
TokenBorrower::Need(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow)
{
  if (aTokens > 0) {
    Shortage& shortage = this->shortages[aOrganisation];
    shortage.tokens = std::max(shortage.tokens, aTokens);
    shortage.until = aNow + kShortageTime;
  }
}

std::vector<BorrowRequest>
TokenBorrower::Due(Time aNow)
{
  this->SkipSilent(aNow);
  std::map<std::string, std::vector<TokenDemand>> demands;
  std::map<std::string, Shortage>::iterator shortage = this->shortages.begin();
  while (shortage != this->shortages.end()) {
    const std::vector<std::string> domains = this->LendersFor(shortage->first, aNow);
    if (domains.empty() && aNow < shortage->second.until) {
      ++shortage;
      continue;
    }
    const std::uint32_t count = std::max(1U, static_cast<std::uint32_t>(domains.size()));
    const std::uint32_t each = (shortage->second.tokens + count - 1) / count;
    for (const std::string& domain : domains) {
      demands[domain].push_back(TokenDemand({ .organisation = shortage->first, .want = each }));
    }
    shortage = this->shortages.erase(shortage);
  }
  std::vector<BorrowRequest> due;
  for (const std::pair<const std::string, std::vector<TokenDemand>>& demand : demands) {
    const PeerAddress* target = this->lenders[demand.first].finder.Target(aNow);
    due.push_back(BorrowRequest{ demand.first, *target, demand.second });
  }
  return due;
}

void
TokenBorrower::NoteSent(std::uint64_t aSequence, const BorrowRequest& aRequest, Time aNow)
{
  while (!this->asks.empty() && this->asks.begin()->second.at + kMaxTokenLife <= aNow) {
    this->asks.erase(this->asks.begin());
  }
  this->asks[aSequence] = Ask{ aRequest.domain, aRequest.to.Node(), aRequest.demands, aNow };
  Lender& lender = this->lenders[aRequest.domain];
  lender.silentSince = std::min(lender.silentSince, aNow);
  for (const TokenDemand& demand : aRequest.demands) {
    lender.organisations[demand.GetOrganisation()].nextAsk = aNow + kAskTimeout;
  }
}

bool
TokenBorrower::Receive(const StewardGrant& aGrant, Time aNow)
{
  const std::map<std::uint64_t, Ask>::iterator found = this->asks.find(aGrant.Sequence());
  if (found == this->asks.end() || found->second.steward != aGrant.Sender()) {
    return false;
  }
  const Ask ask = found->second;
  this->asks.erase(found);
  for (const TokenGrant& grant : aGrant.Grants()) {
    const Duration life = std::min<Duration>(grant.Life(), kMaxTokenLife);
    this->stocks[grant.GetOrganisation()].Add(grant.Tokens(), ask.at + life);
  }
  const std::map<std::string, Lender>::iterator lender = this->lenders.find(ask.domain);
  if (lender != this->lenders.end()) {
    this->NoteAnswer(lender->second, ask, aGrant, aNow);
  }
  return true;
}

bool
TokenBorrower::TakeOne(const std::string& aOrganisation, Time aNow)
{
  const std::map<std::string, ExpiringTokens>::iterator found = this->stocks.find(aOrganisation);
  return found != this->stocks.end() && found->second.TakeOne(aNow);
}

std::vector<TokenBatch>
TokenBorrower::Take(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow)
{
  const std::map<std::string, ExpiringTokens>::iterator found = this->stocks.find(aOrganisation);
  if (found == this->stocks.end()) {
    return {};
  }
  return found->second.Take(aTokens, kLeastLife, aNow);
}

std::uint32_t
TokenBorrower::Count(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, ExpiringTokens>::const_iterator found =
    this->stocks.find(aOrganisation);
  return found == this->stocks.end() ? 0 : found->second.Count(aNow);
}

void
TokenBorrower::Clear()
{
  this->shortages.clear();
  this->stocks.clear();
  this->asks.clear();
}

Time
TokenBorrower::NextAsk() const
{
  Time next = Time::max();
  for (const std::pair<const std::string, Shortage>& shortage : this->shortages) {
    for (const std::pair<const std::string, Lender>& lender : this->lenders) {
      next = std::min(next, this->NextAskOf(lender.second, shortage.first));
    }
  }
  return next;
}

Time
TokenBorrower::NextAskOf(const Lender& aLender, const std::string& aOrganisation) const
{
  if (aLender.finder.Lowest() == nullptr) {
    return Time::max();
  }
  const std::map<std::string, Pause>::const_iterator found =
    aLender.organisations.find(aOrganisation);
  return found == aLender.organisations.end()
           ? aLender.pause.nextAsk
           : std::max(aLender.pause.nextAsk, found->second.nextAsk);
}

std::vector<std::string>
TokenBorrower::LendersFor(const std::string& aOrganisation, Time aNow) const
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const std::pair<const std::string, Lender>& lender : this->lenders) {
    if (this->NextAskOf(lender.second, aOrganisation) <= aNow) {
      (lender.second.ownRegion ? near : far).push_back(lender.first);
    }
  }
  return near.empty() ? far : near;
}

void
TokenBorrower::SkipSilent(Time aNow)
{
  for (std::pair<const std::string, Lender>& domain : this->lenders) {
    Lender& lender = domain.second;
    if (lender.silentSince != Time::max() && aNow - lender.silentSince >= kSilence) {
      const PeerAddress* target = lender.finder.Target(aNow);
      if (target != nullptr) {
        lender.finder.Forget(target->Node());
      }
      lender.finder.Advance();
      lender.silentSince = Time::max();
      lender.pause.backoff = std::clamp(lender.pause.backoff * 2, kSilence, kLongestDomainPause);
      lender.pause.nextAsk = aNow + lender.pause.backoff;
    }
  }
}

void
TokenBorrower::NoteAnswer(Lender& aLender, const Ask& aAsk, const StewardGrant& aGrant, Time aNow)
{
  aLender.silentSince = Time::max();
  aLender.finder.NoteAnswer(aGrant.Sender(), aGrant.Elected(), aNow);
  if (!aGrant.Elected()) {
    aLender.finder.Advance();
    aLender.pause.backoff =
      std::clamp(aLender.pause.backoff * 2, kFirstDomainPause, kLongestDomainPause);
    aLender.pause.nextAsk = aNow + aLender.pause.backoff;
    return;
  }
  aLender.pause = Pause{};
  for (const TokenDemand& demand : aAsk.demands) {
    std::uint32_t granted = 0;
    for (const TokenGrant& grant : aGrant.Grants()) {
      granted += grant.GetOrganisation() == demand.GetOrganisation() ? grant.Tokens() : 0;
    }
    Pause& pause = aLender.organisations[demand.GetOrganisation()];
    if (granted >= demand.Want()) {
      pause.backoff = Duration::zero();
    } else if (granted > 0) {
      pause.backoff = kFirstBackoff;
    } else {
      pause.backoff = std::clamp(pause.backoff * 2, kFirstBackoff, kLongestBackoff);
    }
    pause.nextAsk = aNow + pause.backoff;
  }
}

} // namespace jackdawwind
