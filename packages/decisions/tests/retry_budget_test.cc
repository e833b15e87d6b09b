// Guards against retries that exceed the configured fraction of calls.
#include "decisions/retry/retry_budget.h"

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

int
WithdrawAll(RetryBudget& aBudget, const std::string& aOrganisation)
{
  int withdrawn = 0;
  while (aBudget.TryWithdraw(aOrganisation)) {
    ++withdrawn;
  }
  return withdrawn;
}

TEST(RetryBudget, TenCallsAddOneRetryAtRatioOneTenth)
{
  struct Case
  {
    const char* name;
    int calls;
    int retries;
  };
  const Case cases[] = {
    { "no call", 0, 0 },
    { "nine calls", 9, 0 },
    { "eleven calls", 11, 1 },
    { "more than the maximum", 1000, 10 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    RetryBudget budget(0.1);
    WithdrawAll(budget, "north");
    for (int call = 0; call < testCase.calls; ++call) {
      budget.Deposit("north");
    }
    EXPECT_EQ(WithdrawAll(budget, "north"), testCase.retries);
  }
}

TEST(RetryBudget, TheNodeBudgetLimitsAllOrganisationsTogether)
{
  RetryBudget budget(0.1);
  EXPECT_EQ(WithdrawAll(budget, "north"), 10);
  EXPECT_EQ(WithdrawAll(budget, "south"), 0);
}

} // namespace
} // namespace jackdawwind
