#include "decisions/overload/concurrency_limit.h"

#include <algorithm>

namespace jackdawwind {

namespace {

/// Fraction of the slots that a cold start begins with.
constexpr double kColdStartFraction = 0.125;

/// A window whose mean latency exceeds the moving minimum by this factor counts as slow. With
/// exponential latencies and 100 samples per window, the lowest of many window means is about 0.75
/// of the true mean; a factor of 1.8 leaves room for ordinary variation. The factor must stay below
/// 2: above its slot count a target's latency is proportional to concurrency, so halving the limit
/// halves the latency.
constexpr double kLatencyTolerance = 1.8;
/// A window closes after this many samples or rounds of calls at the limit, whichever is more.
constexpr std::uint32_t kWindowSamples = 100;
constexpr std::uint32_t kWindowRounds = 3;
/// Closes the window of a target with few calls early, once it has kMinWindowSamples samples.
constexpr Duration kWindowTimeout = std::chrono::seconds(1);
constexpr std::uint32_t kMinWindowSamples = 10;

/// Number of refusals in a window that indicates overload. A target may refuse single calls for
/// other reasons, for example on a route whose dependency is down; a decrease for each of them
/// would keep the limit near 1.
constexpr std::uint32_t kRefusalsForDecrease = 3;

/// Factors by which the limit decreases for latency and for refusals.
constexpr double kLatencyDecrease = 0.8;
constexpr double kRefusalDecrease = 0.7;

/// Halving the limit has helped if the mean latency fell to this fraction or below.
constexpr double kImprovedLatencyRatio = 0.75;
constexpr double kHalf = 0.5;

constexpr Duration kRecheckInterval = std::chrono::seconds(10);

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
    // The target may announce itself before the configuration with its slot count has been read.
    this->limit = std::max(this->limit, this->ColdStartLimit());
  }
}

double
ConcurrencyLimit::ColdStartLimit() const
{
  return std::max(1.0, this->slots * kColdStartFraction);
}

void
ConcurrencyLimit::ColdStart(Time aNow)
{
  this->limit = this->ColdStartLimit();
  this->cold = true;
  this->minLatency = Duration::zero();
  this->samplesFrom = aNow;
  this->decreaseStartLimit = 0;
  this->nextRecheck = Time::max();
  this->limitBeforeRecheck = 0;
  this->StartWindow();
}

void
ConcurrencyLimit::NoteAnswered(const LimitSample& aSample)
{
  if (aSample.started < this->samplesFrom) {
    return;
  }
  this->CountSample(aSample.ended);
  this->latencySum += aSample.ended - aSample.started;
  this->limitReached = this->limitReached || aSample.limitReached;
  if (aSample.limitReached && this->limitBeforeRecheck == 0 && !this->cold) {
    this->limit = std::min(this->limit + 1 / this->limit, static_cast<double>(this->slots));
  }
  if (this->WindowIsFull(aSample.ended)) {
    this->CloseWindow(aSample.ended);
  }
}

void
ConcurrencyLimit::NoteRefused(const LimitSample& aSample)
{
  if (aSample.started < this->samplesFrom) {
    return;
  }
  this->CountSample(aSample.ended);
  ++this->refusals;
  if (this->refusals >= kRefusalsForDecrease) {
    this->decreaseStartLimit = 0;
    this->limitBeforeRecheck = 0;
    this->Decrease(kRefusalDecrease, aSample.ended);
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
ConcurrencyLimit::CountSample(Time aEnded)
{
  if (this->samples == 0) {
    this->windowStarted = aEnded;
  }
  ++this->samples;
}

bool
ConcurrencyLimit::WindowIsFull(Time aNow) const
{
  // Of the calls that run concurrently, the short ones end first. A window of several rounds of
  // calls avoids a mean that is biased towards them.
  const std::uint32_t fullWindow = std::max(kWindowSamples, kWindowRounds * this->Value());
  const bool timedOut = aNow - this->windowStarted >= kWindowTimeout;
  return this->samples >= fullWindow || (timedOut && this->samples >= kMinWindowSamples);
}

void
ConcurrencyLimit::CloseWindow(Time aNow)
{
  const Duration mean = this->latencySum / (this->samples - this->refusals);
  const bool limitWasReached = this->limitReached;
  this->StartWindow();
  if (this->limitBeforeRecheck > 0) {
    this->FinishRecheck(mean);
    return;
  }
  if (this->minLatency == Duration::zero() || mean < this->minLatency) {
    this->minLatency = mean;
  }
  if (mean > Scaled(this->minLatency, kLatencyTolerance)) {
    this->HandleSlowWindow(mean, aNow);
    return;
  }
  this->decreaseStartLimit = 0;
  if (this->cold && limitWasReached) {
    // Slow start: with calls of 1 s, doubling per window reaches 60 slots within seconds, whereas
    // additive increase would take a minute. The first window measures the latency at the low
    // limit.
    this->limit = std::min(this->limit * 2, static_cast<double>(this->slots));
    this->samplesFrom = aNow;
    return;
  }
  if (aNow >= this->nextRecheck) {
    this->nextRecheck = aNow + kRecheckInterval;
    this->limitBeforeRecheck = this->limit;
    this->Decrease(kHalf, aNow);
  }
}

void
ConcurrencyLimit::HandleSlowWindow(Duration aMean, Time aNow)
{
  if (this->decreaseStartLimit == 0) {
    this->decreaseStartLimit = this->limit;
    this->decreaseStartMean = aMean;
  } else if (this->limit <= std::max(1.0, this->decreaseStartLimit * kHalf)) {
    if (aMean > Scaled(this->decreaseStartMean, kImprovedLatencyRatio)) {
      this->minLatency = aMean;
      this->nextRecheck = aNow + kRecheckInterval;
      this->decreaseStartLimit = 0;
      return;
    }
    this->decreaseStartLimit = this->limit;
    this->decreaseStartMean = aMean;
  }
  this->Decrease(kLatencyDecrease, aNow);
}

void
ConcurrencyLimit::FinishRecheck(Duration aMean)
{
  this->minLatency = std::min(this->minLatency, aMean);
  this->limit = std::min(this->limitBeforeRecheck, static_cast<double>(this->slots));
  this->limitBeforeRecheck = 0;
}

void
ConcurrencyLimit::Decrease(double aFactor, Time aNow)
{
  this->cold = false;
  this->limit = std::max(1.0, this->limit * aFactor);
  this->samplesFrom = aNow;
  this->StartWindow();
}

void
ConcurrencyLimit::StartWindow()
{
  this->samples = 0;
  this->refusals = 0;
  this->latencySum = Duration::zero();
  this->limitReached = false;
}

} // namespace jackdawwind
