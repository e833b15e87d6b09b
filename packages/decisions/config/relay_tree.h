// Who reads the log in a domain and who relays to whom.
//
//   tree.SetMembers(liveMembers);
//   if (tree.IsReader()) { ... }
//   for (const PeerAddress& child : tree.Children()) { ... }
//
// The members in the order of their ids form a tree below the two readers, so that no node sends to
// more than kFanOut others: a reader that sent to all 59 nodes of a large domain every second would
// need 14 kB/s alone.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "values/generated/common.h"

namespace jackdawwind {

class RelayTree
{
public:
  static constexpr std::size_t kReaders = 2;
  static constexpr std::size_t kFanOut = 3;

  explicit RelayTree(std::string aSelf);

  /// Live members of the domain.
  void SetMembers(std::vector<PeerAddress> aMembers);

  /// Whether this node is one of the two lowest; true while no member is known.
  bool IsReader() const;
  /// Whether this node is the lowest.
  bool IsFirst() const;
  /// Whether the node belongs to the domain.
  bool Contains(const std::string& aNode) const;
  const std::vector<PeerAddress>& Children() const { return this->children; }

private:
  std::string self;
  std::vector<PeerAddress> members;
  std::vector<PeerAddress> children;
  std::size_t index = 0;
};

} // namespace jackdawwind
