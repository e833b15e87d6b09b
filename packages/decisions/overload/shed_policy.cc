#include "decisions/overload/shed_policy.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

namespace {

/// Time constant of the exponential decay of starts (63% in 2 s): long enough to average the bursts
/// of one organisation, short enough that an organisation that was idle is preferred for no more
/// than a few seconds.
constexpr std::chrono::duration<double> kUsageTimeConstant = std::chrono::seconds(2);

double
Decayed(double aValue, Duration aAge)
{
  return aValue * std::exp(-std::chrono::duration<double>(aAge) / kUsageTimeConstant);
}

/// Orders calls by arrival, then by exchange number.
bool
Older(const PendingCall& aLeft, const PendingCall& aRight)
{
  return std::tie(aLeft.arrived, aLeft.exchange) < std::tie(aRight.arrived, aRight.exchange);
}

/// Orders calls by importance class, then by priority, then by age.
bool
RanksBefore(const PendingCall& aLeft, const PendingCall& aRight, bool aNewestFirst)
{
  if (aLeft.importance != aRight.importance) {
    return aLeft.importance < aRight.importance;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority > aRight.priority;
  }
  return aNewestFirst ? Older(aRight, aLeft) : Older(aLeft, aRight);
}

bool
MoreImportant(const PendingCall& aLeft, const PendingCall& aRight)
{
  return aLeft.importance < aRight.importance;
}

template<typename Before>
std::size_t
IndexOfFirst(const std::vector<PendingCall>& aCalls, const Before& aBefore)
{
  return static_cast<std::size_t>(std::min_element(aCalls.begin(), aCalls.end(), aBefore) -
                                  aCalls.begin());
}

/// Organisations with queued calls, sorted by usage and then by name.
using OrganisationOrder = std::vector<std::pair<double, std::string_view>>;

/// Picks the first organisation that has calls of the class, and returns the index of the first of
/// these calls in the order of aBefore.
template<typename Before>
std::size_t
IndexOfFirst(const std::vector<PendingCall>& aCalls,
             Importance aImportance,
             const OrganisationOrder& aOrganisations,
             const Before& aBefore)
{
  for (const std::pair<double, std::string_view>& entry : aOrganisations) {
    std::size_t best = aCalls.size();
    for (std::size_t index = 0; index < aCalls.size(); ++index) {
      const PendingCall& call = aCalls[index];
      if (call.importance == aImportance && call.organisation == entry.second &&
          (best == aCalls.size() || aBefore(call, aCalls[best]))) {
        best = index;
      }
    }
    if (best != aCalls.size()) {
      return best;
    }
  }
  return 0;
}

} // namespace

std::size_t
GoodputPolicy::NextToRun(const std::vector<PendingCall>& aCalls, const QueueView& aView) const
{
  return IndexOfFirst(aCalls, [&](const PendingCall& aLeft, const PendingCall& aRight) {
    return RanksBefore(aLeft, aRight, aView.overloaded);
  });
}

std::size_t
GoodputPolicy::NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const
{
  return IndexOfFirst(aCalls, [&](const PendingCall& aLeft, const PendingCall& aRight) {
    return RanksBefore(aRight, aLeft, aView.overloaded);
  });
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

std::size_t
FairnessPolicy::NextToRun(const std::vector<PendingCall>& aCalls, const QueueView& aView) const
{
  OrganisationOrder organisations;
  for (const std::pair<const std::string, std::uint32_t>& queued : aView.queued) {
    organisations.emplace_back(this->WeightedStartsOf(queued.first, aView.now), queued.first);
  }
  std::sort(organisations.begin(), organisations.end());
  const Importance mostImportant =
    std::min_element(aCalls.begin(), aCalls.end(), MoreImportant)->importance;
  return IndexOfFirst(
    aCalls, mostImportant, organisations, [](const PendingCall& aLeft, const PendingCall& aRight) {
      return RanksBefore(aLeft, aRight, false);
    });
}

std::size_t
FairnessPolicy::NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const
{
  OrganisationOrder organisations;
  for (const std::pair<const std::string, std::uint32_t>& queued : aView.queued) {
    const double share = this->WeightedStartsOf(queued.first, aView.now) +
                         queued.second / this->WeightOf(queued.first);
    organisations.emplace_back(share, queued.first);
  }
  std::sort(organisations.rbegin(), organisations.rend());
  const Importance leastImportant =
    std::max_element(aCalls.begin(), aCalls.end(), MoreImportant)->importance;
  return IndexOfFirst(
    aCalls, leastImportant, organisations, [](const PendingCall& aLeft, const PendingCall& aRight) {
      return RanksBefore(aRight, aLeft, false);
    });
}

void
FairnessPolicy::NoteStart(const PendingCall& aCall, Time aNow)
{
  Usage& usage = this->usages[aCall.organisation];
  usage.starts = Decayed(usage.starts, aNow - usage.updatedAt) + 1;
  usage.updatedAt = aNow;
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
  return { .up = kPrioritiesPerClass,
           .down = kPrioritiesPerClass,
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
FairnessPolicy::WeightedStartsOf(const std::string& aOrganisation, Time aNow) const
{
  const std::map<std::string, Usage>::const_iterator found = this->usages.find(aOrganisation);
  if (found == this->usages.end()) {
    return 0;
  }
  return Decayed(found->second.starts, aNow - found->second.updatedAt) /
         this->WeightOf(aOrganisation);
}

ShedPolicy
MakeShedPolicy(PolicyKind aKind)
{
  if (aKind == PolicyKind::kFairness) {
    return FairnessPolicy();
  }
  return GoodputPolicy();
}

std::size_t
NextToRun(const ShedPolicy& aPolicy, const std::vector<PendingCall>& aCalls, const QueueView& aView)
{
  return std::visit([&](const auto& aKind) { return aKind.NextToRun(aCalls, aView); }, aPolicy);
}

std::size_t
NextToShed(const ShedPolicy& aPolicy,
           const std::vector<PendingCall>& aCalls,
           const QueueView& aView)
{
  return std::visit([&](const auto& aKind) { return aKind.NextToShed(aCalls, aView); }, aPolicy);
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
