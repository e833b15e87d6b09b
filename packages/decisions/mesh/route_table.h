// Index of one configuration: routes by host name and path, organisations by key.
//
//   RouteTable table(configuration);
//   const MeshRoute* route = table.Find("api.example", "/fleet/17");     // longest prefix wins
//   const MeshOrganisation* organisation = table.FindOrganisationByKey(hash);
//
// A look-up costs one tree access and a scan of the prefixes of one host, longest first. Not
// copied: pointers stay valid as long as the table lives.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "values/generated/mesh.h"

namespace jackdawwind {

class RouteTable
{
public:
  explicit RouteTable(MeshConfiguration aConfiguration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  const MeshConfiguration& Configuration() const { return this->configuration; }
  std::uint64_t Version() const { return this->configuration.Version(); }
  /// Whether a route that is not open needs a key.
  bool NeedsKeys() const { return !this->configuration.Organisations().empty(); }

  /// Null when no prefix of the host begins the path.
  const MeshRoute* Find(std::string_view aHost, std::string_view aPath) const;
  /// Null when no organisation holds a key with this hash.
  const MeshOrganisation* FindOrganisationByKey(const std::string& aKeyHash) const;
  /// Null when there is no such organisation.
  const MeshOrganisation* FindOrganisation(const std::string& aName) const;
  bool HasService(const std::string& aService) const;

private:
  MeshConfiguration configuration;
  std::map<std::string, std::vector<const MeshRoute*>, std::less<>> byHost;
  std::map<std::string, const MeshOrganisation*> byKey;
  std::map<std::string, const MeshOrganisation*> byName;
};

} // namespace jackdawwind
