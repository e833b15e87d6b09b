#include "decisions/mesh/caller_concurrency_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jackdawwind {

namespace {

/// Time for a decrease to show: about as long as a request takes.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(250);
/// Factors by priority, most urgent first; the last holds for all further ones.
constexpr std::array<double, 3> kDecrease{ 0.97, 0.9, 0.85 };
/// Part of the requests that may fail without a decrease: single failures have other causes than a
/// full service, a target that breaks off answers among them.
constexpr double kTolerated = 0.15;
/// Weight of the newest request in the mean of failures over about twenty.
constexpr double kSampleWeight = 0.05;
/// Part of the limit that a full round of successes adds.
constexpr double kGrowth = 0.15;
/// Part of the limit that must be in use for a success to raise it.
constexpr double kUsed = 0.8;
/// Requests that always may run, so that recovery is noticed.
constexpr double kLeast = 2;

} // namespace

void
CallerConcurrencyLimit::SetSlots(std::uint32_t aSlots)
{
  const bool first = this->slots <= 0;
  this->slots = std::max<double>(aSlots, kLeast);
  this->limit = first ? this->slots : std::min(this->limit, this->slots);
}

void
CallerConcurrencyLimit::NoteSuccess(std::size_t aRunning)
{
  this->failures -= this->failures * kSampleWeight;
  // Compared with the whole number that is let in; against the fraction a small limit never grows.
  if (static_cast<double>(aRunning) >= static_cast<double>(this->Limit()) * kUsed) {
    this->limit = std::min(this->slots, this->limit + std::max(kGrowth, 1.0 / this->limit));
  }
}

void
CallerConcurrencyLimit::NoteFailure(std::size_t aRunning, std::uint32_t aPriority, Time aNow)
{
  this->failures += (1.0 - this->failures) * kSampleWeight;
  if (this->failures < kTolerated || aNow - this->lastDecrease < kDecreaseInterval) {
    return;
  }
  this->lastDecrease = aNow;
  const std::size_t index = std::min<std::size_t>(aPriority, kDecrease.size() - 1);
  const double base = std::min(this->limit, static_cast<double>(aRunning));
  this->limit = std::max(kLeast, base * kDecrease[index]);
}

std::size_t
CallerConcurrencyLimit::Limit() const
{
  return static_cast<std::size_t>(std::floor(this->limit));
}

} // namespace jackdawwind
