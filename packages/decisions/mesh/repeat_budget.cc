#include "decisions/mesh/repeat_budget.h"

#include <algorithm>

namespace jackdawwind {

namespace {

} // namespace

RepeatBudget::RepeatBudget(Options aOptions)
  : options(aOptions)
{
}

void
RepeatBudget::SetNodeCount(std::size_t aNodeCount)
{
  this->nodeCount = std::max<std::size_t>(aNodeCount, 1);
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

void
RepeatBudget::Return(const std::string& aService)
{
  const auto entry = this->tokens.find(aService);
  if (entry != this->tokens.end()) {
    entry->second = std::min(this->Capacity(), entry->second + 1.0);
  }
}

} // namespace jackdawwind
