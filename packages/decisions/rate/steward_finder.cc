#include "decisions/rate/steward_finder.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

/// Two reports, at one per second, may go unanswered before the search for a steward restarts.
constexpr Duration kConfirmationTimeout = std::chrono::milliseconds(2500);

} // namespace

void
StewardFinder::SetMembers(std::vector<PeerAddress> aMembers)
{
  if (this->members == aMembers) {
    return;
  }
  this->members = std::move(aMembers);
  this->position = 0;
}

const PeerAddress*
StewardFinder::Target(Time aNow) const
{
  const PeerAddress* known = this->Steward(aNow);
  if (known != nullptr || this->members.empty()) {
    return known;
  }
  return &this->members[this->position % this->members.size()];
}

const PeerAddress*
StewardFinder::Steward(Time aNow) const
{
  const bool recent = !this->steward.empty() && aNow - this->confirmedAt < kConfirmationTimeout;
  return recent ? this->Find(this->steward) : nullptr;
}

const PeerAddress*
StewardFinder::Lowest() const
{
  return this->members.empty() ? nullptr : &this->members.front();
}

void
StewardFinder::NoteAnswer(const std::string& aNode, bool aElected, Time aNow)
{
  if (aElected) {
    this->steward = aNode;
    this->confirmedAt = aNow;
    return;
  }
  this->Forget(aNode);
}

void
StewardFinder::Advance()
{
  this->position = this->members.empty() ? 0 : (this->position + 1) % this->members.size();
}

void
StewardFinder::Forget(const std::string& aNode)
{
  if (this->steward == aNode) {
    this->steward.clear();
    this->position = 0;
  }
}

const PeerAddress*
StewardFinder::Find(const std::string& aNode) const
{
  const std::vector<PeerAddress>::const_iterator found =
    std::find_if(this->members.begin(), this->members.end(), [&aNode](const PeerAddress& aMember) {
      return aMember.Node() == aNode;
    });
  return found == this->members.end() ? nullptr : &*found;
}

} // namespace jackdawwind
