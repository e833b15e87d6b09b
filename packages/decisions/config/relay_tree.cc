#include "decisions/config/relay_tree.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

RelayTree::RelayTree(std::string aSelf)
  : self(std::move(aSelf))
{
}

void
RelayTree::SetMembers(std::vector<PeerAddress> aMembers)
{
  this->members = std::move(aMembers);
  std::sort(this->members.begin(),
            this->members.end(),
            [](const PeerAddress& aLeft, const PeerAddress& aRight) {
              return aLeft.Node() < aRight.Node();
            });
  this->children.clear();
  const std::vector<PeerAddress>::const_iterator own =
    std::find_if(this->members.begin(), this->members.end(), [this](const PeerAddress& aMember) {
      return aMember.Node() == this->self;
    });
  this->index = static_cast<std::size_t>(own - this->members.begin());
  if (own == this->members.end()) {
    return;
  }
  // Member 0 has the children 2 to 4, member 1 has 5 to 7, and so on, so that each member but the
  // readers has exactly one parent.
  const std::size_t first = this->index * kFanOut + kReaders;
  for (std::size_t child = first; child < first + kFanOut && child < this->members.size();
       ++child) {
    this->children.push_back(this->members[child]);
  }
}

bool
RelayTree::IsReader() const
{
  return this->members.empty() || this->index < std::min(kReaders, this->members.size());
}

bool
RelayTree::IsFirst() const
{
  return this->members.empty() || this->index == 0;
}

bool
RelayTree::Contains(const std::string& aNode) const
{
  return std::any_of(this->members.begin(),
                     this->members.end(),
                     [&aNode](const PeerAddress& aMember) { return aMember.Node() == aNode; });
}

} // namespace jackdawwind
