// Retry budgets of organisations and of the node: retries are earned by calls, so that retries
// cannot sustain an overload.
#pragma once

#include <map>
#include <string>

namespace jackdawwind {

class RetryBudget
{
public:
  /// aRatio retries are earned per call, at most kMaximum are saved.
  explicit RetryBudget(double aRatio);

  void SetRatio(double aRatio) { this->ratio = aRatio; }
  /// Earns the part of a retry that a first attempt is worth.
  void NoteCall(const std::string& aOrganisation);
  /// Takes one retry from the organisation's and the node's budget; false when either is short.
  bool TryTake(const std::string& aOrganisation);

private:
  static constexpr double kMaximum = 10;

  double ratio;
  double node = kMaximum;
  std::map<std::string, double> organisations;
};

} // namespace jackdawwind
