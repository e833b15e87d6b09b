#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

namespace {

/// Answers older than this say nothing about the target's present state.
constexpr Duration kMemory = std::chrono::seconds(1);

constexpr std::uint32_t kClasses = static_cast<std::uint32_t>(Importance::kBulk) + 1;

} // namespace

std::uint32_t
RankOf(Importance aImportance, std::uint32_t aPriority)
{
  const std::uint32_t classesBelow = kClasses - 1 - static_cast<std::uint32_t>(aImportance);
  return classesBelow * kPriorities + aPriority;
}

void
LevelMemory::Note(const std::string& aNode, std::uint32_t aLevel, std::uint32_t aLoad, Time aNow)
{
  this->entries[aNode] = Entry{ aLevel, aLoad, aNow };
}

void
LevelMemory::Forget(const std::string& aNode)
{
  this->entries.erase(aNode);
}

bool
LevelMemory::Admits(const std::string& aNode, std::uint32_t aRank, Time aNow) const
{
  const std::map<std::string, Entry>::const_iterator found = this->entries.find(aNode);
  if (found == this->entries.end() || aNow - found->second.at > kMemory) {
    return true;
  }
  return aRank >= found->second.level;
}

std::uint32_t
LevelMemory::LoadOf(const std::string& aNode, Time aNow) const
{
  const std::map<std::string, Entry>::const_iterator found = this->entries.find(aNode);
  if (found == this->entries.end() || aNow - found->second.at > kMemory) {
    return 0;
  }
  return found->second.load;
}

} // namespace jackdawwind
