#include "decisions/overload/shed_policy.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

namespace {

/// Time in which a start loses 63% of its weight: long enough to average the bursts of one
/// organisation, short enough that a quiet one gets no more than seconds of preference afterwards.
constexpr std::chrono::duration<double> kShareMemory = std::chrono::seconds(2);

double
Decayed(double aValue, Duration aAge)
{
  return aValue * std::exp(-std::chrono::duration<double>(aAge) / kShareMemory);
}

/// Arrival order; the exchange decides between calls that arrived at the same time.
bool
Older(const PendingCall& aLeft, const PendingCall& aRight)
{
  return std::tie(aLeft.arrived, aLeft.exchange) < std::tie(aRight.arrived, aRight.exchange);
}

/// Class, then priority, then age.
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

/// Organisations with queued calls in the order of a figure and then of the name.
using Standings = std::vector<std::pair<double, std::string_view>>;

/// Index of the first call in aBefore's order among those that the first organisation with any has
/// in the class.
template<typename Before>
std::size_t
IndexOfFirst(const std::vector<PendingCall>& aCalls,
             Importance aImportance,
             const Standings& aStandings,
             const Before& aBefore)
{
  for (const std::pair<double, std::string_view>& standing : aStandings) {
    std::size_t best = aCalls.size();
    for (std::size_t index = 0; index < aCalls.size(); ++index) {
      const PendingCall& call = aCalls[index];
      if (call.importance == aImportance && call.organisation == standing.second &&
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
  Standings standings;
  for (const std::pair<const std::string, std::uint32_t>& queued : aView.queued) {
    standings.emplace_back(this->StartsOf(queued.first, aView.now), queued.first);
  }
  std::sort(standings.begin(), standings.end());
  const Importance most = std::min_element(aCalls.begin(), aCalls.end(), MoreImportant)->importance;
  return IndexOfFirst(
    aCalls, most, standings, [](const PendingCall& aLeft, const PendingCall& aRight) {
      return RanksBefore(aLeft, aRight, false);
    });
}

std::size_t
FairnessPolicy::NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const
{
  Standings standings;
  for (const std::pair<const std::string, std::uint32_t>& queued : aView.queued) {
    const double share =
      this->StartsOf(queued.first, aView.now) + queued.second / this->WeightOf(queued.first);
    standings.emplace_back(share, queued.first);
  }
  std::sort(standings.rbegin(), standings.rend());
  const Importance least =
    std::max_element(aCalls.begin(), aCalls.end(), MoreImportant)->importance;
  return IndexOfFirst(
    aCalls, least, standings, [](const PendingCall& aLeft, const PendingCall& aRight) {
      return RanksBefore(aRight, aLeft, false);
    });
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
