#include "decisions/mesh/cold_start_limiter.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

constexpr double kMicrosecondsPerSecond = 1'000'000;
/// Longest time between two starts, for rates close to zero.
constexpr double kMaxIntervalMicroseconds = 60 * kMicrosecondsPerSecond;

Duration
IntervalOf(double aRate)
{
  const double interval = std::min(kMicrosecondsPerSecond / aRate, kMaxIntervalMicroseconds);
  return Duration(static_cast<Duration::rep>(interval));
}

} // namespace

std::optional<ColdStartLimiter::Limit>
ColdStartLimiter::LimitOf(const std::string& aService) const
{
  if (!this->configured) {
    return Limit{ .interval = IntervalOf(kUnconfiguredRate) };
  }
  for (const ColdStartRule& rule : this->rules) {
    if (rule.GetService() == aService && rule.Rate() > 0) {
      return Limit{ .interval = IntervalOf(rule.Rate()), .coldTime = rule.Time() };
    }
  }
  return std::nullopt;
}

void
ColdStartLimiter::SetLimit(bool aWasCold, Time aNow)
{
  this->limit = this->last ? this->LimitOf(this->last->GetService()) : std::nullopt;
  if (!aWasCold && this->IsCold(aNow)) {
    this->fullAt = aNow + kBurst * this->limit->interval;
  }
}

void
ColdStartLimiter::Configure(std::vector<ColdStartRule> aRules, Time aNow)
{
  const bool wasCold = this->IsCold(aNow);
  this->configured = true;
  this->rules = std::move(aRules);
  this->SetLimit(wasCold, aNow);
}

void
ColdStartLimiter::Receive(const TargetHeartbeat& aBeat, Time aNow)
{
  const bool wasCold = this->IsCold(aNow);
  const bool started = !this->last || this->last->Instance() != aBeat.Instance() ||
                       this->last->StartedAtMs() != aBeat.StartedAtMs();
  const bool reportsCold = aBeat.ColdStartRemaining() > Duration::zero();
  if (started) {
    this->startSeenAt = reportsCold ? std::optional<Time>(aNow) : std::nullopt;
  }
  this->reportedUntil = aNow + aBeat.ColdStartRemaining();
  this->last = aBeat;
  this->SetLimit(wasCold, aNow);
}

Time
ColdStartLimiter::ColdUntil() const
{
  if (!this->limit) {
    return Time{};
  }
  return this->startSeenAt
           ? std::max(this->reportedUntil, *this->startSeenAt + this->limit->coldTime)
           : this->reportedUntil;
}

Time
ColdStartLimiter::OpensAt() const
{
  const Duration interval = this->limit ? this->limit->interval : Duration::zero();
  return std::min(this->fullAt - (kBurst - 1) * interval, this->ColdUntil());
}

void
ColdStartLimiter::NoteStart(Time aNow)
{
  if (this->IsCold(aNow)) {
    this->fullAt = std::max(this->fullAt, aNow) + this->limit->interval;
  }
}

Duration
ColdStartLimiter::Interval(Time aNow) const
{
  return this->IsCold(aNow) ? this->limit->interval : Duration::zero();
}

} // namespace jackdawwind
