// Guards against retries that outgrow the calls that earn them.
#include "decisions/retry/retry_budget.h"

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

int
TakeAll(RetryBudget& aBudget, const std::string& aOrganisation)
{
  int taken = 0;
  while (aBudget.TryTake(aOrganisation)) {
    ++taken;
  }
  return taken;
}

TEST(RetryBudget, ARetryIsEarnedByTenCalls)
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
    { "more than can be saved", 1000, 10 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    RetryBudget budget(0.1);
    TakeAll(budget, "north");
    for (int call = 0; call < testCase.calls; ++call) {
      budget.NoteCall("north");
    }
    EXPECT_EQ(TakeAll(budget, "north"), testCase.retries);
  }
}

TEST(RetryBudget, OrganisationsShareTheBudgetOfTheNode)
{
  RetryBudget budget(0.1);
  EXPECT_EQ(TakeAll(budget, "north"), 10);
  EXPECT_EQ(TakeAll(budget, "south"), 0);
}

} // namespace
} // namespace jackdawwind
