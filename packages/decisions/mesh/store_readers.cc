#include "decisions/mesh/store_readers.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

StoreReaders::StoreReaders(std::string aNode)
  : node(std::move(aNode))
{
}

void
StoreReaders::SetMembers(const Members& aMembers)
{
  this->rankByPeer.clear();
  this->peers.clear();
  this->rank = 0;
  const Members::const_iterator self = aMembers.find(this->node);
  if (self == aMembers.end()) {
    return;
  }
  std::size_t count = 0;
  for (const Members::value_type& entry : aMembers) {
    const Member& member = entry.second;
    if (entry.first == this->node) {
      this->rank = count;
      ++count;
    } else if (member.State() == NodeState::kAlive &&
               member.GetDomain() == self->second.GetDomain()) {
      this->rankByPeer.emplace(entry.first, count);
      this->peers.push_back(member.Address());
      ++count;
    }
  }
  std::erase_if(this->contacts, [this](const std::pair<const std::string, Time>& aEntry) {
    return !this->rankByPeer.contains(aEntry.first);
  });
}

void
StoreReaders::Receive(const StoreContact& aContact, Time aNow)
{
  if (this->rankByPeer.contains(aContact.Sender().Node())) {
    this->contacts[aContact.Sender().Node()] = aNow;
    this->lastContact = std::max(this->lastContact, aNow);
  }
}

bool
StoreReaders::IsRelieved(Time aNow) const
{
  std::size_t lower = 0;
  for (const auto& [peer, contact] : this->contacts) {
    if (aNow >= contact + kContactLifetime) {
      continue;
    }
    const std::size_t peerRank = this->rankByPeer.at(peer);
    if (peerRank < kStoreReadersPerDomain) {
      return true;
    }
    lower += peerRank < this->rank ? 1 : 0;
  }
  return lower >= kStoreReadersPerDomain;
}

Duration
StoreReaders::StageDelay() const
{
  if (this->IsElected()) {
    return Duration::zero();
  }
  std::size_t before = this->rank - kStoreReadersPerDomain;
  Duration delay = Duration::zero();
  for (std::size_t size = kFirstStage; before >= size; size *= 2) {
    before -= size;
    delay += kStageInterval;
  }
  return delay;
}

StoreFollowing
StoreReaders::Update(Time aNow)
{
  if (this->IsFirst()) {
    this->verifying = true;
  } else if (this->verifying) {
    this->verifying = !this->IsRelieved(aNow);
  } else {
    this->verifying = aNow >= this->StandInAt();
  }
  if (this->verifying) {
    return StoreFollowing::kVerifying;
  }
  return this->IsElected() ? StoreFollowing::kPassive : StoreFollowing::kNone;
}

std::vector<SendPeer>
StoreReaders::Announce(const StoreContact& aContact) const
{
  std::vector<SendPeer> messages;
  if (!this->verifying) {
    return messages;
  }
  messages.reserve(this->peers.size());
  for (const PeerAddress& peer : this->peers) {
    messages.push_back(SendPeer({ .to = peer, .message = aContact }));
  }
  return messages;
}

Time
StoreReaders::StandInAt() const
{
  return this->lastContact + kContactLifetime + this->StageDelay();
}

Time
StoreReaders::NextWake() const
{
  return this->verifying ? Time::max() : this->StandInAt();
}

} // namespace jackdawwind
