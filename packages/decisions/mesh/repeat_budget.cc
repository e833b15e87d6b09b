#include "decisions/mesh/repeat_budget.h"

#include <algorithm>

namespace jackdawwind {

namespace {

/// Nodes to assume at least: one that has just started knows no other, and after a restart of the
/// whole fleet each would take the extra repeats for itself. The size of today's deployments.
constexpr std::size_t kLeastNodes = 16;

} // namespace

RepeatBudget::RepeatBudget(Options aOptions)
  : options(aOptions)
{
}

void
RepeatBudget::SetNodeCount(std::size_t aNodes)
{
  this->nodes = std::max(aNodes, kLeastNodes);
}

double
RepeatBudget::Capacity() const
{
  const double part = this->options.fleetExtra / kLevels / static_cast<double>(this->nodes);
  return std::max(part, 1.0);
}

void
RepeatBudget::NoteRequest(const std::string& aService)
{
  const auto entry = this->tokens.try_emplace(aService, this->Capacity()).first;
  entry->second = std::min(this->Capacity(), entry->second + this->options.fleetRatio / kLevels);
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
