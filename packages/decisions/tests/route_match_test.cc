// Guards against a call that is matched to the wrong route, and so gets the importance and
// idempotence of another one.
#include "decisions/routing/route_match.h"

#include <gtest/gtest.h>

namespace jackdawwind {
namespace {

ControlState
MakeState()
{
  const Service service({ .name = "hires",
                          .slots = 1,
                          .connections = 1,
                          .routes = {
                            Route({ .method = "*", .prefix = "/" }),
                            Route({ .method = "*", .prefix = "/book" }),
                            Route({ .method = "POST", .prefix = "/book" }),
                            Route({ .method = "GET", .prefix = "/book/open" }),
                          } });
  return ControlState(
    ConfigSnapshot({ .items = { ConfigItem({ .path = "services/hires", .body = service }) } }));
}

TEST(MatchRoute, PrefersTheLongestPrefixThenAnExactMethod)
{
  struct Case
  {
    const char* method;
    const char* path;
    const char* expected;
  };
  const Case cases[] = {
    { "GET", "/", "* /" },
    { "GET", "/booking", "* /" },
    { "GET", "/book", "* /book" },
    { "GET", "/book/7", "* /book" },
    { "POST", "/book/7", "POST /book" },
    { "GET", "/book/open", "GET /book/open" },
    { "POST", "/book/open", "POST /book" },
  };
  const ControlState state = MakeState();
  for (const Case& testCase : cases) {
    SCOPED_TRACE(std::string(testCase.method) + " " + testCase.path);
    const RouteMatch found = MatchRoute(state, "hires", testCase.method, testCase.path);
    ASSERT_TRUE(std::holds_alternative<Route>(found));
    const Route& route = std::get<Route>(found);
    EXPECT_EQ(route.Method() + " " + route.Prefix(), testCase.expected);
  }
  EXPECT_EQ(MatchRoute(state, "fuel", "GET", "/"), RouteMatch(ResultCode::kUnknownService));
  EXPECT_EQ(MatchRoute(state, "hires", "GET", ""), RouteMatch(ResultCode::kUnknownRoute));
}

} // namespace
} // namespace jackdawwind
