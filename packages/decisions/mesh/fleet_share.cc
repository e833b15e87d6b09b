#include "decisions/mesh/fleet_share.h"

#include <algorithm>

namespace jackdawwind {

namespace {

/// Nodes to assume while the store has not named any: the size of today's deployments.
constexpr std::size_t kAssumedNodes = 16;
/// Excess that a majority may use, so that a few dead nodes cost no quota. At most one part of a
/// cut fleet is a majority, so this is also the most by which the whole exceeds a quota.
constexpr double kMajorityExcess = 0.1;

} // namespace

void
FleetShare::NoteState(const Member& aMember, Time aNow)
{
  const std::string& node = aMember.Address().Node();
  switch (aMember.State()) {
    case NodeState::kAlive:
    case NodeState::kSuspect:
      this->departed.erase(node);
      if (this->deadSince.erase(node) > 0) {
        this->backSince[node] = aNow;
      }
      break;
    case NodeState::kLeaving:
      this->departed.insert(node);
      break;
    case NodeState::kDead:
      this->deadSince.try_emplace(node, aNow);
      this->backSince.erase(node);
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
  return dead == this->deadSince.end() || aNow - dead->second < kCutTime;
}

void
FleetShare::Update(const Members& aMembers, Time aNow)
{
  std::set<std::string> known = this->registered;
  this->live = 0;
  for (const Members::value_type& entry : aMembers) {
    this->NoteState(entry.second, aNow);
    known.insert(entry.first);
    if (entry.second.State() == NodeState::kAlive) {
      ++this->live;
    }
  }
  // What neither the register nor the members name any more is over.
  std::erase_if(this->departed,
                [&known](const std::string& aNode) { return !known.contains(aNode); });
  std::erase_if(this->deadSince, [&known](const std::pair<const std::string, Time>& aEntry) {
    return !known.contains(aEntry.first);
  });
  std::erase_if(this->backSince, [aNow](const std::pair<const std::string, Time>& aEntry) {
    return aNow - aEntry.second >= kMergeTime;
  });
  this->hadCompany = this->hadCompany || this->live > 1;
  const std::size_t counted = static_cast<std::size_t>(
    std::count_if(known.begin(), known.end(), [this, aNow](const std::string& aNode) {
      return this->IsExpected(aNode, aNow);
    }));
  const std::size_t least = this->registered.empty() ? kAssumedNodes : 1;
  this->expected = std::max({ counted, this->live, least });
}

double
FleetShare::Share(Time aNow) const
{
  const std::size_t back = static_cast<std::size_t>(
    std::count_if(this->backSince.begin(),
                  this->backSince.end(),
                  [aNow](const std::pair<const std::string, Time>& aEntry) {
                    return aNow - aEntry.second < kMergeTime;
                  }));
  const std::size_t seen = std::max<std::size_t>(this->live - std::min(this->live, back), 1);
  const double part = static_cast<double>(seen) / static_cast<double>(this->expected);
  const bool majority = seen * 2 > this->expected;
  return std::min(1.0, majority ? part + kMajorityExcess : part);
}

} // namespace jackdawwind
