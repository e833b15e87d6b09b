#include "decisions/mesh/departed_targets.h"

namespace jackdawwind {

namespace {

/// Holders in the node's own failure domain, and in all others together. They cover lost messages
/// and the restart of some holders.
constexpr std::size_t kOwnDomainHolders = 4;
constexpr std::size_t kOtherDomainHolders = 2;

} // namespace

std::vector<PeerAddress>
DepartureHolders(const std::string& aNode, const std::map<std::string, Member>& aMembers)
{
  std::vector<PeerAddress> holders;
  const std::map<std::string, Member>::const_iterator self = aMembers.find(aNode);
  if (self == aMembers.end()) {
    return holders;
  }
  std::size_t ownDomain = 0;
  std::size_t otherDomains = 0;
  std::map<std::string, Member>::const_iterator next = self;
  for (std::size_t passed = 1; passed < aMembers.size(); ++passed) {
    ++next;
    if (next == aMembers.end()) {
      next = aMembers.begin();
    }
    const Member& member = next->second;
    const bool own = member.GetDomain() == self->second.GetDomain();
    std::size_t& count = own ? ownDomain : otherDomains;
    const std::size_t limit = own ? kOwnDomainHolders : kOtherDomainHolders;
    if (member.State() == NodeState::kAlive && count < limit) {
      ++count;
      holders.push_back(member.Address());
    }
  }
  return holders;
}

void
DepartedTargets::Receive(const TargetDeparted& aDeparted, Time aNow)
{
  std::erase_if(this->departures, [aNow](const std::pair<const std::string, Departure>& aEntry) {
    return aNow >= aEntry.second.receivedAt + kLifetime;
  });
  if (this->departures.size() < kMaxDepartures || this->departures.contains(aDeparted.Node())) {
    this->departures.insert_or_assign(aDeparted.Node(),
                                      Departure{ .message = aDeparted, .receivedAt = aNow });
  }
}

std::vector<SendPeer>
DepartedTargets::TakeDue(const std::map<std::string, Member>& aMembers, Time aNow)
{
  std::vector<SendPeer> due;
  for (std::pair<const std::string, Departure>& entry : this->departures) {
    Departure& departure = entry.second;
    const std::map<std::string, Member>::const_iterator member = aMembers.find(entry.first);
    if (member == aMembers.end() || aNow >= departure.receivedAt + kLifetime ||
        member->second.Incarnation() <= departure.message.Incarnation()) {
      continue;
    }
    const std::uint64_t incarnation = member->second.Incarnation();
    const bool ready = member->second.GetTargetState() == TargetState::kReady;
    if (incarnation == departure.toldIncarnation && (departure.toldReady || !ready)) {
      continue;
    }
    departure.toldIncarnation = incarnation;
    departure.toldReady = ready;
    due.push_back(SendPeer({ .to = member->second.Address(), .message = departure.message }));
  }
  return due;
}

} // namespace jackdawwind
