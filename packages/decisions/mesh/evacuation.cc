#include "decisions/mesh/evacuation.h"

#include <algorithm>
#include <tuple>

#include "util/hash.h"
#include "values/text.h"

namespace jackdawwind {

namespace {

/// Two orders differ at one position only if one of them is a withdrawal that was inferred from a
/// read, which names the last record before its end, or the first one if there is none.
bool
IsNewer(const EvacuationOrder& aOrder, const EvacuationOrder& aThan)
{
  return std::tuple(aOrder.Era(), aOrder.Offset(), aOrder.Active()) >
         std::tuple(aThan.Era(), aThan.Offset(), aThan.Active());
}

} // namespace

bool
Evacuation::Merge(const EvacuationOrder& aOrder)
{
  const std::map<std::string, EvacuationOrder>::iterator found =
    this->orders.find(aOrder.GetDomain());
  if (found != this->orders.end()) {
    if (!IsNewer(aOrder, found->second)) {
      return false;
    }
    found->second = aOrder;
    return true;
  }
  if (aOrder.GetDomain().empty() || this->orders.size() >= kMaxDomains) {
    return false;
  }
  this->orders.emplace(aOrder.GetDomain(), aOrder);
  return true;
}

bool
Evacuation::Adopt(const std::vector<EvacuationOrder>& aOrders)
{
  bool changed = false;
  for (const EvacuationOrder& order : aOrders) {
    changed = this->Merge(order) || changed;
  }
  if (changed) {
    this->UpdateSummary();
  }
  return changed;
}

bool
Evacuation::Receive(const EvacuationsRead& aRead)
{
  std::vector<EvacuationOrder> read = aRead.Orders();
  if (aRead.GetComplete()) {
    for (const std::string& domain : this->domains) {
      const bool present = std::any_of(
        aRead.Orders().begin(), aRead.Orders().end(), [&domain](const EvacuationOrder& aOrder) {
          return aOrder.GetDomain() == domain;
        });
      if (!present) {
        // The withdrawal is one of the records before the end of the read.
        read.push_back(
          EvacuationOrder({ .domain = domain,
                            .active = false,
                            .era = aRead.Era(),
                            .offset = std::max<std::uint64_t>(aRead.EndOffset(), 1) - 1 }));
      }
    }
  }
  return this->Adopt(read);
}

void
Evacuation::UpdateSummary()
{
  this->domains.clear();
  StableHash bytes;
  for (const std::map<std::string, EvacuationOrder>::value_type& entry : this->orders) {
    const EvacuationOrder& order = entry.second;
    if (order.Active()) {
      this->domains.insert(entry.first);
    }
    bytes.Add(entry.first + " " + text::NumberOrNone(order.Era()) + " " +
              std::to_string(order.Offset()) + (order.Active() ? " active;" : " withdrawn;"));
  }
  this->hash = bytes.Value();
}

std::vector<EvacuationOrder>
Evacuation::Orders() const
{
  std::vector<EvacuationOrder> all;
  all.reserve(this->orders.size());
  for (const std::map<std::string, EvacuationOrder>::value_type& entry : this->orders) {
    all.push_back(entry.second);
  }
  return all;
}

} // namespace jackdawwind
