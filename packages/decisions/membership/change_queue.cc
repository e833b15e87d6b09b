#include "decisions/membership/change_queue.h"

#include <algorithm>

namespace jackdawwind {

std::vector<std::string>
ChangeQueue::Take(std::size_t aCount, std::uint32_t aLimit)
{
  using Entry = std::map<std::string, std::uint32_t>::iterator;
  std::vector<Entry> order;
  order.reserve(this->sendCounts.size());
  for (Entry entry = this->sendCounts.begin(); entry != this->sendCounts.end(); ++entry) {
    order.push_back(entry);
  }
  const std::size_t taken = std::min(aCount, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(taken),
                    order.end(),
                    [](const Entry& aLeft, const Entry& aRight) {
                      return aLeft->second != aRight->second ? aLeft->second < aRight->second
                                                             : aLeft->first < aRight->first;
                    });
  std::vector<std::string> nodes;
  nodes.reserve(taken);
  for (std::size_t index = 0; index < taken; ++index) {
    const Entry entry = order[index];
    nodes.push_back(entry->first);
    if (++entry->second >= aLimit) {
      this->sendCounts.erase(entry);
    }
  }
  return nodes;
}

} // namespace jackdawwind
