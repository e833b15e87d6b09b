#include "decisions/retry/retry_allowance.h"

namespace jackdawwind {

bool
RetryAllowance::TrySpend()
{
  if (this->units == 0) {
    return false;
  }
  --this->units;
  return true;
}

std::uint32_t
RetryAllowance::TakeHalf()
{
  const std::uint32_t taken = this->units - this->units / 2;
  this->units -= taken;
  return taken;
}

std::uint32_t
RetryAllowance::TakeAllButOne()
{
  const std::uint32_t remaining = this->units >= 2 ? 1 : 0;
  const std::uint32_t taken = this->units - remaining;
  this->units = remaining;
  return taken;
}

} // namespace jackdawwind
