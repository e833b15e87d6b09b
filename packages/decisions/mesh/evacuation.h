// The operator's orders to evacuate failure domains: no requests go to their targets.
//
//   Evacuation evacuation;
//   if (evacuation.Receive(read)) { ... orders of the store; tell peers ... }
//   if (evacuation.Adopt(message.Orders())) { ... orders of a peer; tell further peers ... }
//   if (evacuation.Domains().contains("ikeja")) { ... skip its targets ... }
//
// For each domain the order with the highest era and offset of the store is in force, wherever it
// comes from; at the same position an active one. Merging orders is therefore commutative and
// idempotent, and nodes that exchange all their orders agree afterwards. A withdrawn order is kept,
// so that a peer's earlier one does not return. At most kMaxDomains domains are kept.
//
// Operations are linear in the number of domains, of which a fleet has a few.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "values/generated/calls.h"
#include "values/generated/mesh.h"

namespace jackdawwind {

class Evacuation
{
public:
  static constexpr std::size_t kMaxDomains = 64;

  /// Merges orders; returns whether any was newer than the known one.
  bool Adopt(const std::vector<EvacuationOrder>& aOrders);
  /// Merges orders of the store. If the read is complete, an order that it lacks was withdrawn,
  /// unless the order is newer than the read. Returns whether any order was newer.
  bool Receive(const EvacuationsRead& aRead);

  /// Evacuated domains.
  const std::set<std::string>& Domains() const { return this->domains; }
  /// Latest order for each domain, by name of the domain.
  std::vector<EvacuationOrder> Orders() const;
  /// Hash of all orders; 0 without orders.
  std::uint64_t Hash() const { return this->hash; }

private:
  /// Keeps the order if it is newer than the known one of its domain; returns whether it is.
  bool Merge(const EvacuationOrder& aOrder);
  void UpdateSummary();

  std::map<std::string, EvacuationOrder> orders;
  std::set<std::string> domains;
  std::uint64_t hash = 0;
};

} // namespace jackdawwind
