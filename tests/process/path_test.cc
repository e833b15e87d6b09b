// The whole path as separate processes: a caller, nodes in two failure domains, targets with a
// child call, the log service and the operators' command.
#include <gtest/gtest.h>

#include "process/fleet.h"

namespace jackdawwind::tests {
namespace {

constexpr int kOk = 0;
constexpr int kUnknownKey = 106;

// Guards against a path that works only inside one process, and against keys that reach a target.
TEST(Path, ACallWithAChildCallCrossesNodesAndNoTargetSeesTheKey)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  for (const char* node : { "a1", "a2", "b1", "b2" }) {
    const HttpAnswer answer = fleet.Call(node, Tagged("/hires/available", node));
    EXPECT_EQ(answer.status, 200U) << answer.body;
    EXPECT_EQ(answer.Result(), kOk);
    EXPECT_EQ(fleet.Executions("hires", "/available", node), 1);
  }
  EXPECT_FALSE(fleet.AnyTargetSawAKey());
}

// Guards against refusals that are wrong about the run state, and runs for nobody.
TEST(Path, RefusalsAreNumberedAndNothingRuns)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  struct Case
  {
    const char* name;
    HttpRequest request;
    const char* key;
    unsigned status;
    int result;
  };
  const Case cases[] = {
    { "no key", Tagged("/hires/x", "refused"), "", 401, 105 },
    { "unknown service", Tagged("/lorries/x", "refused"), "north", 404, 103 },
    { "unknown route", { .method = "PUT", .path = "/hires/x" }, "north", 404, 104 },
    { "stolen call id",
      { .path = "/hires/x", .headers = { { "X-Call-Id", "0123456789abcdef" } } },
      "",
      401,
      105 },
    { "no service", { .path = "/" }, "north", 400, 100 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    const HttpAnswer answer = fleet.Call("a1", testCase.request, testCase.key);
    EXPECT_EQ(answer.status, testCase.status);
    EXPECT_EQ(answer.Result(), testCase.result);
    EXPECT_EQ(answer.Run(), "not_run");
  }
  EXPECT_EQ(fleet.Executions("hires", "/x", "refused"), 0);
  EXPECT_EQ(fleet.Call("a1", Tagged("/hires/open", "open"), "").status, 200U);
}

// Guards against a booking that runs again after its connection broke, over the log's lost answers.
TEST(Path, AKeyedBookingRunsOnceWhateverIsRepeated)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.SetLogFaults(R"({"mode":"lose_append_answers","count":2})");
  EXPECT_EQ(fleet.Call("a1", Booking("first", "k1")).status, 200U);
  for (const char* node : { "a1", "a2", "b1", "b2" }) {
    const HttpAnswer repeat = fleet.Call(node, Booking("first", "k1"));
    EXPECT_EQ(repeat.status, 409U) << repeat.body;
    EXPECT_NE(repeat.Run(), "not_run");
  }
  EXPECT_EQ(fleet.Executions("fuel", "/book", "first"), 1);
  fleet.SetLogFaults(R"({"mode":"stall"})");
  const HttpAnswer refused = fleet.Call("b1", Booking("second", "k2"));
  EXPECT_EQ(refused.status, 503U);
  EXPECT_EQ(refused.Run(), "not_run");
  EXPECT_EQ(fleet.Executions("fuel", "/book", "second"), 0);
  EXPECT_EQ(fleet.Call("b1", Tagged("/fuel/levels", "outage")).status, 200U);
}

// Guards against a key that goes on working on an open connection after it was revoked.
TEST(Path, ARevokedKeyStopsOnOpenConnections)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  HttpConnection connection(fleet.Port("b2", "callers"));
  HttpRequest request = Tagged("/fuel/levels", "revoked");
  request.headers["X-Tenant-Key"] = fleet.Key("north");
  EXPECT_EQ(connection.Send(request).status, 200U);
  std::map<std::string, std::string> files = fleet.BaseConfiguration();
  files["50-revoked.yaml"] = "revoked_keys: [\"" + fleet.KeyHash("north") + "\"]\n";
  const ProgramResult applied = fleet.Apply(files);
  ASSERT_EQ(applied.status, 0) << applied.output;
  EXPECT_TRUE(
    WaitFor([&connection, &request] { return connection.Send(request).Result() == kUnknownKey; }));
  EXPECT_EQ(fleet.Call("a1", Tagged("/fuel/levels", "other"), "south").status, 200U);
}

} // namespace
} // namespace jackdawwind::tests
