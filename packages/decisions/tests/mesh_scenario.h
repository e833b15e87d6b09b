// Configuration and fleet that tests of MeshCore share.
//
//   FakeMesh mesh(1);
//   StartFleet(mesh);
//   mesh.Request("a2", "api", "/fleet/1", "north-key");
#pragma once

#include <string>
#include <vector>

#include "decisions/tests/fake_mesh.h"

namespace jackdawwind {

struct RouteSpec
{
  const char* prefix;
  const char* service;
  RouteKind kind = RouteKind::kIdempotent;
  std::uint32_t priority = 2;
  Duration timeout = std::chrono::seconds(2);
};

MeshRoute MakeRoute(const char* aHost, const RouteSpec& aSpec, bool aOpen);

/// Routes /fleet/ and /book/ of the host "api" for the organisation "north", and the open route
/// /tariff/ of the host "inner".
MeshConfiguration MakeConfiguration(std::uint64_t aVersion,
                                    const std::vector<std::string>& aKeys = { "north-key" },
                                    double aRate = 1000);

/// Two hosts of each of fleet and hires and one of fuel, configured and acquainted.
void StartFleet(FakeMesh& aMesh);

} // namespace jackdawwind
