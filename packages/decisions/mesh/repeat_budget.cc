#include "decisions/mesh/repeat_budget.h"

#include <algorithm>

namespace jackdawwind {

RepeatBudget::RepeatBudget(Options aOptions)
  : options(aOptions)
{
}

void
RepeatBudget::SetNodes(std::size_t aNodes)
{
  this->nodes = std::max<std::size_t>(aNodes, 1);
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
