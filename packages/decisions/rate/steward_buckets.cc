#include "decisions/rate/steward_buckets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawwind {

namespace {

/// Part of the burst that is refilled within one token life. Tokens handed out at the full rate
/// must leave room in the burst: 1.0 refuses 5% of the calls within the rate, 0.25 doubles the
/// messages.
constexpr double kBurstFractionPerLife = 0.5;
/// A lender reserves the own domain's demand of this time.
constexpr double kReserveSeconds = 0.25;

} // namespace

Duration
TokenLifeOf(const BucketLimit& aLimit)
{
  if (aLimit.perSecond <= 0) {
    return kMaxTokenLife;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const double micros = kBurstFractionPerLife * aLimit.burst / aLimit.perSecond * kMicrosPerSecond;
  const double maxMicros = static_cast<double>(kMaxTokenLife.count());
  const double minMicros = static_cast<double>(kMinTokenLife.count());
  return Duration(static_cast<Duration::rep>(std::clamp(micros, minMicros, maxMicros)));
}

void
StewardBuckets::SetLimits(const std::map<std::string, BucketLimit>& aLimits, Time aNow)
{
  for (const std::pair<const std::string, BucketLimit>& limit : aLimits) {
    this->accounts[limit.first].limit.Set(limit.second, aNow);
  }
  std::map<std::string, Account>::iterator account = this->accounts.begin();
  while (account != this->accounts.end()) {
    if (aLimits.count(account->first) == 0) {
      account->second.limit.Set(BucketLimit{}, aNow);
    }
    if (account->second.limit.IsRemovable(aNow)) {
      account = this->accounts.erase(account);
      continue;
    }
    this->Find(account->first, aNow);
    ++account;
  }
}

void
StewardBuckets::BeginTerm(Time aNow)
{
  this->EndTerm();
  this->opensAt = aNow + kMaxTokenLife + kClockDriftMargin;
}

void
StewardBuckets::EndTerm()
{
  this->opensAt.reset();
  for (std::pair<const std::string, Account>& account : this->accounts) {
    account.second.bucket.reset();
  }
}

void
StewardBuckets::Refresh(Time aNow)
{
  for (const std::pair<const std::string, Account>& account : this->accounts) {
    this->Find(account.first, aNow);
  }
}

TokenGrant
StewardBuckets::Grant(const std::string& aOrganisation, std::uint32_t aWant, Time aNow)
{
  TokenBucket* bucket = this->Find(aOrganisation, aNow);
  if (bucket == nullptr) {
    return TokenGrant({ .organisation = aOrganisation });
  }
  return this->HandOut(aOrganisation, *bucket, aWant, aNow);
}

TokenGrant
StewardBuckets::Lend(const std::string& aOrganisation, std::uint32_t aWant, Time aNow)
{
  TokenBucket* bucket = this->Find(aOrganisation, aNow);
  if (bucket == nullptr) {
    return TokenGrant({ .organisation = aOrganisation });
  }
  const double demand = this->accounts[aOrganisation].demand.PerSecond(aNow);
  const double reserve = std::ceil(std::min(demand, bucket->Limit().perSecond) * kReserveSeconds);
  const double spare = bucket->Available(aNow) - reserve;
  const std::uint32_t tokens = spare <= 0 ? 0U : static_cast<std::uint32_t>(spare);
  return this->HandOut(aOrganisation, *bucket, std::min(aWant, tokens), aNow);
}

bool
StewardBuckets::Spend(const std::string& aOrganisation, Time aNow)
{
  TokenBucket* bucket = this->Find(aOrganisation, aNow);
  return bucket != nullptr && bucket->Spend(aNow);
}

void
StewardBuckets::NoteDemand(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow)
{
  const std::map<std::string, Account>::iterator found = this->accounts.find(aOrganisation);
  if (found != this->accounts.end()) {
    found->second.demand.Note(aTokens, aNow);
  }
}

double
StewardBuckets::ExcessDemand(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, Account>::const_iterator found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end()) {
    return 0;
  }
  const double ownRate = found->second.limit.InForce(aNow).perSecond;
  return std::max(0.0, found->second.demand.PerSecond(aNow) - ownRate);
}

Time
StewardBuckets::NextToken(const std::string& aOrganisation, Time aNow)
{
  if (this->opensAt && *this->opensAt > aNow) {
    return *this->opensAt;
  }
  TokenBucket* bucket = this->Find(aOrganisation, aNow);
  return bucket == nullptr ? Time::max() : bucket->NextToken(aNow);
}

TokenBucket*
StewardBuckets::Find(const std::string& aOrganisation, Time aNow)
{
  const std::map<std::string, Account>::iterator found = this->accounts.find(aOrganisation);
  if (found == this->accounts.end() || !this->opensAt || aNow < *this->opensAt) {
    return nullptr;
  }
  Account& account = found->second;
  if (!account.bucket) {
    account.bucket.emplace(aNow);
  }
  const BucketLimit limit = account.limit.InForce(aNow);
  if (account.bucket->Limit() != limit) {
    account.bucket->SetLimit(limit, aNow);
  }
  return &*account.bucket;
}

TokenGrant
StewardBuckets::HandOut(const std::string& aOrganisation,
                        TokenBucket& aBucket,
                        std::uint32_t aWant,
                        Time aNow)
{
  const Duration life = TokenLifeOf(aBucket.Limit());
  const std::uint32_t tokens = aBucket.HandOut(aWant, life + kClockDriftMargin, aNow);
  return TokenGrant({ .organisation = aOrganisation, .tokens = tokens, .life = life });
}

} // namespace jackdawwind
