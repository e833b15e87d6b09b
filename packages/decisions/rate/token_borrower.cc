#include "decisions/rate/token_borrower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "decisions/rate/steward_buckets.h"

namespace jackdawwind {

namespace {

/// Calls wait at most 60 ms for a token, so an older shortage is over or was recorded again.
constexpr Duration kShortageTimeout = std::chrono::milliseconds(100);
/// A request is repeated after this time: a round trip over the slow link (16 ms) and a margin.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(30);
/// A domain that leaves requests unanswered for this long is asked through its next member.
constexpr Duration kDomainTimeout = std::chrono::milliseconds(200);
constexpr Duration kMinDomainBackoff = std::chrono::milliseconds(10);
constexpr Duration kMaxDomainBackoff = std::chrono::seconds(1);
/// Backoff after a grant that fell short; limits the requests for an organisation over its rate.
constexpr Duration kMinBackoff = std::chrono::milliseconds(25);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(400);
/// A token with less life than this could expire on its way to a node of the domain.
constexpr Duration kMinRemainingLife = std::chrono::milliseconds(10);

} // namespace

void
TokenBorrower::SetMembers(const std::map<std::string, LenderMembers>& aMembers)
{
  std::erase_if(this->lenders, [&aMembers](const std::pair<const std::string, Lender>& aLender) {
    return aMembers.count(aLender.first) == 0;
  });
  for (const std::pair<const std::string, LenderMembers>& domain : aMembers) {
    Lender& lender = this->lenders[domain.first];
    lender.sameRegion = domain.second.sameRegion;
    lender.finder.SetMembers(domain.second.members);
  }
}

void
TokenBorrower::NoteShortage(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow)
{
  if (aTokens > 0) {
    Shortage& shortage = this->shortages[aOrganisation];
    shortage.tokens = std::max(shortage.tokens, aTokens);
    shortage.expiry = aNow + kShortageTimeout;
  }
}

std::vector<BorrowRequest>
TokenBorrower::TakeRequests(Time aNow)
{
  this->SkipUnresponsive(aNow);
  std::map<std::string, std::vector<TokenDemand>> demands;
  std::map<std::string, Shortage>::iterator shortage = this->shortages.begin();
  while (shortage != this->shortages.end()) {
    const std::vector<std::string> domains = this->LendersFor(shortage->first, aNow);
    if (domains.empty() && aNow < shortage->second.expiry) {
      ++shortage;
      continue;
    }
    const std::uint32_t lenderCount = std::max(1U, static_cast<std::uint32_t>(domains.size()));
    const std::uint32_t tokensPerLender = (shortage->second.tokens + lenderCount - 1) / lenderCount;
    for (const std::string& domain : domains) {
      demands[domain].push_back(
        TokenDemand({ .organisation = shortage->first, .want = tokensPerLender }));
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
  while (!this->openRequests.empty() &&
         this->openRequests.begin()->second.sentAt + kMaxTokenLife <= aNow) {
    this->openRequests.erase(this->openRequests.begin());
  }
  this->openRequests[aSequence] =
    OpenRequest{ aRequest.domain, aRequest.to.Node(), aRequest.demands, aNow };
  Lender& lender = this->lenders[aRequest.domain];
  lender.unansweredSince = std::min(lender.unansweredSince, aNow);
  for (const TokenDemand& demand : aRequest.demands) {
    lender.organisations[demand.GetOrganisation()].nextRequestAt = aNow + kRequestTimeout;
  }
}

bool
TokenBorrower::Receive(const StewardGrant& aGrant, Time aNow)
{
  const std::map<std::uint64_t, OpenRequest>::iterator found =
    this->openRequests.find(aGrant.Sequence());
  if (found == this->openRequests.end() || found->second.steward != aGrant.Sender()) {
    return false;
  }
  const OpenRequest request = found->second;
  this->openRequests.erase(found);
  for (const TokenGrant& grant : aGrant.Grants()) {
    const Duration life = std::min<Duration>(grant.Life(), kMaxTokenLife);
    this->borrowed[grant.GetOrganisation()].Add(grant.Tokens(), request.sentAt + life);
  }
  const std::map<std::string, Lender>::iterator lender = this->lenders.find(request.domain);
  if (lender != this->lenders.end()) {
    this->NoteAnswer(lender->second, request, aGrant, aNow);
  }
  return true;
}

bool
TokenBorrower::TakeOne(const std::string& aOrganisation, Time aNow)
{
  const std::map<std::string, ExpiringTokens>::iterator found = this->borrowed.find(aOrganisation);
  return found != this->borrowed.end() && found->second.TakeOne(aNow);
}

std::vector<TokenBatch>
TokenBorrower::Take(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow)
{
  const std::map<std::string, ExpiringTokens>::iterator found = this->borrowed.find(aOrganisation);
  if (found == this->borrowed.end()) {
    return {};
  }
  return found->second.Take(aTokens, kMinRemainingLife, aNow);
}

std::uint32_t
TokenBorrower::Count(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, ExpiringTokens>::const_iterator found =
    this->borrowed.find(aOrganisation);
  return found == this->borrowed.end() ? 0 : found->second.Count(aNow);
}

void
TokenBorrower::Clear()
{
  this->shortages.clear();
  this->borrowed.clear();
  this->openRequests.clear();
}

Time
TokenBorrower::NextRequestAt() const
{
  Time next = Time::max();
  for (const std::pair<const std::string, Shortage>& shortage : this->shortages) {
    for (const std::pair<const std::string, Lender>& lender : this->lenders) {
      next = std::min(next, this->NextRequestTo(lender.second, shortage.first));
    }
  }
  return next;
}

Time
TokenBorrower::NextRequestTo(const Lender& aLender, const std::string& aOrganisation) const
{
  if (aLender.finder.Lowest() == nullptr) {
    return Time::max();
  }
  const std::map<std::string, Backoff>::const_iterator found =
    aLender.organisations.find(aOrganisation);
  return found == aLender.organisations.end()
           ? aLender.backoff.nextRequestAt
           : std::max(aLender.backoff.nextRequestAt, found->second.nextRequestAt);
}

std::vector<std::string>
TokenBorrower::LendersFor(const std::string& aOrganisation, Time aNow) const
{
  std::vector<std::string> regional;
  std::vector<std::string> remote;
  for (const std::pair<const std::string, Lender>& lender : this->lenders) {
    if (this->NextRequestTo(lender.second, aOrganisation) <= aNow) {
      (lender.second.sameRegion ? regional : remote).push_back(lender.first);
    }
  }
  return regional.empty() ? remote : regional;
}

void
TokenBorrower::SkipUnresponsive(Time aNow)
{
  for (std::pair<const std::string, Lender>& domain : this->lenders) {
    Lender& lender = domain.second;
    if (lender.unansweredSince != Time::max() && aNow - lender.unansweredSince >= kDomainTimeout) {
      const PeerAddress* target = lender.finder.Target(aNow);
      if (target != nullptr) {
        lender.finder.Forget(target->Node());
      }
      lender.finder.Advance();
      lender.unansweredSince = Time::max();
      lender.backoff.delay =
        std::clamp(lender.backoff.delay * 2, kDomainTimeout, kMaxDomainBackoff);
      lender.backoff.nextRequestAt = aNow + lender.backoff.delay;
    }
  }
}

void
TokenBorrower::NoteAnswer(Lender& aLender,
                          const OpenRequest& aRequest,
                          const StewardGrant& aGrant,
                          Time aNow)
{
  aLender.unansweredSince = Time::max();
  aLender.finder.NoteAnswer(aGrant.Sender(), aGrant.Elected(), aNow);
  if (!aGrant.Elected()) {
    aLender.finder.Advance();
    aLender.backoff.delay =
      std::clamp(aLender.backoff.delay * 2, kMinDomainBackoff, kMaxDomainBackoff);
    aLender.backoff.nextRequestAt = aNow + aLender.backoff.delay;
    return;
  }
  aLender.backoff = Backoff{};
  for (const TokenDemand& demand : aRequest.demands) {
    std::uint32_t granted = 0;
    for (const TokenGrant& grant : aGrant.Grants()) {
      granted += grant.GetOrganisation() == demand.GetOrganisation() ? grant.Tokens() : 0;
    }
    Backoff& backoff = aLender.organisations[demand.GetOrganisation()];
    if (granted >= demand.Want()) {
      backoff.delay = Duration::zero();
    } else if (granted > 0) {
      backoff.delay = kMinBackoff;
    } else {
      backoff.delay = std::clamp(backoff.delay * 2, kMinBackoff, kMaxBackoff);
    }
    backoff.nextRequestAt = aNow + backoff.delay;
  }
}

} // namespace jackdawwind
