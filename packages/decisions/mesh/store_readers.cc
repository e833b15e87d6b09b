#include "decisions/mesh/store_readers.h"

namespace jackdawwind {

bool
IsStoreReader(const std::string& aNode, const std::map<std::string, Member>& aMembers)
{
  const std::map<std::string, Member>::const_iterator self = aMembers.find(aNode);
  if (self == aMembers.end()) {
    return true;
  }
  std::size_t before = 0;
  for (std::map<std::string, Member>::const_iterator entry = aMembers.begin(); entry != self;
       ++entry) {
    const Member& member = entry->second;
    const bool counts =
      member.State() == NodeState::kAlive && member.GetDomain() == self->second.GetDomain();
    before += counts ? 1 : 0;
  }
  return before < kStoreReadersPerDomain;
}

} // namespace jackdawwind
