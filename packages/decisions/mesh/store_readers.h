// Selects the nodes that follow the platform's store for the fleet.
//
//   if (IsStoreReader(self, members)) { ... follow the store ... }
//
// If every node followed the store, its calls would grow with the fleet. A few nodes of each
// failure domain are enough: gossip carries a change to all others within a second, also from the
// readers of other domains. Every node computes the readers from its own member table, without
// messages. Two tables may differ for a while; then a domain has more readers, or those of the
// other domains serve it.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "values/generated/peer.h"

namespace jackdawwind {

/// Readers of one failure domain, so that the loss of one is not noticed.
constexpr std::size_t kStoreReadersPerDomain = 2;

/// Whether the node is one of the first live members of its domain, in the order of node ids.
/// Linear in the number of members.
bool IsStoreReader(const std::string& aNode, const std::map<std::string, Member>& aMembers);

} // namespace jackdawwind
