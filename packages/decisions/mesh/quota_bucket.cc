#include "decisions/mesh/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace jackdawwind {

namespace {

/// Part of the rate that flows while a former keeper may still grant the whole of it behind a cut.
/// An organisation that uses its quota up has no burst saved, so that this and the tolerance of
/// quotas cover it.
constexpr double kHeldPart = 0.3;
/// Mean of the spending over about this time.
constexpr double kSpentSeconds = 2;
/// Time for which overflowed tokens are remembered: the longest time until a report.
constexpr double kOverflowSeconds = 2;
/// Window over which operators judge a quota.
constexpr double kWindowSeconds = 5;
/// Part of what the quota leaves free that is given as credit; the rest covers the error of the
/// mean.
constexpr double kCreditPart = 0.9;
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
  // Requests of this mean age came over about twice that time.
  const double flowed = this->rate * this->share * 2 * Seconds(aAge);
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
QuotaBucket::CreditPerNode(std::size_t aNodes, Time aNow) const
{
  const bool saved = this->tokens >= this->burst * kSavedPart;
  const double free = this->rate * this->share - this->SpentPerSecond(aNow);
  if (!saved || aNow < this->heldUntil || free <= 0) {
    return 0;
  }
  const double all = free * kWindowSeconds * kCreditPart;
  return static_cast<std::uint32_t>(
    std::floor(all / static_cast<double>(std::max<std::size_t>(aNodes, 1))));
}

} // namespace jackdawwind
