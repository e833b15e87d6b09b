// Remembers the newest report of each node, so that a copy or an overtaken report is not answered.
//
//   if (!reports.Accept(report)) { return; }   // seen before
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "values/generated/peer.h"

namespace jackdawwind {

class ReportFilter
{
public:
  /// False when the same or a later report of the sender was noted, or a later incarnation of it.
  bool Accept(const StewardReport& aReport);
  /// Forgets all other nodes.
  void Retain(const std::set<std::string>& aNodes);

private:
  struct Entry
  {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  std::map<std::string, Entry> newest;
};

} // namespace jackdawwind
