// Relay topology of a domain: which nodes read the log, and the children that each node relays to.
//
//   tree.SetMembers(activeMembers);
//   if (tree.IsReader()) { ... }
//   for (const PeerAddress& child : tree.Children()) { ... }
//
// The members, ordered by id, form trees below the two readers, so no node sends to more than
// kFanOut others. A reader that sent to all 59 nodes of a large domain every second would use 14
// kB/s for that alone.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "values/generated/common.h"

namespace jackdawwind {

class RelayTree
{
public:
  /// Nodes of a domain that read the log.
  static constexpr std::size_t kReaders = 2;
  /// Maximum number of children of a node.
  static constexpr std::size_t kFanOut = 3;

  explicit RelayTree(std::string aSelf);

  /// Sets the active members of the domain, in any order, and recomputes the children.
  void SetMembers(std::vector<PeerAddress> aMembers);

  /// Whether this node has one of the two lowest ids; true while no member is known.
  bool IsReader() const;
  /// Whether this node has the lowest id; true while no member is known.
  bool IsFirst() const;
  /// Whether the node is a member of the domain.
  bool Contains(const std::string& aNode) const;
  /// Nodes to which this node relays.
  const std::vector<PeerAddress>& Children() const { return this->children; }

private:
  std::string self;
  /// Ordered by node id.
  std::vector<PeerAddress> members;
  std::vector<PeerAddress> children;
  /// Position of this node in members; their number if it is not a member.
  std::size_t index = 0;
};

} // namespace jackdawwind
