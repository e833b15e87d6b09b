#include "decisions/mesh/residency.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

Residency::Residency(std::vector<std::string> aRegions)
  : restricted(!aRegions.empty())
  , regions(std::move(aRegions))
{
}

Residency
Residency::Of(const MeshRoute& aRoute, const MeshOrganisation* aOrganisation)
{
  Residency residency(aRoute.AllowedRegions());
  if (aOrganisation == nullptr || aOrganisation->AllowedRegions().empty()) {
    return residency;
  }
  Residency ofOrganisation(aOrganisation->AllowedRegions());
  if (!residency.IsRestricted()) {
    return ofOrganisation;
  }
  std::erase_if(residency.regions, [&ofOrganisation](const std::string& aRegion) {
    return !ofOrganisation.Allows(aRegion);
  });
  return residency;
}

bool
Residency::Allows(const std::string& aRegion) const
{
  return !this->restricted ||
         std::find(this->regions.begin(), this->regions.end(), aRegion) != this->regions.end();
}

} // namespace jackdawwind
