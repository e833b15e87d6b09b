#include "decisions/mesh/fleet_share.h"

#include <algorithm>

namespace jackdawwind {

namespace {

/// Fleet size assumed until the registered nodes are known: the largest that is planned for. Nodes
/// that restart together while the register can't be read must not exceed a quota together.
constexpr std::size_t kAssumedNodeCount = 1000;
/// Extra share of a majority, so that a few dead nodes do not reduce the quota. At most one side of
/// a partition is a majority, so this also bounds the excess of the whole fleet over a quota.
constexpr double kMajorityExcess = 0.1;

} // namespace

void
FleetShare::NoteState(const Member& aMember, bool aAllLeaving, Time aNow)
{
  const std::string& node = aMember.Address().Node();
  if (aAllLeaving && aMember.State() == NodeState::kLeaving) {
    this->departed.erase(node);
    ++this->liveNodes;
    return;
  }
  switch (aMember.State()) {
    case NodeState::kAlive:
      ++this->liveNodes;
      [[fallthrough]];
    case NodeState::kSuspect:
      this->departed.erase(node);
      if (this->deadSince.erase(node) > 0) {
        this->recoveredAt[node] = aNow;
      }
      break;
    case NodeState::kLeaving:
      this->departed.insert(node);
      break;
    case NodeState::kDead:
      this->deadSince.try_emplace(node, aNow);
      this->recoveredAt.erase(node);
      break;
  }
}

bool
FleetShare::IsExpected(const std::string& aNode, Time aNow) const
{
  if (this->departed.contains(aNode)) {
    return false;
  }
  const std::map<std::string, Time>::const_iterator dead = this->deadSince.find(aNode);
  return dead == this->deadSince.end() || aNow - dead->second < kDeadNodeExpiry;
}

void
FleetShare::Update(const Members& aMembers, Time aNow)
{
  std::set<std::string> known = this->registered;
  this->liveNodes = 0;
  const bool allLeaving =
    std::none_of(aMembers.begin(), aMembers.end(), [](const Members::value_type& aEntry) {
      return aEntry.second.State() == NodeState::kAlive;
    });
  for (const Members::value_type& entry : aMembers) {
    this->NoteState(entry.second, allLeaving, aNow);
    known.insert(entry.first);
  }
  // Drops the state of nodes that are neither registered nor members any more.
  std::erase_if(this->departed,
                [&known](const std::string& aNode) { return !known.contains(aNode); });
  std::erase_if(this->deadSince, [&known](const std::pair<const std::string, Time>& aEntry) {
    return !known.contains(aEntry.first);
  });
  std::erase_if(this->recoveredAt, [aNow](const std::pair<const std::string, Time>& aEntry) {
    return aNow - aEntry.second >= kHealTime;
  });
  this->seenPeers = this->seenPeers || this->liveNodes > 1;
  const std::size_t counted = static_cast<std::size_t>(
    std::count_if(known.begin(), known.end(), [this, aNow](const std::string& aNode) {
      return this->IsExpected(aNode, aNow);
    }));
  const std::size_t minimum = this->registered.empty() ? kAssumedNodeCount : 1;
  this->expectedNodes = std::max({ counted, this->liveNodes, minimum });
}

bool
FleetShare::IsIsolated(Time aNow) const
{
  const bool isOnlyNode = !this->registered.empty() && this->expectedNodes <= 1;
  return !isOnlyNode && (this->liveNodes <= 1 || aNow - this->lastMessageAt > kIsolationTimeout);
}

double
FleetShare::Share(Time aNow) const
{
  const std::size_t recovering = static_cast<std::size_t>(
    std::count_if(this->recoveredAt.begin(),
                  this->recoveredAt.end(),
                  [aNow](const std::pair<const std::string, Time>& aEntry) {
                    return aNow - aEntry.second < kHealTime;
                  }));
  const std::size_t visible =
    std::max<std::size_t>(this->liveNodes - std::min(this->liveNodes, recovering), 1);
  const double fraction = static_cast<double>(visible) / static_cast<double>(this->expectedNodes);
  const bool majority = visible * 2 > this->expectedNodes;
  return std::min(1.0, majority ? fraction + kMajorityExcess : fraction);
}

} // namespace jackdawwind
