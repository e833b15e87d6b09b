// Index of one configuration: routes by host name and path, organisations by API key.
//
//   RouteTable table(configuration);
//   const MeshRoute* route = table.Find("api.example", "/fleet/17");     // longest prefix wins
//   const MeshOrganisation* organisation = table.FindOrganisationByKey(hash);
//
// A route lookup costs one tree access and a scan of the prefixes of one host, longest first.
// Returned pointers are valid for the lifetime of the table, which is neither copied nor moved.
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
  /// Whether routes that are not open require a key.
  bool NeedsKeys() const { return !this->configuration.Organisations().empty(); }

  /// Route with the longest prefix of the path; null if there is none.
  const MeshRoute* Find(std::string_view aHost, std::string_view aPath) const;
  /// Null if no organisation has a key with this hash.
  const MeshOrganisation* FindOrganisationByKey(const std::string& aKeyHash) const;
  /// Null if there is no such organisation.
  const MeshOrganisation* FindOrganisation(const std::string& aName) const;
  bool HasService(const std::string& aService) const;

private:
  MeshConfiguration configuration;
  std::map<std::string, std::vector<const MeshRoute*>, std::less<>> byHost;
  std::map<std::string, const MeshOrganisation*> byKey;
  std::map<std::string, const MeshOrganisation*> byName;
};

} // namespace jackdawwind
