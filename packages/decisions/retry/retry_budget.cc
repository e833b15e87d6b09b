#include "decisions/retry/retry_budget.h"

#include <algorithm>

namespace jackdawwind {

RetryBudget::RetryBudget(double aRatio)
  : ratio(aRatio)
{
}

void
RetryBudget::NoteCall(const std::string& aOrganisation)
{
  this->node = std::min(kMaximum, this->node + this->ratio);
  double& saved = this->organisations.try_emplace(aOrganisation, kMaximum).first->second;
  saved = std::min(kMaximum, saved + this->ratio);
}

bool
RetryBudget::TryTake(const std::string& aOrganisation)
{
  double& saved = this->organisations.try_emplace(aOrganisation, kMaximum).first->second;
  if (this->node < 1 || saved < 1) {
    return false;
  }
  this->node -= 1;
  saved -= 1;
  return true;
}

} // namespace jackdawwind
