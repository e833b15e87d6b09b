#include "decisions/retry/retry_budget.h"

#include <algorithm>

namespace jackdawwind {

RetryBudget::RetryBudget(double aRatio)
  : ratio(aRatio)
{
}

void
RetryBudget::Deposit(const std::string& aOrganisation)
{
  this->nodeTokens = std::min(kMaxTokens, this->nodeTokens + this->ratio);
  double& organisationTokens =
    this->tokensByOrganisation.try_emplace(aOrganisation, kMaxTokens).first->second;
  organisationTokens = std::min(kMaxTokens, organisationTokens + this->ratio);
}

bool
RetryBudget::TryWithdraw(const std::string& aOrganisation)
{
  double& organisationTokens =
    this->tokensByOrganisation.try_emplace(aOrganisation, kMaxTokens).first->second;
  if (this->nodeTokens < 1 || organisationTokens < 1) {
    return false;
  }
  this->nodeTokens -= 1;
  organisationTokens -= 1;
  return true;
}

} // namespace jackdawwind
