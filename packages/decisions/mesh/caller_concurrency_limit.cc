#include "decisions/mesh/caller_concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jackdawwind {

namespace {

/// Minimum time between decreases: about the duration of a request, after which the effect of the
/// previous decrease is visible.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(250);
/// Decrease factors by route priority, most urgent first; the last applies to all lower priorities.
constexpr std::array<double, 3> kDecreaseFactors{ 0.97, 0.9, 0.85 };
/// Failure rate below which the limit is not decreased: isolated failures have causes other than
/// overload, for example a target that aborts its answers.
constexpr double kToleratedFailureRate = 0.15;
/// Weight of the newest request in the failure rate, which averages over about 20 requests.
constexpr double kSampleWeight = 0.05;
/// Slots that each success adds at least, so a round of as many successes as the limit raises it by
/// this fraction.
constexpr double kIncreasePerSuccess = 0.15;
/// Fraction of the limit that must be in use for a success to raise it.
constexpr double kMinUtilisation = 0.8;
/// Lower bound of the limit: without any running requests a recovery would go undetected.
constexpr double kMinLimit = 2;

} // namespace

void
CallerConcurrencyLimit::SetSlots(std::uint32_t aSlots)
{
  const bool first = this->slots <= 0;
  this->slots = std::max<double>(aSlots, kMinLimit);
  this->limit = first ? this->slots : std::min(this->limit, this->slots);
}

void
CallerConcurrencyLimit::NoteSuccess(std::size_t aRunning)
{
  this->failureRate -= this->failureRate * kSampleWeight;
  // Compares with the limit rounded down, since no more requests run than that; compared with the
  // exact limit, a small one would never grow.
  if (static_cast<double>(aRunning) >= static_cast<double>(this->Limit()) * kMinUtilisation) {
    this->limit =
      std::min(this->slots, this->limit + std::max(kIncreasePerSuccess, 1.0 / this->limit));
  }
}

void
CallerConcurrencyLimit::NoteFailure(std::size_t aRunning, std::uint32_t aPriority, Time aNow)
{
  this->failureRate += (1.0 - this->failureRate) * kSampleWeight;
  if (this->failureRate < kToleratedFailureRate || aNow - this->lastDecrease < kDecreaseInterval) {
    return;
  }
  this->lastDecrease = aNow;
  const std::size_t index = std::min<std::size_t>(aPriority, kDecreaseFactors.size() - 1);
  const double base = std::min(this->limit, static_cast<double>(aRunning));
  this->limit = std::max(kMinLimit, base * kDecreaseFactors[index]);
}

std::size_t
CallerConcurrencyLimit::Limit() const
{
  return static_cast<std::size_t>(std::floor(this->limit));
}

} // namespace jackdawwind
