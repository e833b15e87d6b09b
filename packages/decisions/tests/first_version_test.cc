// Guards against a first configuration that is never used because of its version: 0 is a version
// like any other, and a node without a configuration needs whichever comes first.
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* const kNodes[] = { "a1", "a2", "b1", "b2", "b3" };

void
ExpectServedEverywhere(FakeMesh& aMesh, const char* aKey, ResultCode aCode)
{
  for (const char* node : kNodes) {
    SCOPED_TRACE(node);
    EXPECT_EQ(aMesh.PhaseOf(node), Phase::kServing);
    const std::uint64_t request = aMesh.Request(node, "api", "/fleet/1", aKey);
    aMesh.Advance(seconds(1));
    ASSERT_NE(aMesh.AnswerTo(request), nullptr);
    EXPECT_EQ(aMesh.AnswerTo(request)->code, aCode);
  }
}

TEST(FirstVersion, IsUsedHoweverItArrives)
{
  using Arrival = std::function<void(FakeMesh&, const MeshConfiguration&)>;
  struct Case
  {
    const char* name;
    Arrival arrive;
  };
  const std::vector<Case> cases = {
    { "all nodes read the store",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) { aMesh.Configure(aFirst); } },
    { "minutes after the start",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) {
        aMesh.Advance(seconds(150));
        aMesh.Configure(aFirst);
      } },
    { "from a peer that offers it",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) {
        aMesh.ConfigureOnly({ "b3" }, aFirst);
      } },
    { "from a peer whose offers are lost",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) {
        aMesh.LoseMessages(true);
        aMesh.ConfigureOnly({ "b3" }, aFirst);
        aMesh.Advance(milliseconds(200));
        aMesh.LoseMessages(false);
      } },
    { "after the end of a partition",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) {
        aMesh.Partition({ "b1", "b2", "b3" });
        aMesh.ConfigureOnly({ "a1" }, aFirst);
        aMesh.Advance(seconds(20));
        aMesh.Partition({});
        aMesh.Advance(seconds(20));
      } },
    { "from peers, after a restart without the store",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) {
        aMesh.Configure(aFirst);
        aMesh.Advance(seconds(4));
        for (const char* node : { "a1", "b2", "a2" }) {
          aMesh.Restart(node);
          aMesh.Advance(seconds(4));
        }
      } },
    { "from the store, after a restart of all nodes",
      [](FakeMesh& aMesh, const MeshConfiguration& aFirst) {
        aMesh.Configure(aFirst);
        aMesh.Advance(seconds(4));
        for (const char* node : kNodes) {
          aMesh.Restart(node);
        }
        aMesh.Advance(seconds(1));
        aMesh.ConfigureOnly({ "a2" }, aFirst);
      } },
  };
  for (const std::uint64_t version : { 0U, 7U }) {
    for (const Case& testCase : cases) {
      SCOPED_TRACE(std::string(testCase.name) + ", version " + std::to_string(version));
      FakeMesh mesh(1);
      StartHosts(mesh);
      testCase.arrive(mesh, MakeConfiguration(version));
      mesh.Advance(seconds(8));
      ExpectServedEverywhere(mesh, "north-key", ResultCode::kOk);
      // The next version follows, also through peers only.
      mesh.ConfigureOnly({ "a1" }, MakeConfiguration(version + 1, { "new-key" }));
      mesh.Advance(seconds(8));
      ExpectServedEverywhere(mesh, "north-key", ResultCode::kUnknownKey);
      // The first version does not return.
      mesh.Configure(MakeConfiguration(version));
      mesh.Advance(seconds(2));
      ExpectServedEverywhere(mesh, "north-key", ResultCode::kUnknownKey);
    }
  }
}

// Guards against requests for a configuration to peers that have none either.
TEST(FirstVersion, NoneIsNotRequestedFromPeersThatHaveNone)
{
  FakeMesh mesh(1);
  StartHosts(mesh);
  mesh.Advance(seconds(30));
  EXPECT_EQ(mesh.ConfigurationRequests(), 0U);
  mesh.ConfigureOnly({ "a1" }, MakeConfiguration(0));
  mesh.Advance(seconds(8));
  EXPECT_GE(mesh.ConfigurationRequests(), 4U);
}

// Guards against a node that refuses all requests, or goes on with another configuration than the
// store has, and whose log does not say why.
TEST(FirstVersion, LogSaysWhatANodeWaitsForAndWhatItIgnores)
{
  FakeMesh mesh(1);
  StartHosts(mesh);
  EXPECT_TRUE(mesh.LinesOf("a1", LogEvent::kConfigAwaited).empty());
  mesh.Advance(seconds(70));
  const std::vector<std::string> awaited = mesh.LinesOf("a1", LogEvent::kConfigAwaited);
  ASSERT_EQ(awaited.size(), 2U);
  EXPECT_TRUE(awaited[1].ends_with(" peers=4 requested=none store=verifying")) << awaited[1];
  mesh.Configure(MakeConfiguration(0));
  mesh.Advance(seconds(120));
  EXPECT_EQ(mesh.LinesOf("a1", LogEvent::kConfigAwaited).size(), 2U);
  mesh.Configure(MakeConfiguration(5));
  mesh.Configure(MakeConfiguration(5));
  EXPECT_TRUE(mesh.LinesOf("a1", LogEvent::kConfigIgnored).empty());
  mesh.Configure(MakeConfiguration(0));
  mesh.Configure(MakeConfiguration(5, { "new-key" }));
  const std::vector<std::string> ignored = mesh.LinesOf("a1", LogEvent::kConfigIgnored);
  ASSERT_EQ(ignored.size(), 2U);
  EXPECT_TRUE(ignored[0].ends_with(" version=0 in_force=5 source=store reason=older"));
  EXPECT_TRUE(ignored[1].ends_with(" version=5 in_force=5 source=store reason=other_content"));
}

} // namespace
} // namespace jackdawwind
