#include "decisions/mesh/route_table.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

RouteTable::RouteTable(MeshConfiguration aConfiguration)
  : configuration(std::move(aConfiguration))
{
  for (const MeshRoute& route : this->configuration.Routes()) {
    this->byHost[route.Host()].push_back(&route);
  }
  for (std::pair<const std::string, std::vector<const MeshRoute*>>& entry : this->byHost) {
    std::stable_sort(entry.second.begin(),
                     entry.second.end(),
                     [](const MeshRoute* aLeft, const MeshRoute* aRight) {
                       return aLeft->Prefix().size() > aRight->Prefix().size();
                     });
  }
  for (const MeshOrganisation& organisation : this->configuration.Organisations()) {
    this->byName.emplace(organisation.Name(), &organisation);
    for (const std::string& hash : organisation.KeyHashes()) {
      this->byKey.emplace(hash, &organisation);
    }
  }
}

const MeshRoute*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto found = this->byHost.find(aHost);
  if (found == this->byHost.end()) {
    return nullptr;
  }
  for (const MeshRoute* route : found->second) {
    if (aPath.starts_with(route->Prefix())) {
      return route;
    }
  }
  return nullptr;
}

const MeshOrganisation*
RouteTable::FindOrganisationByKey(const std::string& aKeyHash) const
{
  const auto found = this->byKey.find(aKeyHash);
  return found == this->byKey.end() ? nullptr : found->second;
}

const MeshOrganisation*
RouteTable::FindOrganisation(const std::string& aName) const
{
  const auto found = this->byName.find(aName);
  return found == this->byName.end() ? nullptr : found->second;
}

bool
RouteTable::HasService(const std::string& aService) const
{
  const std::vector<std::string>& services = this->configuration.Services();
  return std::find(services.begin(), services.end(), aService) != services.end();
}

} // namespace jackdawwind
