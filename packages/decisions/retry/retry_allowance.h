// Retry allowance: the number of retries that a call and all calls below it may still cause.
//
// Units are transferred, never copied. A call gives part of its units to each attempt and child
// call, and gets the unused ones back with the answer; the units of a lost answer are lost. The
// retries of one root request, over all depths, therefore never exceed its initial allowance.
#pragma once

#include <compare>
#include <cstdint>

namespace jackdawwind {

class RetryAllowance
{
public:
  explicit RetryAllowance(std::uint32_t aUnits = 0)
    : units(aUnits)
  {
  }

  std::uint32_t Units() const { return this->units; }

  /// Spends one unit on a retry; false when none is left.
  bool TrySpend();

  /// Removes half of the units, rounded up, to send along with a call. Rounding up always passes on
  /// the last unit, since a retry close to the failure repeats the least work; the other half
  /// remains for a failure of the receiver itself.
  std::uint32_t TakeHalf();

  /// Removes all units but one, or the only one, to send along with an attempt of a root call.
  std::uint32_t TakeAllButOne();

  /// Adds the unused units of an answer.
  void Return(std::uint32_t aUnits) { this->units += aUnits; }

  friend bool operator==(const RetryAllowance&, const RetryAllowance&) = default;
  friend std::strong_ordering operator<=>(const RetryAllowance&, const RetryAllowance&) = default;

private:
  std::uint32_t units;
};

} // namespace jackdawwind
