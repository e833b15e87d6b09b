#include "decisions/mesh/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawwind {

namespace {

/// Fraction of the rate that a new owner grants while the previous one may still be granting the
/// whole rate on the other side of a partition. The tolerance of quotas covers the excess, since an
/// organisation that uses its whole quota has no saved burst.
constexpr double kTakeoverFraction = 0.3;
/// Overflowed tokens are recorded by time slots of this length, for the longest time until a
/// report. A request may only be charged to tokens that overflowed at about the time of its
/// admission; otherwise the tokens of a quiet time would pay for the surge after it.
constexpr Duration kOverflowSlot = std::chrono::milliseconds(100);
constexpr std::int64_t kOverflowSlotCount = 30;
/// The outstanding credit is limited to the unused rate of this time. The tolerance of quotas
/// covers a surge that uses all of it in addition to the tokens. A longer time means fewer reports.
constexpr double kCreditSeconds = 2;
/// Fraction of the burst that the bucket must hold before credit is granted.
constexpr double kMinFillFraction = 0.5;

} // namespace

void
QuotaBucket::Configure(double aRate, double aBurst)
{
  this->rate = aRate;
  this->burst = std::max(aBurst, 1.0);
  this->tokens = std::min(this->tokens, this->burst);
}

void
QuotaBucket::Restart(Time aNow, Time aThrottledUntil)
{
  this->tokens = 0;
  this->overflow.clear();
  this->outstanding.clear();
  this->filledAt = aNow;
  this->throttledUntil = aThrottledUntil;
  // The recent consumption is unknown; assumes that the organisation has used its whole rate.
  this->consumption = DemandEstimate(kConsumptionTime);
  this->consumption.Note(this->rate * Seconds(kConsumptionTime), aNow);
}

void
QuotaBucket::Refill(double aShare, Time aNow)
{
  this->share = aNow < this->throttledUntil ? aShare * kTakeoverFraction : aShare;
  const double elapsed = Seconds(std::max(aNow - this->filledAt, Duration::zero()));
  const double filled = this->tokens + this->rate * this->share * elapsed;
  this->tokens = std::min(this->burst, filled);
  this->NoteOverflow(filled - this->tokens, aNow);
  this->filledAt = aNow;
}

void
QuotaBucket::NoteOverflow(double aTokens, Time aNow)
{
  const std::int64_t current = aNow.time_since_epoch() / kOverflowSlot;
  this->overflow.erase(this->overflow.begin(),
                       this->overflow.lower_bound(current - kOverflowSlotCount));
  const double perSlot = this->rate * this->share * Seconds(kOverflowSlot);
  double remaining = aTokens;
  // Attributes the overflow to the newest slots first.
  for (std::int64_t slot = current;
       slot > current - kOverflowSlotCount && remaining > 0 && perSlot > 0;
       --slot) {
    double& recorded = this->overflow[slot];
    const double added = std::min(remaining, std::max(perSlot - recorded, 0.0));
    recorded += added;
    remaining -= added;
  }
}

double
QuotaBucket::TakeOverflow(double aMaxTokens, Time aFrom)
{
  double taken = 0;
  const std::int64_t first = aFrom.time_since_epoch() / kOverflowSlot;
  for (std::map<std::int64_t, double>::iterator slot = this->overflow.lower_bound(first);
       slot != this->overflow.end();
       ++slot) {
    const double part = std::min(slot->second, aMaxTokens - taken);
    slot->second -= part;
    taken += part;
  }
  return taken;
}

std::uint32_t
QuotaBucket::Grant(std::uint32_t aWant, Time aNow)
{
  const double whole = std::floor(std::max(this->tokens, 0.0));
  const std::uint32_t granted = static_cast<std::uint32_t>(std::min<double>(whole, aWant));
  this->tokens -= granted;
  this->consumption.Note(granted, aNow);
  return granted;
}

void
QuotaBucket::Deduct(std::uint32_t aUsed, Duration aAge, Time aNow)
{
  // Requests with this mean age arrived over about twice that time.
  const double covered = this->TakeOverflow(aUsed, aNow - 2 * aAge);
  this->tokens -= aUsed - covered;
  this->consumption.Note(aUsed, aNow);
}

void
QuotaBucket::Refund()
{
  this->tokens = std::min(this->burst, this->tokens + 1);
}

std::uint32_t
QuotaBucket::GrantCredit(const std::string& aNode, std::uint32_t aWant, Time aNow)
{
  this->outstanding.erase(aNode);
  std::erase_if(this->outstanding, [aNow](const std::pair<const std::string, Credit>& aEntry) {
    return aEntry.second.expiresAt <= aNow;
  });
  const bool enoughSaved = this->tokens >= this->burst * kMinFillFraction;
  if (!enoughSaved || aNow < this->throttledUntil) {
    return 0;
  }
  double available =
    (this->rate * this->share - this->consumption.PerSecond(aNow)) * kCreditSeconds;
  for (const std::pair<const std::string, Credit>& entry : this->outstanding) {
    available -= entry.second.requests;
  }
  const double newCredit = std::clamp<double>(std::floor(available), 0, aWant);
  const std::uint32_t requests = static_cast<std::uint32_t>(newCredit);
  if (requests > 0) {
    this->outstanding[aNode] = Credit{ requests, aNow + kCreditLifetime };
  }
  return requests;
}

} // namespace jackdawwind
