#include "decisions/mesh/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawwind {

namespace {

/// Part of the rate that flows while a former keeper may still grant the whole of it behind a cut.
/// An organisation that uses its quota up has no burst saved, so that this and the tolerance of
/// quotas cover it.
constexpr double kHeldPart = 0.3;
/// Mean of the spending over about this time.
constexpr double kSpentSeconds = 2;
/// Time for which overflowed tokens are remembered: the longest time until a report.
constexpr double kOverflowSeconds = 3;
/// Time of what the quota leaves free that may be out as credit. The tolerance of quotas covers a
/// surge in which all of it is used besides the tokens; the longer, the less often nodes report.
constexpr double kCreditSeconds = 2;
/// Part of the burst that must be saved for credit to be given.
constexpr double kSavedPart = 0.5;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void
QuotaBucket::Configure(double aRate, double aBurst)
{
  this->rate = aRate;
  this->burst = std::max(aBurst, 1.0);
  this->tokens = std::min(this->tokens, this->burst);
}

void
QuotaBucket::Restart(Time aNow, Time aHeldUntil)
{
  this->tokens = 0;
  this->overflow = 0;
  this->outstanding.clear();
  this->filledAt = aNow;
  this->heldUntil = aHeldUntil;
  // What the organisation has just used is not known.
  this->spent = this->rate;
  this->spentAt = aNow;
}

void
QuotaBucket::Fill(double aShare, Time aNow)
{
  this->share = aNow < this->heldUntil ? aShare * kHeldPart : aShare;
  const double passed = Seconds(std::max(aNow - this->filledAt, Duration::zero()));
  const double filled = this->tokens + this->rate * this->share * passed;
  this->tokens = std::min(this->burst, filled);
  if (filled > this->burst) {
    this->overflowedAt = aNow;
  }
  const double kept = std::max(1.0 - passed / kOverflowSeconds, 0.0);
  this->overflow = std::min(this->overflow * kept + filled - this->tokens,
                            this->rate * this->share * kOverflowSeconds);
  this->filledAt = aNow;
}

double
QuotaBucket::SpentPerSecond(Time aNow) const
{
  return this->spent * std::exp(-Seconds(aNow - this->spentAt) / kSpentSeconds);
}

void
QuotaBucket::NoteSpent(double aCount, Time aNow)
{
  this->spent = this->SpentPerSecond(aNow) + aCount / kSpentSeconds;
  this->spentAt = aNow;
}

std::uint32_t
QuotaBucket::Grant(std::uint32_t aWant, Time aNow)
{
  const double whole = std::floor(std::max(this->tokens, 0.0));
  const std::uint32_t granted = static_cast<std::uint32_t>(std::min<double>(whole, aWant));
  this->tokens -= granted;
  this->NoteSpent(granted, aNow);
  return granted;
}

void
QuotaBucket::Deduct(std::uint32_t aUsed, Duration aAge, Time aNow)
{
  // Requests of this mean age came over about twice that time. What overflowed before them is gone.
  const Duration since = 2 * aAge - (aNow - this->overflowedAt);
  const double flowed = this->rate * this->share * Seconds(std::max(since, Duration::zero()));
  const double late = std::min({ this->overflow, flowed, static_cast<double>(aUsed) });
  this->overflow -= late;
  this->tokens -= aUsed - late;
  this->NoteSpent(aUsed, aNow);
}

void
QuotaBucket::Return()
{
  this->tokens = std::min(this->burst, this->tokens + 1);
}

std::uint32_t
QuotaBucket::GiveCredit(const std::string& aNode, std::uint32_t aWant, Time aNow)
{
  this->outstanding.erase(aNode);
  std::erase_if(this->outstanding, [aNow](const std::pair<const std::string, Credit>& aEntry) {
    return aEntry.second.until <= aNow;
  });
  const bool saved = this->tokens >= this->burst * kSavedPart;
  if (!saved || aNow < this->heldUntil) {
    return 0;
  }
  double free = (this->rate * this->share - this->SpentPerSecond(aNow)) * kCreditSeconds;
  for (const std::pair<const std::string, Credit>& entry : this->outstanding) {
    free -= entry.second.requests;
  }
  const double given = std::clamp<double>(std::floor(free), 0, aWant);
  const std::uint32_t requests = static_cast<std::uint32_t>(given);
  if (requests > 0) {
    this->outstanding[aNode] = Credit{ requests, aNow + kCreditLife };
  }
  return requests;
}

} // namespace jackdawwind
