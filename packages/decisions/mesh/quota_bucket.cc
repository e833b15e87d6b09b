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
/// Overflowed tokens are remembered for the longest time until a report, by slots of this length:
/// what pays for a request must have overflowed when it was let in, else a surge would be paid by
/// the quiet time before it.
constexpr Duration kSlot = std::chrono::milliseconds(100);
constexpr std::int64_t kSlots = 30;
/// Time of what the quota leaves free that may be out as credit. The tolerance of quotas covers a
/// surge in which all of it is used besides the tokens; the longer, the less often nodes report.
constexpr double kCreditSeconds = 2;
/// Part of the burst that must be saved for credit to be given.
constexpr double kSavedPart = 0.5;

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
  this->overflow.clear();
  this->outstanding.clear();
  this->filledAt = aNow;
  this->heldUntil = aHeldUntil;
  // What the organisation has just used is not known.
  this->spent = DemandEstimate(kSpentTime);
  this->spent.Note(this->rate * Seconds(kSpentTime), aNow);
}

void
QuotaBucket::Fill(double aShare, Time aNow)
{
  this->share = aNow < this->heldUntil ? aShare * kHeldPart : aShare;
  const double passed = Seconds(std::max(aNow - this->filledAt, Duration::zero()));
  const double filled = this->tokens + this->rate * this->share * passed;
  this->tokens = std::min(this->burst, filled);
  this->NoteOverflow(filled - this->tokens, aNow);
  this->filledAt = aNow;
}

void
QuotaBucket::NoteOverflow(double aTokens, Time aNow)
{
  const std::int64_t current = aNow.time_since_epoch() / kSlot;
  this->overflow.erase(this->overflow.begin(), this->overflow.lower_bound(current - kSlots));
  const double perSlot = this->rate * this->share * Seconds(kSlot);
  double left = aTokens;
  // The newest flowed last.
  for (std::int64_t slot = current; slot > current - kSlots && left > 0 && perSlot > 0; --slot) {
    double& held = this->overflow[slot];
    const double added = std::min(left, std::max(perSlot - held, 0.0));
    held += added;
    left -= added;
  }
}

double
QuotaBucket::TakeOverflow(double aWant, Time aFrom)
{
  double taken = 0;
  const std::int64_t first = aFrom.time_since_epoch() / kSlot;
  for (std::map<std::int64_t, double>::iterator slot = this->overflow.lower_bound(first);
       slot != this->overflow.end();
       ++slot) {
    const double part = std::min(slot->second, aWant - taken);
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
  this->spent.Note(granted, aNow);
  return granted;
}

void
QuotaBucket::Deduct(std::uint32_t aUsed, Duration aAge, Time aNow)
{
  // Requests of this mean age came over about twice that time.
  const double late = this->TakeOverflow(aUsed, aNow - 2 * aAge);
  this->tokens -= aUsed - late;
  this->spent.Note(aUsed, aNow);
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
  double free = (this->rate * this->share - this->spent.PerSecond(aNow)) * kCreditSeconds;
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
