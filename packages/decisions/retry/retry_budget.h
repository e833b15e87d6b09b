// Retry budgets of the node and of each organisation: token buckets that are filled by calls, so
// that retries stay a fixed fraction of calls and cannot sustain an overload.
//
//   budget.Deposit(organisation);                          // for the first attempt of a call
//   if (budget.TryWithdraw(organisation)) { ... }          // retry
#pragma once

#include <map>
#include <string>

namespace jackdawwind {

class RetryBudget
{
public:
  /// Each call adds aRatio tokens, up to kMaxTokens; a retry costs one. Budgets start full.
  explicit RetryBudget(double aRatio);

  void SetRatio(double aRatio) { this->ratio = aRatio; }
  /// Adds the tokens of one call to the budgets of the organisation and of the node.
  void Deposit(const std::string& aOrganisation);
  /// Takes one token from both budgets; false, without taking any, when either has less than one.
  bool TryWithdraw(const std::string& aOrganisation);

private:
  static constexpr double kMaxTokens = 10;

  double ratio;
  double nodeTokens = kMaxTokens;
  std::map<std::string, double> tokensByOrganisation;
};

} // namespace jackdawwind
