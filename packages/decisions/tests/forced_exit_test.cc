// Guards against requests that a planned stop ends without an answer: when a node exits although
// requests are still in progress, each of them has been answered, and those that did not run are
// answered so, since only then may a caller repeat a booking.
#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time from the stop request until the node has exited at the latest. The last millisecond is the
/// way of an answer to another node.
const Duration kUntilExit = MeshCore::Options().drainTimeout + milliseconds(2);

/// Starts the hosts a1 and a3 of fleet, a2 of hires, whose target runs two requests at once, and a4
/// of fuel. A booking may take up to twelve seconds in all.
void
StartBookings(FakeMesh& aMesh, const FakeMesh::Work& aBooking)
{
  aMesh.AddHost({ "a1", "ikeja", "lagos", "fleet" });
  aMesh.AddHost({ "a2", "ikeja", "lagos", "hires" }, 2);
  aMesh.AddHost({ "a3", "ikeja", "lagos", "fleet" });
  aMesh.AddHost({ "a4", "ikeja", "lagos", "fuel" });
  aMesh.Advance(seconds(1));
  MeshConfiguration::Fields fields = MakeConfiguration(1).ToFields();
  fields.routes = { MakeRoute("api",
                              { .prefix = "/book/",
                                .service = "hires",
                                .kind = RouteKind::kNonIdempotent,
                                .timeout = seconds(12) },
                              false),
                    MakeRoute("inner", { .prefix = "/tariff/", .service = "fuel" }, true) };
  aMesh.Configure(MeshConfiguration(std::move(fields)));
  aMesh.SetWork("/book/", aBooking);
  aMesh.Advance(seconds(4));
}

std::vector<std::uint64_t>
Book(FakeMesh& aMesh, const std::string& aNode, int aCount)
{
  std::vector<std::uint64_t> requests;
  for (int index = 0; index < aCount; ++index) {
    requests.push_back(aMesh.Request(aNode, "api", "/book/1", "north-key", seconds(12)));
    aMesh.Advance(milliseconds(10));
  }
  return requests;
}

/// Expects that all requests are answered as not run.
void
ExpectNotRun(const FakeMesh& aMesh, const std::vector<std::uint64_t>& aRequests)
{
  for (const std::uint64_t request : aRequests) {
    SCOPED_TRACE("request " + std::to_string(request));
    const FakeMesh::Answer* answer = aMesh.AnswerTo(request);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->run, RunState::kNotRun);
    EXPECT_GT(answer->retryAfter, Duration::zero());
    EXPECT_EQ(aMesh.RunsOf(request), 0U);
  }
}

// Guards against callers of a stopping node whose requests wait at another node and who get no
// answer, although the requests never ran.
TEST(ForcedExit, RequestsThatWaitAtAnotherNodeAreAnsweredAsNotRun)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = seconds(3) });
  Book(mesh, "a3", 4);
  const std::vector<std::uint64_t> waiting = Book(mesh, "a1", 2);
  mesh.Drain("a1");
  mesh.Advance(kUntilExit);
  EXPECT_TRUE(mesh.Drained("a1"));
  ExpectNotRun(mesh, waiting);
}

// Guards against a lost datagram that leaves the other node with the old deadlines.
TEST(ForcedExit, WaitingRequestsAreAnsweredAsNotRunAlsoAfterALostMessage)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = seconds(3) });
  Book(mesh, "a3", 4);
  const std::vector<std::uint64_t> waiting = Book(mesh, "a1", 2);
  mesh.LoseMessages(true);
  mesh.Drain("a1");
  mesh.Advance(seconds(1));
  mesh.LoseMessages(false);
  mesh.Advance(kUntilExit - seconds(1));
  ExpectNotRun(mesh, waiting);
}

// Guards against an answer that says "not run" for a request that an exiting node leaves running.
TEST(ForcedExit, RequestsThatRunAtAnotherNodeAreAnsweredAsUnknown)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = seconds(10) });
  const std::vector<std::uint64_t> running = Book(mesh, "a1", 2);
  mesh.Drain("a1");
  mesh.Advance(kUntilExit);
  EXPECT_TRUE(mesh.Drained("a1"));
  for (const std::uint64_t request : running) {
    const FakeMesh::Answer* answer = mesh.AnswerTo(request);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->run, RunState::kUnknown);
    EXPECT_EQ(mesh.RunsOf(request), 1U);
  }
}

// Guards against requests that wait beside a stopping node's target until their connection is
// closed, so that the nodes that forwarded them cannot tell that they did not run.
TEST(ForcedExit, RequestsThatWaitAtTheStoppingNodeAreAnsweredAsNotRun)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = seconds(8) });
  const std::vector<std::uint64_t> running = Book(mesh, "a3", 2);
  const std::vector<std::uint64_t> waiting = Book(mesh, "a3", 2);
  mesh.Drain("a2");
  mesh.Advance(kUntilExit);
  EXPECT_TRUE(mesh.Drained("a2"));
  ExpectNotRun(mesh, waiting);
  for (const std::uint64_t request : running) {
    ASSERT_NE(mesh.AnswerTo(request), nullptr);
    EXPECT_EQ(mesh.AnswerTo(request)->run, RunState::kUnknown);
  }
}

// Guards against requests that a stopping node takes from nodes that do not know of the stop: they
// would be cut at its exit, and a booking that was running may not be repeated.
TEST(ForcedExit, RequestsOfOtherNodesAreRejectedAfterTheDrainDelay)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = seconds(4) });
  mesh.LoseMessages(true);
  mesh.Drain("a2");
  mesh.Advance(MeshCore::Options().drainDelay);
  const std::vector<std::uint64_t> late = Book(mesh, "a3", 1);
  mesh.Advance(kUntilExit - MeshCore::Options().drainDelay);
  ExpectNotRun(mesh, late);
}

// Guards against running requests that fail during a drain, because the calls that they make are
// rejected like new requests.
TEST(ForcedExit, CallsOfRunningRequestsAreServedDuringTheDrain)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = seconds(3), .calls = { "/tariff/1" } });
  Book(mesh, "a3", 1);
  mesh.Drain("a2");
  mesh.Advance(milliseconds(3100));
  ASSERT_EQ(mesh.Runs().size(), 2U);
  EXPECT_EQ(mesh.Runs().back().node, "a4");
  // Nothing runs beside the node any more, so that this can only be a caller's request.
  const std::uint64_t request = mesh.Request("a2", "inner", "/tariff/1", std::nullopt);
  mesh.Advance(milliseconds(10));
  ASSERT_NE(mesh.AnswerTo(request), nullptr);
  EXPECT_EQ(mesh.AnswerTo(request)->code, ResultCode::kNodeDraining);
}

// Guards against a request that starts so late that the exit of its entry node cuts it: the target
// has to be told the time that is really left.
TEST(ForcedExit, ARequestThatStartsDuringTheDrainIsGivenTheTimeUntilTheExit)
{
  FakeMesh mesh(1);
  StartBookings(mesh, { .time = milliseconds(500) });
  mesh.Drain("a1");
  const Time exit = mesh.Now() + MeshCore::Options().drainTimeout;
  Book(mesh, "a1", 1);
  mesh.Advance(seconds(1));
  ASSERT_EQ(mesh.Runs().size(), 1U);
  EXPECT_LT(mesh.Runs().front().at + mesh.Runs().front().timeout, exit);
}

} // namespace
} // namespace jackdawwind
