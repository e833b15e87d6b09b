#include "decisions/mesh/repeat_budget.h"

#include <algorithm>

namespace jackdawwind {

namespace {

/// Minimum assumed fleet size: the size of current deployments. A node that has just started knows
/// no other node, so after a restart of the whole fleet each would use all of fleetExtra.
constexpr std::size_t kMinNodeCount = 16;

} // namespace

RepeatBudget::RepeatBudget(Options aOptions)
  : options(aOptions)
{
}

void
RepeatBudget::SetNodeCount(std::size_t aNodeCount)
{
  this->nodeCount = std::max(aNodeCount, kMinNodeCount);
}

double
RepeatBudget::Capacity() const
{
  const double perNode =
    this->options.fleetExtra / kCallDepth / static_cast<double>(this->nodeCount);
  return std::max(perNode, 1.0);
}

void
RepeatBudget::NoteRequest(const std::string& aService)
{
  const auto entry = this->tokens.try_emplace(aService, this->Capacity()).first;
  entry->second = std::min(this->Capacity(), entry->second + this->options.fleetRatio / kCallDepth);
}

bool
RepeatBudget::TryTake(const std::string& aService)
{
  const auto entry = this->tokens.find(aService);
  if (entry == this->tokens.end() || entry->second < 1.0) {
    return false;
  }
  entry->second -= 1.0;
  return true;
}

} // namespace jackdawwind
