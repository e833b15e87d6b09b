#include "decisions/rate/expiring_tokens.h"

#include <algorithm>

namespace jackdawwind {

void
ExpiringTokens::Add(std::uint32_t aTokens, Time aExpiry)
{
  if (aTokens > 0) {
    this->batches[aExpiry] += aTokens;
  }
}

bool
ExpiringTokens::TakeOne(Time aNow)
{
  return !this->Take(1, Duration::zero(), aNow).empty();
}

std::vector<TokenBatch>
ExpiringTokens::Take(std::uint32_t aTokens, Duration aMinimumLife, Time aNow)
{
  this->DropExpired(aNow);
  std::vector<TokenBatch> taken;
  std::map<Time, std::uint32_t>::iterator batch = this->batches.upper_bound(aNow + aMinimumLife);
  while (aTokens > 0 && batch != this->batches.end()) {
    const std::uint32_t count = std::min(aTokens, batch->second);
    taken.push_back(TokenBatch{ count, batch->first });
    aTokens -= count;
    batch->second -= count;
    if (batch->second == 0) {
      batch = this->batches.erase(batch);
    }
  }
  return taken;
}

std::uint32_t
ExpiringTokens::Count(Time aNow) const
{
  std::uint32_t count = 0;
  for (std::map<Time, std::uint32_t>::const_iterator batch = this->batches.upper_bound(aNow);
       batch != this->batches.end();
       ++batch) {
    count += batch->second;
  }
  return count;
}

void
ExpiringTokens::DropExpired(Time aNow)
{
  this->batches.erase(this->batches.begin(), this->batches.upper_bound(aNow));
}

} // namespace jackdawwind
