// Guards against requests that reach a target in a region in which they may not be served: by
// choice of the entry node, on a retry, or because another node forwards them there.
#include "decisions/mesh/residency.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"

namespace jackdawwind {
namespace {

using std::chrono::seconds;
using Regions = std::vector<std::string>;

/// MakeConfiguration(2) with these regions for the route /fleet/ and for the organisation.
MeshConfiguration
Restricted(const Regions& aOfRoute, const Regions& aOfOrganisation)
{
  MeshConfiguration::Fields fields = MakeConfiguration(2).ToFields();
  MeshRoute::Fields route = fields.routes[0].ToFields();
  route.allowedRegions = aOfRoute;
  fields.routes[0] = MeshRoute(std::move(route));
  MeshOrganisation::Fields organisation = fields.organisations[0].ToFields();
  organisation.allowedRegions = aOfOrganisation;
  fields.organisations[0] = MeshOrganisation(std::move(organisation));
  return MeshConfiguration(std::move(fields));
}

TEST(Residency, RequestRunsOnlyWhereRouteAndOrganisationAllowIt)
{
  struct Case
  {
    const char* name;
    Regions route;
    Regions organisation;
    /// Node that runs a request of a1, whose own target is in lagos; empty for none.
    std::string node;
  };
  const Case cases[] = {
    { "no list", {}, {}, "a1" },
    { "route", { "kano" }, {}, "b1" },
    { "organisation", {}, { "kano" }, "b1" },
    { "both, one region in common", { "lagos", "kano" }, { "enugu", "kano" }, "b1" },
    { "both, nothing in common", { "lagos" }, { "kano" }, "" },
    { "no target there", { "enugu" }, {}, "" },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    FakeMesh mesh(1);
    StartFleet(mesh);
    mesh.Configure(Restricted(testCase.route, testCase.organisation));
    const std::uint64_t request = mesh.Request("a1", "api", "/fleet/1", "north-key");
    mesh.Advance(seconds(1));
    ASSERT_NE(mesh.AnswerTo(request), nullptr);
    const bool runs = !testCase.node.empty();
    EXPECT_EQ(mesh.AnswerTo(request)->code, runs ? ResultCode::kOk : ResultCode::kNoAllowedRegion);
    ASSERT_EQ(mesh.RunsOf(request), runs ? 1U : 0U);
    if (runs) {
      EXPECT_EQ(mesh.Runs().back().node, testCase.node);
    } else {
      EXPECT_EQ(mesh.AnswerTo(request)->status, 503U);
      EXPECT_EQ(mesh.AnswerTo(request)->run, RunState::kNotRun);
    }
  }
}

TEST(Residency, RetryStaysInTheAllowedRegions)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  mesh.Configure(Restricted({ "lagos" }, {}));
  mesh.SetBehaviour("a1", FakeMesh::TargetBehaviour::kBreakConnection);
  const std::uint64_t request = mesh.Request("b2", "api", "/fleet/1", "north-key");
  mesh.Advance(seconds(3));
  ASSERT_NE(mesh.AnswerTo(request), nullptr);
  ASSERT_EQ(mesh.RunsOf(request), 1U);
  EXPECT_EQ(mesh.Runs().back().node, "a1");
}

TEST(Residency, NodeRefusesHopThatIsNotAllowedInItsRegion)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  for (const bool allowed : { false, true }) {
    mesh.Deliver(
      "a1",
      HopArrived({ .exchange = allowed ? 1002U : 1001U,
                   .requestId = "hop",
                   .context = HopContext({ .routeName = "/fleet/",
                                           .service = "fleet",
                                           .rank = 1000,
                                           .remaining = seconds(1),
                                           .allowedRegions = { allowed ? "lagos" : "kano" } }) }));
    EXPECT_EQ(mesh.RunningAt("a1"), allowed ? 1U : 0U);
  }
  EXPECT_NE(mesh.Lines().back().find("code=no_allowed_region"), std::string::npos);
}

} // namespace
} // namespace jackdawwind
