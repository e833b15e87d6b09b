// The re-sends that a call and everything beneath it may still cause.
//
// Allowance is moved between holders and never copied: what a holder gives to an attempt or a child
// it no longer has, and an answer brings back what was not used. A lost answer brings back nothing.
// So the re-sends of one root request never pass the allowance that the root began with.
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

  /// Spends one unit on a re-send; false when there is none.
  bool TrySpend();

  /// Takes half, rounded up: one unit always travels on, since a re-send next to the failure
  /// repeats the least work, and the other half stays for a failure of the receiver itself.
  std::uint32_t TakeHalf();

  /// Takes all but one unit, or the only one.
  std::uint32_t TakeAllButOne();

  /// Puts back what an answer returned.
  void Return(std::uint32_t aUnits) { this->units += aUnits; }

  friend bool operator==(const RetryAllowance&, const RetryAllowance&) = default;
  friend std::strong_ordering operator<=>(const RetryAllowance&, const RetryAllowance&) = default;

private:
  std::uint32_t units;
};

} // namespace jackdawwind
