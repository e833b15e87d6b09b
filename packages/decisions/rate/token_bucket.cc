#include "decisions/rate/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace jackdawwind {

namespace {

constexpr double kMicrosPerSecond = 1e6;

} // namespace

void
TokenBucket::SetLimit(BucketLimit aLimit, Time aNow)
{
  this->Advance(aNow);
  this->limit = aLimit;
  this->Fill(this->filledAt);
}

std::uint32_t
TokenBucket::Available(Time aNow)
{
  this->Advance(aNow);
  return static_cast<std::uint32_t>(this->level);
}

std::uint32_t
TokenBucket::HandOut(std::uint32_t aWant, Duration aLife, Time aNow)
{
  const std::uint32_t tokens = std::min(aWant, this->Available(aNow));
  if (tokens > 0) {
    this->level -= tokens;
    this->outstanding += tokens;
    this->handedOutByExpiry[std::max(aNow, this->filledAt) + aLife] += tokens;
  }
  return tokens;
}

bool
TokenBucket::Spend(Time aNow)
{
  if (this->Available(aNow) == 0) {
    return false;
  }
  this->level -= 1;
  return true;
}

Time
TokenBucket::NextToken(Time aNow)
{
  this->Advance(aNow);
  if (this->level >= 1) {
    return aNow;
  }
  const bool full =
    static_cast<double>(this->limit.burst) - static_cast<double>(this->outstanding) < 1;
  if (full) {
    return this->handedOutByExpiry.empty() ? Time::max() : this->handedOutByExpiry.begin()->first;
  }
  constexpr double kMaxWaitSeconds = 3600;
  const double seconds = (1 - this->level) / this->limit.perSecond;
  if (!(seconds < kMaxWaitSeconds)) {
    return Time::max();
  }
  return this->filledAt + Duration(static_cast<Duration::rep>(seconds * kMicrosPerSecond) + 1);
}

void
TokenBucket::Advance(Time aNow)
{
  while (!this->handedOutByExpiry.empty() && this->handedOutByExpiry.begin()->first <= aNow) {
    this->Fill(this->handedOutByExpiry.begin()->first);
    this->outstanding -= this->handedOutByExpiry.begin()->second;
    this->handedOutByExpiry.erase(this->handedOutByExpiry.begin());
  }
  this->Fill(aNow);
}

void
TokenBucket::Fill(Time aUntil)
{
  if (aUntil > this->filledAt) {
    const double seconds = Seconds(aUntil - this->filledAt);
    this->level += this->limit.perSecond * seconds;
    this->filledAt = aUntil;
  }
  const double capacity =
    static_cast<double>(this->limit.burst) - static_cast<double>(this->outstanding);
  this->level = std::clamp(this->level, 0.0, std::max(0.0, capacity));
}

} // namespace jackdawwind
