#include "decisions/overload/concurrency_limit.h"

#include <algorithm>

namespace jackdawwind {

namespace {

/// A cold target begins with this part of its slots.
constexpr double kColdPart = 0.125;

/// The lowest of many window means is about 0.7 of the true mean when latencies are exponential and
/// a window has 50 samples; twice that leaves room for ordinary variation.
constexpr double kTolerance = 2.0;
constexpr std::uint32_t kWindowSamples = 50;
constexpr std::uint32_t kWindowRounds = 3;
/// A target with few calls closes its window early.
constexpr Duration kWindowTime = std::chrono::seconds(1);
constexpr std::uint32_t kMinWindowSamples = 10;

/// Refusals in a window that mean overload. A target may refuse a few calls for reasons of their
/// own, for example on a route whose dependency is down; acting on each would hold the limit
/// near 1.
constexpr std::uint32_t kWindowRefusals = 3;

constexpr double kLatencyFactor = 0.8;
constexpr double kRefusedFactor = 0.7;

/// Halving the limit has helped when the latency fell below this part.
constexpr double kHelped = 0.75;
constexpr double kHalf = 0.5;

constexpr Duration kCheckInterval = std::chrono::seconds(10);

Duration
Scaled(Duration aValue, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aValue * aFactor);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit()
{
  this->SetSlots(1);
}

void
ConcurrencyLimit::SetSlots(std::uint32_t aSlots)
{
  this->slots = std::max(aSlots, 1U);
  this->limit = std::min(this->limit, static_cast<double>(this->slots));
  if (this->cold) {
    // The target may announce itself before the configuration with its slots has been read.
    this->limit = std::max(this->limit, this->ColdLimit());
  }
}

double
ConcurrencyLimit::ColdLimit() const
{
  return std::max(1.0, this->slots * kColdPart);
}

void
ConcurrencyLimit::ColdStart(Time aNow)
{
  this->limit = this->ColdLimit();
  this->cold = true;
  this->minimum = Duration::zero();
  this->counted = aNow;
  this->slowLimit = 0;
  this->nextCheck = Time::max();
  this->checkedLimit = 0;
  this->StartWindow();
}

void
ConcurrencyLimit::NoteAnswered(const LimitSample& aSample)
{
  if (aSample.started < this->counted) {
    return;
  }
  this->Count(aSample.ended);
  this->sum += aSample.ended - aSample.started;
  this->limited = this->limited || aSample.limited;
  if (aSample.limited && this->checkedLimit == 0 && !this->cold) {
    this->limit = std::min(this->limit + 1 / this->limit, static_cast<double>(this->slots));
  }
  if (this->WindowIsFull(aSample.ended)) {
    this->CloseWindow(aSample.ended);
  }
}

void
ConcurrencyLimit::NoteRefused(const LimitSample& aSample)
{
  if (aSample.started < this->counted) {
    return;
  }
  this->Count(aSample.ended);
  ++this->refusals;
  if (this->refusals >= kWindowRefusals) {
    this->slowLimit = 0;
    this->checkedLimit = 0;
    this->Decrease(kRefusedFactor, aSample.ended);
  } else if (this->WindowIsFull(aSample.ended)) {
    this->CloseWindow(aSample.ended);
  }
}

std::uint32_t
ConcurrencyLimit::Value() const
{
  return static_cast<std::uint32_t>(this->limit);
}

void
ConcurrencyLimit::Count(Time aEnded)
{
  if (this->samples == 0) {
    this->windowStarted = aEnded;
  }
  ++this->samples;
}

bool
ConcurrencyLimit::WindowIsFull(Time aNow) const
{
  // The first calls to end of those that run side by side are the short ones; a window of several
  // rounds keeps them from passing for the target's ordinary latency.
  const std::uint32_t enough = std::max(kWindowSamples, kWindowRounds * this->Value());
  const bool late = aNow - this->windowStarted >= kWindowTime;
  return this->samples >= enough || (late && this->samples >= kMinWindowSamples);
}

void
ConcurrencyLimit::CloseWindow(Time aNow)
{
  const Duration mean = this->sum / (this->samples - this->refusals);
  const bool wasLimited = this->limited;
  this->StartWindow();
  if (this->checkedLimit > 0) {
    this->EndCheck(mean);
    return;
  }
  if (this->minimum == Duration::zero() || mean < this->minimum) {
    this->minimum = mean;
  }
  if (mean > Scaled(this->minimum, kTolerance)) {
    this->HandleSlowWindow(mean, aNow);
    return;
  }
  this->slowLimit = 0;
  if (this->cold && wasLimited) {
    // Doubling per window opens 60 slots of calls that last a second within seconds; adding one per
    // service time would take a minute. The first window measures the latency at the low limit.
    this->limit = std::min(this->limit * 2, static_cast<double>(this->slots));
    this->counted = aNow;
    return;
  }
  if (aNow >= this->nextCheck) {
    this->nextCheck = aNow + kCheckInterval;
    this->checkedLimit = this->limit;
    this->Decrease(kHalf, aNow);
  }
}

void
ConcurrencyLimit::HandleSlowWindow(Duration aMean, Time aNow)
{
  if (this->slowLimit == 0) {
    this->slowLimit = this->limit;
    this->slowMean = aMean;
  } else if (this->limit <= std::max(1.0, this->slowLimit * kHalf)) {
    if (aMean > Scaled(this->slowMean, kHelped)) {
      this->minimum = aMean;
      this->nextCheck = aNow + kCheckInterval;
      this->slowLimit = 0;
      return;
    }
    this->slowLimit = this->limit;
    this->slowMean = aMean;
  }
  this->Decrease(kLatencyFactor, aNow);
}

void
ConcurrencyLimit::EndCheck(Duration aMean)
{
  this->minimum = std::min(this->minimum, aMean);
  this->limit = std::min(this->checkedLimit, static_cast<double>(this->slots));
  this->checkedLimit = 0;
}

void
ConcurrencyLimit::Decrease(double aFactor, Time aNow)
{
  this->cold = false;
  this->limit = std::max(1.0, this->limit * aFactor);
  this->counted = aNow;
  this->StartWindow();
}

void
ConcurrencyLimit::StartWindow()
{
  this->samples = 0;
  this->refusals = 0;
  this->sum = Duration::zero();
  this->limited = false;
}

} // namespace jackdawwind
