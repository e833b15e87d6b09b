// Configuration and fleet shared by the tests of MeshCore.
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

/// aOpen: the route needs no key.
MeshRoute MakeRoute(const char* aHost, const RouteSpec& aSpec, bool aOpen);

/// Configuration with the routes /fleet/ and /book/ of the host "api", the open route /tariff/ of
/// the host "inner", and the organisation "north". aRate: quota of "north" in requests per second,
/// also its burst.
MeshConfiguration MakeConfiguration(std::uint64_t aVersion,
                                    const std::vector<std::string>& aKeys = { "north-key" },
                                    double aRate = 1000);

/// Starts two hosts each for the services fleet and hires and one for fuel.
void StartHosts(FakeMesh& aMesh);
/// Starts these hosts, applies MakeConfiguration(1), and waits until the nodes know each other.
void StartFleet(FakeMesh& aMesh);

} // namespace jackdawwind
