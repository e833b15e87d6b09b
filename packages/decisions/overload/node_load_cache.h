// What an entry node remembers of the admission levels and loads of targets, from their answers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

/// Number of priorities within an importance class.
inline constexpr std::uint32_t kPriorities = 256;

/// Rank of a call; a target with admission level L admits calls whose rank is at least L. Critical
/// calls of the highest priority have the highest rank.
std::uint32_t RankOf(Importance aImportance, std::uint32_t aPriority);

class LevelMemory
{
public:
  void Note(const std::string& aNode, std::uint32_t aLevel, std::uint32_t aLoad, Time aNow);
  void Forget(const std::string& aNode);

  /// Whether the node would admit the rank, as far as known; a level without news decays after 1 s.
  bool Admits(const std::string& aNode, std::uint32_t aRank, Time aNow) const;
  /// Load last reported; 0 when not known or older than 1 s.
  std::uint32_t LoadOf(const std::string& aNode, Time aNow) const;

private:
  struct Entry
  {
    std::uint32_t level = 0;
    std::uint32_t load = 0;
    Time at{};
  };

  std::map<std::string, Entry> entries;
};

} // namespace jackdawwind
