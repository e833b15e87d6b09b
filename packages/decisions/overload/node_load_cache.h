// Admission levels and loads of other nodes' targets, as last reported with their answers.
//
//   cache.Update(node, answer.Level(), answer.Load(), now);
//   if (cache.Admits(node, RankOf(importance, priority), now)) { ... }
//
// An entry node uses the cache to skip nodes that would shed a call and to prefer less loaded ones.
// Cost: a look-up is logarithmic in the number of nodes. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

/// Number of priorities in an importance class.
inline constexpr std::uint32_t kPrioritiesPerClass = 256;

/// Rank of a call: ordered by importance class, then by priority. Critical calls of the highest
/// priority rank highest. A target with admission level L admits calls of at least rank L.
std::uint32_t RankOf(Importance aImportance, std::uint32_t aPriority);

class NodeLoadCache
{
public:
  /// Stores the level and load of an answer.
  void Update(const std::string& aNode, std::uint32_t aLevel, std::uint32_t aLoad, Time aNow);
  /// Removes the report of a node that left the fleet.
  void Forget(const std::string& aNode);

  /// Whether the node is expected to admit the rank; true without a report from the last second.
  bool Admits(const std::string& aNode, std::uint32_t aRank, Time aNow) const;
  /// Last reported load (running and queued calls); 0 without a report from the last second.
  std::uint32_t LoadOf(const std::string& aNode, Time aNow) const;

private:
  struct Report
  {
    std::uint32_t level = 0;
    std::uint32_t load = 0;
    Time receivedAt{};
  };

  std::map<std::string, Report> reports;
};

} // namespace jackdawwind
