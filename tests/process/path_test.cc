// End-to-end tests with separate processes: a caller, nodes in two failure domains, targets that
// make a child call, the log service and jackdawctl.
#include <gtest/gtest.h>

#include "process/fleet.h"

namespace jackdawwind::tests {
namespace {

constexpr int kOk = 0;
constexpr int kUnknownKey = 106;

// Guards against calls that fail between processes, and against tenant keys that reach a target.
TEST(Path, ChildCallCrossesNodesWithoutExposingKey)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  for (const char* node : { "a1", "a2", "b1", "b2" }) {
    const HttpAnswer answer = fleet.Call(node, TaggedRequest("/hires/available", node));
    EXPECT_EQ(answer.status, 200U) << answer.body;
    EXPECT_EQ(answer.ResultCode(), kOk);
    EXPECT_EQ(fleet.Executions("hires", "/available", node), 1);
  }
  EXPECT_FALSE(fleet.AnyTargetReceivedKey());
}

// Guards against rejections with a wrong result or run state, and against executing a rejected
// request.
TEST(Path, RejectedRequestsReportResultAndDoNotRun)
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
    { "no key", TaggedRequest("/hires/x", "refused"), "", 401, 105 },
    { "unknown service", TaggedRequest("/lorries/x", "refused"), "north", 404, 103 },
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
    EXPECT_EQ(answer.ResultCode(), testCase.result);
    EXPECT_EQ(answer.RunState(), "not_run");
  }
  EXPECT_EQ(fleet.Executions("hires", "/x", "refused"), 0);
  EXPECT_EQ(fleet.Call("a1", TaggedRequest("/hires/open", "open"), "").status, 200U);
}

// Guards against executing a booking twice when its idempotency key is repeated at any node while
// the log loses answers, and against executing one that the log cannot record.
TEST(Path, BookingWithIdempotencyKeyRunsOnce)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.SetLogFaults(R"({"mode":"lose_append_answers","count":2})");
  EXPECT_EQ(fleet.Call("a1", BookingRequest("first", "k1")).status, 200U);
  for (const char* node : { "a1", "a2", "b1", "b2" }) {
    const HttpAnswer repeat = fleet.Call(node, BookingRequest("first", "k1"));
    EXPECT_EQ(repeat.status, 409U) << repeat.body;
    EXPECT_NE(repeat.RunState(), "not_run");
  }
  EXPECT_EQ(fleet.Executions("fuel", "/book", "first"), 1);
  fleet.SetLogFaults(R"({"mode":"stall"})");
  const HttpAnswer refused = fleet.Call("b1", BookingRequest("second", "k2"));
  EXPECT_EQ(refused.status, 503U);
  EXPECT_EQ(refused.RunState(), "not_run");
  EXPECT_EQ(fleet.Executions("fuel", "/book", "second"), 0);
  EXPECT_EQ(fleet.Call("b1", TaggedRequest("/fuel/levels", "outage")).status, 200U);
}

// Guards against a revoked key that is still accepted on an open connection.
TEST(Path, RevokedKeyIsRejectedOnOpenConnections)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  HttpConnection connection(fleet.Port("b2", "callers"));
  HttpRequest request = TaggedRequest("/fuel/levels", "revoked");
  request.headers["X-Tenant-Key"] = fleet.Key("north");
  EXPECT_EQ(connection.Send(request).status, 200U);
  std::map<std::string, std::string> files = fleet.BaseConfiguration();
  files["50-revoked.yaml"] = "revoked_keys: [\"" + fleet.KeyHash("north") + "\"]\n";
  const ProgramResult applied = fleet.Apply(files);
  ASSERT_EQ(applied.status, 0) << applied.output;
  EXPECT_TRUE(WaitFor(
    [&connection, &request] { return connection.Send(request).ResultCode() == kUnknownKey; }));
  EXPECT_EQ(fleet.Call("a1", TaggedRequest("/fuel/levels", "other"), "south").status, 200U);
}

} // namespace
} // namespace jackdawwind::tests
