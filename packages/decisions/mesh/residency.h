// Regions in which a request may be served: data residency.
//
//   const Residency residency = Residency::Of(route, organisation);
//   if (!residency.Allows("lagos")) { ... the request must not be sent there ... }
//   const Residency received(context.AllowedRegions());
//
// A route and an organisation may each list the regions in which requests may be served; where both
// have a list, a region has to be in both. The lists of one request have a few entries, so all
// operations are linear in them. A default-constructed value allows every region. A value never
// changes; it compares equal to another if both list the same regions in the same order.
#pragma once

#include <string>
#include <vector>

#include "values/generated/mesh.h"

namespace jackdawwind {

class Residency
{
public:
  Residency() = default;
  /// Reads a list in which no entry stands for no restriction.
  explicit Residency(std::vector<std::string> aRegions);
  /// Residency of a request. aOrganisation: null for a request without a key.
  static Residency Of(const MeshRoute& aRoute, const MeshOrganisation* aOrganisation);

  bool Allows(const std::string& aRegion) const;
  bool IsRestricted() const { return this->restricted; }
  /// Allowed regions; empty without a restriction, and if no region is allowed.
  const std::vector<std::string>& Regions() const { return this->regions; }

  friend bool operator==(const Residency&, const Residency&) = default;

private:
  bool restricted = false;
  std::vector<std::string> regions;
};

} // namespace jackdawwind
