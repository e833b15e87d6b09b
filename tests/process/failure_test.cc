// Failure tests with real processes: killed and suspended nodes, silent connections, drains and
// faults of the log service.
#include <atomic>
#include <csignal>
#include <future>
#include <set>
#include <thread>

#include <gtest/gtest.h>

#include "process/fleet.h"

namespace jackdawwind::tests {
namespace {

constexpr const char* kSlowTarget = R"({"service_ms":1500})";
constexpr const char* kFast = R"({"service_ms":0})";

std::future<HttpAnswer>
CallAsync(const Fleet& aFleet, const std::string& aNode, const HttpRequest& aRequest)
{
  return std::async(std::launch::async,
                    [&aFleet, aNode, aRequest] { return aFleet.Call(aNode, aRequest); });
}

/// Calls one node in a loop until stopped; counts the calls and the answers other than 200.
class LoadGenerator
{
public:
  LoadGenerator(const Fleet& aFleet, std::string aNode, HttpRequest aRequest)
    : thread([this, &aFleet, node = std::move(aNode), request = std::move(aRequest)] {
      while (!this->stop.load()) {
        const HttpAnswer answer = aFleet.Call(node, request);
        ++this->calls;
        if (answer.status != 200) {
          ++this->failures;
          this->lastFailure = answer.body;
        }
      }
    })
  {
  }
  ~LoadGenerator() { this->Stop(); }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Stop()
  {
    this->stop.store(true);
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::atomic<int> calls{ 0 };
  std::atomic<int> failures{ 0 };
  /// Valid after Stop.
  std::string lastFailure;

private:
  std::atomic<bool> stop{ false };
  std::thread thread;
};

// Guards against re-sending a non-idempotent call after the node that dispatched it was killed or
// suspended, and against not re-sending an idempotent one.
TEST(Failure, BookingIsNotRepeatedWhenNodeIsKilledOrSuspended)
{
  for (const int signal : { SIGKILL, SIGSTOP }) {
    SCOPED_TRACE(signal == SIGKILL ? "killed" : "suspended");
    Fleet fleet;
    fleet.StartTwoDomains();
    fleet.SetTargetFaults("a2", kSlowTarget);
    fleet.SetTargetFaults("b2", kSlowTarget);
    std::future<HttpAnswer> booking = CallAsync(fleet, "a1", BookingRequest("booking", "k"));
    std::future<HttpAnswer> lookup =
      CallAsync(fleet, "a1", TaggedRequest("/fuel/levels", "lookup"));
    ASSERT_TRUE(WaitFor([&fleet] {
      return fleet.Executions("fuel", "/book", "booking") + fleet.Running("a2") >= 2;
    }));
    fleet.NodeProcess("a2").Signal(signal);
    const HttpAnswer booked = booking.get();
    EXPECT_NE(booked.status, 200U);
    EXPECT_EQ(booked.RunState(), "unknown") << booked.body;
    EXPECT_EQ(lookup.get().status, 200U) << "the look-up is re-sent to the other domain";
    EXPECT_LE(fleet.Executions("fuel", "/book", "booking"), 1);
    const HttpAnswer repeat = fleet.Call("b1", BookingRequest("booking", "k"));
    EXPECT_EQ(repeat.status, 409U) << repeat.body;
    EXPECT_LE(fleet.Executions("fuel", "/book", "booking"), 1);
    EXPECT_LE(fleet.Executions("fuel", "/levels", "lookup"), 4) << "one attempt and three re-sends";
  }
}

// Guards against calls that wait until their timeout on connections that have become silent.
TEST(Failure, SilentConnectionsAreReplaced)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.SetTargetFaults("b1", kSlowTarget);
  for (int call = 0; call < 10; ++call) {
    ASSERT_EQ(fleet.Call("a2", TaggedRequest("/hires/x", "before")).status, 200U);
  }
  fleet.SetRelay("a1", R"({"mode":"silent"})");
  for (int call = 0; call < 5; ++call) {
    EXPECT_EQ(fleet.Call("a2", TaggedRequest("/hires/x", "after")).status, 200U);
  }
}

// Guards against requests aborted by a graceful shutdown, and against a process that does not exit.
TEST(Failure, SigtermCompletesRequestsInFlight)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.SetTargetFaults("b1", R"({"service_ms":100})");
  fleet.SetTargetFaults("a1", R"({"service_ms":100})");
  LoadGenerator first(fleet, "a2", TaggedRequest("/hires/x", "load"));
  LoadGenerator second(fleet, "b2", TaggedRequest("/hires/x", "load"));
  ASSERT_TRUE(WaitFor([&first, &second] { return first.calls > 10 && second.calls > 10; }));
  fleet.NodeProcess("b1").Signal(SIGTERM);
  EXPECT_EQ(fleet.NodeProcess("b1").Wait(), 0);
  const int callsBefore = first.calls + second.calls;
  ASSERT_TRUE(WaitFor(
    [&first, &second, callsBefore] { return first.calls + second.calls > callsBefore + 20; }));
  first.Stop();
  second.Stop();
  EXPECT_EQ(first.failures, 0) << first.lastFailure;
  EXPECT_EQ(second.failures, 0) << second.lastFailure;
}

// Guards against dispatching calls to a target that has announced that it is draining.
TEST(Failure, DrainingTargetReceivesNoNewCalls)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.DrainTarget("a2");
  ASSERT_TRUE(WaitFor([&fleet] {
    for (const char* node : { "a1", "a2", "b1", "b2" }) {
      for (const Json::Value& member : fleet.Status(node)["members"]) {
        if (member["address"]["node"] == "a2" && member["target_state"] != "draining") {
          return false;
        }
      }
    }
    return true;
  }));
  const int before = fleet.ExecutionsAt("a2");
  for (const char* node : { "a1", "a2", "b1", "b2" }) {
    for (int call = 0; call < 5; ++call) {
      EXPECT_EQ(fleet.Call(node, TaggedRequest("/fuel/levels", "drained")).status, 200U);
    }
  }
  EXPECT_EQ(fleet.ExecutionsAt("a2"), before);
}

// Guards against accepting two changes based on one revision, and against nodes that converge to
// different revisions.
TEST(Failure, ConcurrentApplyAcceptsOneChangePerRevision)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.SetLogFaults(R"({"mode":"slow","delay_ms":200})");
  constexpr int kOperators = 4;
  std::vector<std::future<ProgramResult>> runs;
  for (int index = 0; index < kOperators; ++index) {
    std::map<std::string, std::string> files = fleet.BaseConfiguration();
    files["60-extra.yaml"] =
      "organisations:\n  - {name: extra" + std::to_string(index) + ", rate: 1, burst: 1}\n";
    runs.push_back(std::async(std::launch::async, [&fleet, files, index] {
      return fleet.Apply(files, std::to_string(index));
    }));
  }
  int accepted = 0;
  for (std::future<ProgramResult>& run : runs) {
    const ProgramResult result = run.get();
    EXPECT_TRUE(result.status == 0 || result.status == 3) << result.status << result.output;
    accepted += result.status == 0 ? 1 : 0;
  }
  EXPECT_GE(accepted, 1);
  fleet.SetLogFaults(R"({"mode":"none"})");
  EXPECT_TRUE(WaitFor([&fleet] { return fleet.Revisions().size() == 1; }));
}

// Guards against a configuration that is lost or reverted when the log is unavailable, loses
// answers or expires its records, and against a new node that cannot start after the records have
// expired.
TEST(Failure, ConfigurationSurvivesOutageLostAnswersAndExpiry)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  fleet.SetLogFaults(R"({"mode":"lose_append_answers","count":1})");
  std::map<std::string, std::string> files = fleet.BaseConfiguration();
  files["60-extra.yaml"] = "organisations:\n  - {name: extra, rate: 1, burst: 1}\n";
  const ProgramResult applied = fleet.Apply(files);
  ASSERT_EQ(applied.status, 0) << applied.output;
  ASSERT_TRUE(WaitFor([&fleet] { return fleet.Revisions().size() == 1; }));
  const std::string revision = *fleet.Revisions().begin();
  fleet.SetLogFaults(R"({"mode":"refuse"})");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_EQ(fleet.Call("b2", TaggedRequest("/fuel/levels", "outage")).status, 200U);
  fleet.SetLogFaults(R"({"stream":"control","expire_before":1000000})");
  fleet.SetLogFaults(R"({"mode":"none"})");
  fleet.AddNode({ "b3", "sharada", "kano", "" });
  EXPECT_TRUE(WaitFor([&fleet, &revision] { return fleet.Status("b3")["revision"] == revision; }));
  EXPECT_EQ(fleet.Revisions(), std::set<std::string>{ revision });
}

// Guards against processes that crash on input that is not HTTP or exceeds a limit.
TEST(Failure, InvalidInputIsRejectedAndNodeKeepsServing)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  const std::string longText(40'000, 'x');
  const HttpAnswer header =
    fleet.Call("a1", { .path = "/fuel/levels", .headers = { { "X-Long", longText } } });
  EXPECT_EQ(header.ResultCode(), 101);
  HttpRequest large = BookingRequest("large", "k");
  large.body.assign(9'000'000, 'x');
  const HttpAnswer body = fleet.Call("a1", large);
  EXPECT_EQ(body.ResultCode(), 102);
  EXPECT_EQ(SendRaw(fleet.Port("a1", "callers"), "\x16\x03\x01 not http\r\n\r\n").ResultCode(),
            100);
  SendRaw(fleet.Port("a1", "peer_control"), "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n{]}");
  SendRaw(fleet.Port("a1", "peer_calls"), "GET /fuel/x HTTP/1.1\r\nX-Jackdaw-Context: {}\r\n\r\n");
  SendRaw(fleet.Port("a1", "target"), "PUT /target HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]");
  EXPECT_EQ(fleet.Call("a1", TaggedRequest("/fuel/levels", "alive")).status, 200U);
}

} // namespace
} // namespace jackdawwind::tests
