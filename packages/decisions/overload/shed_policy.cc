#include "decisions/overload/shed_policy.h"

#include <cmath>

#include "decisions/overload/level_memory.h"

namespace jackdawwind {

namespace {

/// Time in which a start loses 63% of its weight. Longer than a burst of retries, shorter than the
/// memory of an operator who looks at shares per second.
constexpr std::chrono::duration<double> kShareMemory = std::chrono::seconds(2);

bool
Newer(const PendingCall& aLeft, const PendingCall& aRight)
{
  return aLeft.arrived != aRight.arrived ? aLeft.arrived > aRight.arrived
                                         : aLeft.exchange > aRight.exchange;
}

double
Decayed(double aValue, Duration aAge)
{
  return aValue * std::exp(-std::chrono::duration<double>(aAge) / kShareMemory);
}

} // namespace

bool
GoodputPolicy::RunsBefore(const PendingCall& aLeft,
                          const PendingCall& aRight,
                          const QueueView& aView) const
{
  if (aLeft.importance != aRight.importance) {
    return aLeft.importance < aRight.importance;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority > aRight.priority;
  }
  return aView.overloaded ? Newer(aLeft, aRight) : Newer(aRight, aLeft);
}

bool
GoodputPolicy::ShedsBefore(const PendingCall& aLeft,
                           const PendingCall& aRight,
                           const QueueView& aView) const
{
  return this->RunsBefore(aRight, aLeft, aView);
}

void
GoodputPolicy::NoteStart(const PendingCall& /*aCall*/, Time /*aNow*/)
{
}

void
GoodputPolicy::SetWeights(const std::map<std::string, double>& /*aWeights*/)
{
}

LevelSteps
GoodputPolicy::Steps() const
{
  using std::chrono::milliseconds;
  return { .up = 32, .down = 8, .upAfter = milliseconds(20), .downAfter = milliseconds(20) };
}

bool
FairnessPolicy::RunsBefore(const PendingCall& aLeft,
                           const PendingCall& aRight,
                           const QueueView& aView) const
{
  if (aLeft.importance != aRight.importance) {
    return aLeft.importance < aRight.importance;
  }
  if (aLeft.organisation != aRight.organisation) {
    const double left = this->StartsOf(aLeft.organisation, aView.now);
    const double right = this->StartsOf(aRight.organisation, aView.now);
    return left != right ? left < right : aLeft.organisation < aRight.organisation;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority > aRight.priority;
  }
  return Newer(aRight, aLeft);
}

bool
FairnessPolicy::ShedsBefore(const PendingCall& aLeft,
                            const PendingCall& aRight,
                            const QueueView& aView) const
{
  if (aLeft.importance != aRight.importance) {
    return aLeft.importance > aRight.importance;
  }
  if (aLeft.organisation != aRight.organisation) {
    const double left = this->ShareOf(aLeft.organisation, aView);
    const double right = this->ShareOf(aRight.organisation, aView);
    return left != right ? left > right : aLeft.organisation > aRight.organisation;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  return Newer(aLeft, aRight);
}

void
FairnessPolicy::NoteStart(const PendingCall& aCall, Time aNow)
{
  Usage& usage = this->usages[aCall.organisation];
  usage.starts = Decayed(usage.starts, aNow - usage.at) + 1;
  usage.at = aNow;
}

void
FairnessPolicy::SetWeights(const std::map<std::string, double>& aWeights)
{
  this->weights = aWeights;
}

LevelSteps
FairnessPolicy::Steps() const
{
  using std::chrono::milliseconds;
  return { .up = kPriorities,
           .down = kPriorities,
           .upAfter = milliseconds(100),
           .downAfter = milliseconds(500) };
}

double
FairnessPolicy::WeightOf(const std::string& aOrganisation) const
{
  const std::map<std::string, double>::const_iterator found = this->weights.find(aOrganisation);
  return found == this->weights.end() ? 1 : found->second;
}

double
FairnessPolicy::StartsOf(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, Usage>::const_iterator found = this->usages.find(aOrganisation);
  if (found == this->usages.end()) {
    return 0;
  }
  return Decayed(found->second.starts, aNow - found->second.at) / this->WeightOf(aOrganisation);
}

double
FairnessPolicy::ShareOf(const std::string& aOrganisation, const QueueView& aView) const
{
  const std::map<std::string, std::uint32_t>::const_iterator found =
    aView.queued.find(aOrganisation);
  const double queued = found == aView.queued.end() ? 0 : found->second;
  return this->StartsOf(aOrganisation, aView.now) + queued / this->WeightOf(aOrganisation);
}

ShedPolicy
MakeShedPolicy(PolicyKind aKind)
{
  if (aKind == PolicyKind::kFairness) {
    return FairnessPolicy();
  }
  return GoodputPolicy();
}

bool
RunsBefore(const ShedPolicy& aPolicy,
           const PendingCall& aLeft,
           const PendingCall& aRight,
           const QueueView& aView)
{
  return std::visit([&](const auto& aKind) { return aKind.RunsBefore(aLeft, aRight, aView); },
                    aPolicy);
}

bool
ShedsBefore(const ShedPolicy& aPolicy,
            const PendingCall& aLeft,
            const PendingCall& aRight,
            const QueueView& aView)
{
  return std::visit([&](const auto& aKind) { return aKind.ShedsBefore(aLeft, aRight, aView); },
                    aPolicy);
}

void
NoteStart(ShedPolicy& aPolicy, const PendingCall& aCall, Time aNow)
{
  std::visit([&](auto& aKind) { aKind.NoteStart(aCall, aNow); }, aPolicy);
}

void
SetWeights(ShedPolicy& aPolicy, const std::map<std::string, double>& aWeights)
{
  std::visit([&](auto& aKind) { aKind.SetWeights(aWeights); }, aPolicy);
}

LevelSteps
StepsOf(const ShedPolicy& aPolicy)
{
  return std::visit([](const auto& aKind) { return aKind.Steps(); }, aPolicy);
}

} // namespace jackdawwind
