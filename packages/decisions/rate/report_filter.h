// Filters duplicate and reordered reports: only the newest report of each node is answered.
//
//   if (!reports.Accept(report)) { return; }   // duplicate, or overtaken by a later report
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
  /// Accepts a report that is newer than all earlier ones of its sender by incarnation and sequence
  /// number; false for any other.
  bool Accept(const StewardReport& aReport);
  /// Drops the entries of all nodes that are not in aNodes.
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
