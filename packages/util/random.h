// Random numbers for decisions: seeded, so that tests and golden sessions repeat. Not for secrets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace jackdawwind {

class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  /// Number from 0 to aLimit - 1; aLimit must not be 0. Same on every platform for the same seed.
  std::uint64_t Below(std::uint64_t aLimit) { return this->engine() % aLimit; }

  /// Number from 0 to less than 1.
  double Fraction()
  {
    constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53, the precision of a double
    constexpr unsigned kDroppedBits = 11;
    return static_cast<double>(this->engine() >> kDroppedBits) * kScale;
  }

private:
  std::mt19937_64 engine;
};

} // namespace jackdawwind
