// Pseudo-random numbers for decisions. Seeded, so that tests and golden sessions are reproducible.
// Not for secrets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace jackdawwind {

/// Seeded pseudo-random number generator.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  /// Returns a number in [0, aLimit); aLimit must not be 0. Reproducible on every platform. The
  /// modulo bias is negligible for limits far below 2^64.
  std::uint64_t Below(std::uint64_t aLimit) { return this->engine() % aLimit; }

  /// Returns a number in [0, 1).
  double Fraction()
  {
    constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53: a double has 53 bits of precision
    constexpr unsigned kDroppedBits = 11;
    return static_cast<double>(this->engine() >> kDroppedBits) * kScale;
  }

private:
  std::mt19937_64 engine;
};

} // namespace jackdawwind
