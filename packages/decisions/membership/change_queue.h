// Gossip queue: nodes whose member records are still to be sent on probes, each a bounded number of
// times.
//
//   queue.Add("node-7");
//   std::vector<std::string> nodes = queue.Take(6, 27);
//
// Records sent least often go first, ties in the order of the node ids. Adding a node again resets
// its count. Take costs one pass over the queue.
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
  void Add(const std::string& aNode) { this->sendCounts[aNode] = 0; }
  void Remove(const std::string& aNode) { this->sendCounts.erase(aNode); }
  bool Empty() const { return this->sendCounts.empty(); }

  /// Returns at most aCount nodes, increments their send counts and removes those sent aLimit
  /// times.
  std::vector<std::string> Take(std::size_t aCount, std::uint32_t aLimit);

private:
  /// Send count by node.
  std::map<std::string, std::uint32_t> sendCounts;
};

} // namespace jackdawwind
