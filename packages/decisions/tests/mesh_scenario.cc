#include "decisions/tests/mesh_scenario.h"

namespace jackdawwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

MeshRoute
MakeRoute(const char* aHost, const RouteSpec& aSpec, bool aOpen)
{
  return MeshRoute({ .name = std::string(aSpec.prefix),
                     .host = aHost,
                     .prefix = aSpec.prefix,
                     .kind = aSpec.kind,
                     .maxAttempts = 2,
                     .timeout = aSpec.timeout,
                     .objective = seconds(1),
                     .priority = aSpec.priority,
                     .open = aOpen,
                     .parts = { SplitPart({ .service = aSpec.service, .weight = 1 }) } });
}

MeshConfiguration
MakeConfiguration(std::uint64_t aVersion, const std::vector<std::string>& aKeys, double aRate)
{
  return MeshConfiguration(
    { .version = aVersion,
      .services = { "fleet", "hires", "fuel" },
      .routes = { MakeRoute("api", { .prefix = "/fleet/", .service = "fleet" }, false),
                  MakeRoute("api",
                            { .prefix = "/book/",
                              .service = "hires",
                              .kind = RouteKind::kNonIdempotent,
                              .priority = 0 },
                            false),
                  MakeRoute(
                    "inner",
                    { .prefix = "/tariff/", .service = "fuel", .timeout = milliseconds(300) },
                    true) },
      .organisations = { MeshOrganisation(
        { .name = "north", .keyHashes = aKeys, .rate = aRate, .burst = aRate }) } });
}

void
StartHosts(FakeMesh& aMesh)
{
  aMesh.AddHost({ "a1", "ikeja", "lagos", "fleet" });
  aMesh.AddHost({ "a2", "ikeja", "lagos", "hires" });
  aMesh.AddHost({ "b1", "sharada", "kano", "fleet" });
  aMesh.AddHost({ "b2", "sharada", "kano", "hires" });
  aMesh.AddHost({ "b3", "sharada", "kano", "fuel" });
  aMesh.Advance(seconds(1));
}

void
StartFleet(FakeMesh& aMesh)
{
  StartHosts(aMesh);
  aMesh.Configure(MakeConfiguration(1));
  aMesh.Advance(seconds(4));
}

} // namespace jackdawwind
