// Names the member records that still have to travel on probes, each a bounded number of times.
//
//   queue.Add("node-7");
//   std::vector<std::string> nodes = queue.Take(6, 27);
//
// Records that were sent least often go first. A change of the same node starts its count again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jackdawwind {

class ChangeQueue
{
public:
  void Add(const std::string& aNode) { this->sent[aNode] = 0; }
  void Remove(const std::string& aNode) { this->sent.erase(aNode); }
  bool Empty() const { return this->sent.empty(); }

  /// At most aCount nodes; counts each as sent once more and drops those sent aLimit times.
  std::vector<std::string> Take(std::size_t aCount, std::uint32_t aLimit);

private:
  std::map<std::string, std::uint32_t> sent;
};

} // namespace jackdawwind
