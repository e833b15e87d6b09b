// Guards against a fleet that goes back with the platform's store when it returns from an older
// copy, that doesn't learn of its return, or that believes a wrong era of a peer.
#include "decisions/mesh/store_era.h"

#include <algorithm>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"
#include "values/text.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Report = StoreEra::Report;

TEST(StoreEra, OnlyTheStoreRaisesTheEra)
{
  const Time now{ seconds(100) };
  StoreEra era;
  EXPECT_EQ(era.NotePeer(std::nullopt, now), Report::kKnown);
  EXPECT_EQ(era.NotePeer(3, now), Report::kAsk);
  EXPECT_EQ(era.Known(), std::nullopt);
  EXPECT_TRUE(era.NoteStore(3));
  EXPECT_FALSE(era.NoteStore(3));
  EXPECT_FALSE(era.NoteStore(2));
  EXPECT_EQ(era.Known(), 3U);
  EXPECT_EQ(era.NotePeer(3, now), Report::kKnown);
}

// Guards against a first era of 0 that is taken for none.
TEST(StoreEra, BeginsAtAnyNumber)
{
  const Time now{ seconds(100) };
  StoreEra era;
  EXPECT_EQ(era.NotePeer(0, now), Report::kAsk);
  EXPECT_EQ(era.NotePeer(0, now), Report::kKnown);
  EXPECT_TRUE(era.NoteStore(0));
  EXPECT_FALSE(era.NoteStore(0));
  EXPECT_EQ(era.Known(), 0U);
  EXPECT_EQ(era.NotePeer(std::nullopt, now), Report::kKnown);
  EXPECT_EQ(era.NotePeer(1, now), Report::kAsk);
}

TEST(StoreEra, BoundsWhatWrongReportsCause)
{
  Time now{ seconds(100) };
  StoreEra era;
  era.NoteStore(3);
  for (const std::uint64_t wrong : { std::uint64_t(4) + StoreEra::kMaxJump, ~std::uint64_t(0) }) {
    EXPECT_NE(era.NotePeer(wrong, now), Report::kAsk);
  }
  // One read for a report that the store doesn't confirm, until the interval has passed.
  EXPECT_EQ(era.NotePeer(3 + StoreEra::kMaxJump, now), Report::kAsk);
  EXPECT_EQ(era.NotePeer(3 + StoreEra::kMaxJump, now), Report::kKnown);
  now += StoreEra::kRepeatInterval;
  EXPECT_EQ(era.NotePeer(4, now), Report::kAsk);
  // The store itself may jump further.
  EXPECT_TRUE(era.NoteStore(9000));
  EXPECT_EQ(era.NotePeer(9001, now), Report::kAsk);
}

std::size_t
CountLines(const FakeMesh& aMesh, const std::string& aNode, LogEvent aEvent, std::uint64_t aEra)
{
  const std::string start = " " + aNode + " " + std::string(ToText(aEvent)) + " ";
  const std::string era = " era=" + std::to_string(aEra) + " ";
  return static_cast<std::size_t>(
    std::count_if(aMesh.Lines().begin(), aMesh.Lines().end(), [&](const std::string& aLine) {
      const std::string padded = aLine + " ";
      return padded.find(start) != std::string::npos && padded.find(era) != std::string::npos;
    }));
}

TEST(MeshEra, PeersLearnAnEraThatTheStoreStated)
{
  for (const std::uint64_t era : { 4U, 0U }) {
    SCOPED_TRACE(era);
    FakeMesh mesh(1);
    StartFleet(mesh);
    mesh.Deliver("a1", StoreEraChanged({ .era = era }));
    // A node that follows the store tells its domain at once.
    mesh.Advance(milliseconds(100));
    EXPECT_EQ(CountLines(mesh, "a2", LogEvent::kStoreEraReported, era), 1U);
    mesh.Advance(seconds(10));
    EXPECT_EQ(CountLines(mesh, "a1", LogEvent::kStoreEraStarted, era), 1U);
    for (const char* node : { "a2", "b1", "b2", "b3" }) {
      SCOPED_TRACE(node);
      EXPECT_EQ(CountLines(mesh, node, LogEvent::kStoreEraReported, era), 1U);
      EXPECT_EQ(CountLines(mesh, node, LogEvent::kStoreEraStarted, era), 0U);
    }
  }
}

TEST(MeshEra, NodeThatWasCutOffLearnsTheEraFromAPeer)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  mesh.SetIsolated("b3", true);
  mesh.Deliver("a1", StoreEraChanged({ .era = 4 }));
  mesh.Deliver("a1", StoreEraChanged({ .era = 5 }));
  mesh.Advance(seconds(10));
  EXPECT_EQ(CountLines(mesh, "b3", LogEvent::kStoreEraReported, 5), 0U);
  mesh.SetIsolated("b3", false);
  mesh.Advance(seconds(15));
  EXPECT_EQ(CountLines(mesh, "b3", LogEvent::kStoreEraReported, 5), 1U);
}

TEST(MeshEra, WrongErasOfAPeerAreNotPassedOn)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  for (const std::uint64_t wrong : { 900U, 5000U }) {
    mesh.Deliver("a1",
                 PeerReceived({ .message = StoreContact({ .sender = PeerAddress({ .node = "x" }),
                                                          .storeEra = wrong }) }));
  }
  mesh.Advance(seconds(10));
  EXPECT_EQ(CountLines(mesh, "a1", LogEvent::kStoreEraReported, 900), 1U);
  EXPECT_EQ(CountLines(mesh, "a1", LogEvent::kStoreEraIgnored, 5000), 1U);
  for (const char* node : { "a2", "b1", "b2", "b3" }) {
    EXPECT_EQ(CountLines(mesh, node, LogEvent::kStoreEraReported, 900), 0U);
    EXPECT_EQ(CountLines(mesh, node, LogEvent::kStoreEraIgnored, 5000), 0U);
  }
}

// The store acknowledged version 7, which revokes a key, and lost it. It returns with version 1.
TEST(MeshEra, RevocationThatTheStoreLostStaysInForce)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  mesh.ConfigureOnly({ "a1" }, MakeConfiguration(7, { "new-key" }));
  mesh.Deliver("a1", StoreEraChanged({ .era = 2 }));
  mesh.ConfigureOnly({ "a1" }, MakeConfiguration(1));
  mesh.Advance(seconds(2));
  // A node that starts now knows nothing but the older version.
  mesh.Restart("b2");
  mesh.Deliver("b2", StoreEraChanged({ .era = 2 }));
  mesh.ConfigureOnly({ "b2" }, MakeConfiguration(1));
  mesh.Advance(seconds(2));
  for (const char* node : { "a1", "a2", "b1", "b2", "b3" }) {
    SCOPED_TRACE(node);
    mesh.ConfigureOnly({ node }, MakeConfiguration(1));
    const std::uint64_t revoked = mesh.Request(node, "api", "/fleet/1", "north-key");
    const std::uint64_t current = mesh.Request(node, "api", "/fleet/1", "new-key");
    mesh.Advance(seconds(1));
    EXPECT_EQ(mesh.AnswerTo(revoked)->code, ResultCode::kUnknownKey);
    EXPECT_EQ(mesh.AnswerTo(current)->code, ResultCode::kOk);
  }
}

TEST(MeshEra, TargetThatSignedOffStaysAway)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  mesh.RemoveTarget("a1");
  for (const char* node : { "a1", "a2", "b1", "b2", "b3" }) {
    mesh.Deliver(node, StoreEraChanged({ .era = 2 }));
    mesh.ConfigureOnly({ node }, MakeConfiguration(1));
  }
  mesh.Advance(milliseconds(500));
  // The node restarts as well, and reads the registry of the copy.
  mesh.Restart("a1");
  mesh.Advance(milliseconds(500));
  mesh.Deliver("a1",
               TargetHeartbeat({ .instance = "i-a1",
                                 .host = "a1",
                                 .port = 80,
                                 .service = "fleet",
                                 .state = TargetState::kReady,
                                 .slots = 8,
                                 .sequence = 1,
                                 .startedAtMs = 1 }));
  mesh.Advance(milliseconds(500));
  const std::uint64_t request = mesh.Request("a2", "api", "/fleet/1", "north-key");
  mesh.Advance(seconds(1));
  EXPECT_EQ(mesh.AnswerTo(request)->code, ResultCode::kOk);
  for (const FakeMesh::Run& run : mesh.Runs()) {
    EXPECT_NE(run.node, "a1");
  }
}

} // namespace
} // namespace jackdawwind
