#include "decisions/mesh/domain_overflow.h"

#include <algorithm>
#include <cmath>

namespace jackdawwind {

namespace {

/// Weight of the inputs of one step; a node sees only a few requests in a step.
constexpr double kInputWeight = 0.5;
/// Smallest rise. Without it a share would follow a gain near its minimum in steps that nobody
/// notices.
constexpr double kMinRise = 0.01;
/// Share below which a falling one ends.
constexpr double kMinShare = 0.01;
/// Fall of the load within a step that counts as such; less is noise.
constexpr double kFallingLoad = 0.02;
/// Load from which the targets have little room, and the part of a fall that remains at full load.
constexpr double kBusyLoad = 0.75;
constexpr double kFullLoadFall = 0.1;

} // namespace

void
DomainOverflow::SetMinGain(Distance aDistance, Duration aMinGain)
{
  this->minGains[aDistance] = aMinGain;
}

Duration
DomainOverflow::MinGain(Distance aDistance) const
{
  const std::map<Distance, Duration>::const_iterator found = this->minGains.find(aDistance);
  return found == this->minGains.end() ? Duration::zero() : found->second;
}

void
DomainOverflow::Observe(const std::string& aService,
                        Distance aDistance,
                        const Comparison& aComparison,
                        Time aNow)
{
  State& state = this->states[Key(aService, aDistance)];
  if (state.share == 0 && state.observations == 0) {
    // While nothing leaves, steps follow the requests; inputs from before a pause do not count.
    state.hasInputs = state.hasInputs && aNow - state.nextStep < kStepInterval;
    state.nextStep = aNow + kStepInterval;
  }
  state.gainSum += static_cast<double>((aComparison.near - aComparison.far).count());
  state.loadSum += aComparison.nearLoad;
  ++state.observations;
}

bool
DomainOverflow::Take(const std::string& aService, Distance aDistance)
{
  const std::map<Key, State>::iterator found = this->states.find(Key(aService, aDistance));
  if (found == this->states.end() || found->second.share == 0) {
    return false;
  }
  State& state = found->second;
  state.credit += state.share;
  // Tenths have no exact representation; ten of them must add up to a request.
  constexpr double kRounding = 1e-9;
  if (state.credit < 1 - kRounding) {
    return false;
  }
  state.credit -= 1;
  return true;
}

double
DomainOverflow::MoveOf(const State& aState, double aPreviousLoad, double aMinGain)
{
  if (aState.gain > aMinGain) {
    if (aState.load < aPreviousLoad - kFallingLoad) {
      return 0;
    }
    const double excess = aMinGain > 0 ? (aState.gain - aMinGain) / aMinGain : 1;
    return std::clamp(kMaxRise * excess, kMinRise, kMaxRise);
  }
  const double half = aMinGain / 2;
  if (aState.gain >= half) {
    return 0;
  }
  const double lack = half > 0 ? std::min((half - aState.gain) / half, 1.0) : 1;
  const double room = std::clamp((1 - aState.load) / (1 - kBusyLoad), kFullLoadFall, 1.0);
  return -kMaxFall * lack * room;
}

void
DomainOverflow::Step(const Key& aKey, State& aState)
{
  if (aState.observations == 0) {
    aState.hasInputs = false;
    this->SetShare(aKey, aState, aState.share - kMaxFall);
    return;
  }
  const double gain = aState.gainSum / aState.observations;
  const double load = aState.loadSum / aState.observations;
  const double weight = aState.hasInputs ? kInputWeight : 1;
  const double previousLoad = aState.hasInputs ? aState.load : load;
  aState.gain += (gain - aState.gain) * weight;
  aState.load += (load - aState.load) * weight;
  aState.hasInputs = true;
  aState.gainSum = 0;
  aState.loadSum = 0;
  aState.observations = 0;
  const double minGain = static_cast<double>(this->MinGain(aKey.second).count());
  this->SetShare(aKey, aState, aState.share + MoveOf(aState, previousLoad, minGain));
}

void
DomainOverflow::SetShare(const Key& aKey, State& aState, double aShare)
{
  const bool rises = aShare > aState.share;
  const double share = !rises && aShare < kMinShare ? 0 : std::min(aShare, 1.0);
  if (share == aState.share) {
    return;
  }
  const bool edge = share == 0 || aState.share == 0;
  // Shares are sums of steps, whose rounding must not delay a report.
  constexpr double kRounding = 1e-9;
  const bool reported = edge || std::abs(share - aState.reportedShare) >= kReportedMove - kRounding;
  aState.share = share;
  if (share == 0) {
    aState.credit = 0;
  }
  if (reported) {
    aState.reportedShare = share;
  }
  this->changes.push_back(
    { .service = aKey.first, .distance = aKey.second, .share = share, .reported = reported });
}

void
DomainOverflow::Poll(Time aNow)
{
  for (std::map<Key, State>::value_type& entry : this->states) {
    State& state = entry.second;
    if (aNow < state.nextStep || (state.share == 0 && state.observations == 0)) {
      continue;
    }
    this->Step(entry.first, state);
    // After a pause of the process there is one step, not one for each interval missed.
    state.nextStep = aNow + kStepInterval;
  }
}

std::vector<DomainOverflow::Change>
DomainOverflow::TakeChanges()
{
  std::vector<Change> taken;
  taken.swap(this->changes);
  return taken;
}

double
DomainOverflow::Share(const std::string& aService, Distance aDistance) const
{
  const std::map<Key, State>::const_iterator found = this->states.find(Key(aService, aDistance));
  return found == this->states.end() ? 0 : found->second.share;
}

Time
DomainOverflow::NextWake() const
{
  Time next = Time::max();
  for (const std::map<Key, State>::value_type& entry : this->states) {
    if (entry.second.share > 0) {
      next = std::min(next, entry.second.nextStep);
    }
  }
  return next;
}

} // namespace jackdawwind
