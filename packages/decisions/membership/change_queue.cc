#include "decisions/membership/change_queue.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

std::vector<std::string>
ChangeQueue::Take(std::size_t aCount, std::uint32_t aLimit)
{
  std::vector<std::pair<std::uint32_t, std::string>> order;
  order.reserve(this->sent.size());
  for (const auto& [node, count] : this->sent) {
    order.emplace_back(count, node);
  }
  const std::size_t taken = std::min(aCount, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken), order.end());
  std::vector<std::string> nodes;
  for (std::size_t index = 0; index < taken; ++index) {
    const std::string& node = order[index].second;
    nodes.push_back(node);
    if (++this->sent[node] >= aLimit) {
      this->sent.erase(node);
    }
  }
  return nodes;
}

} // namespace jackdawwind
