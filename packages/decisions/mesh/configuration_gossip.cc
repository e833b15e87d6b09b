#include "decisions/mesh/configuration_gossip.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace jackdawwind {

namespace {

/// Peers of each distance to which a node offers a new version. Gossip with four offers misses
/// about 1 % of the nodes; those learn the version from probes. Most offers stay near, because a
/// peer that needs the version loads the whole configuration over the same link.
constexpr std::size_t kOwnDomainOffers = 2;
constexpr std::size_t kOwnRegionOffers = 1;
constexpr std::size_t kOtherRegionOffers = 1;
/// Delay before the same version is requested again.
constexpr Duration kRequestRetryDelay = std::chrono::milliseconds(200);

} // namespace

ConfigurationGossip::ConfigurationGossip(PeerAddress aSelf, std::uint64_t aSeed)
  : self(std::move(aSelf))
  , random(aSeed)
{
}

ConfigurationGossip::Adoption
ConfigurationGossip::Adopt(const MeshConfiguration& aConfiguration,
                           const Members& aMembers,
                           Effects& aEffects)
{
  if (aConfiguration.Version() < this->Version()) {
    return Adoption::kOlder;
  }
  if (aConfiguration.Version() == this->Version()) {
    return aConfiguration == this->table->Configuration() ? Adoption::kUnchanged
                                                          : Adoption::kConflicting;
  }
  this->table = std::make_shared<const RouteTable>(aConfiguration);
  if (this->requestedVersion <= this->Version()) {
    this->behindSince = Time::max();
  }
  for (const PeerAddress& peer : this->ChoosePeers(aMembers)) {
    aEffects.push_back(SendPeer(
      { .to = peer,
        .message =
          MeshConfigOffer({ .sender = this->self, .version = aConfiguration.Version() }) }));
  }
  return Adoption::kAdopted;
}

std::vector<PeerAddress>
ConfigurationGossip::ChoosePeers(const Members& aMembers)
{
  std::vector<PeerAddress> chosen;
  const Members::const_iterator own = aMembers.find(this->self.Node());
  if (own == aMembers.end()) {
    return chosen;
  }
  std::vector<PeerAddress> ownDomain;
  std::vector<PeerAddress> ownRegion;
  std::vector<PeerAddress> otherRegion;
  for (const Members::value_type& entry : aMembers) {
    const Member& member = entry.second;
    if (entry.first == this->self.Node() || member.State() != NodeState::kAlive) {
      continue;
    }
    if (member.GetDomain() == own->second.GetDomain()) {
      ownDomain.push_back(member.Address());
    } else if (member.Region() == own->second.Region()) {
      ownRegion.push_back(member.Address());
    } else {
      otherRegion.push_back(member.Address());
    }
  }
  // Offers that a distance has no peers for go to the next one.
  std::size_t left = this->ChooseFrom(std::move(ownDomain), kOwnDomainOffers, chosen);
  left = this->ChooseFrom(std::move(ownRegion), kOwnRegionOffers + left, chosen);
  this->ChooseFrom(std::move(otherRegion), kOtherRegionOffers + left, chosen);
  return chosen;
}

std::size_t
ConfigurationGossip::ChooseFrom(std::vector<PeerAddress> aPeers,
                                std::size_t aCount,
                                std::vector<PeerAddress>& aChosen)
{
  std::size_t left = aCount;
  while (left > 0 && !aPeers.empty()) {
    const std::size_t index = this->random.Below(aPeers.size());
    aChosen.push_back(aPeers[index]);
    aPeers.erase(aPeers.begin() + static_cast<std::ptrdiff_t>(index));
    --left;
  }
  return left;
}

bool
ConfigurationGossip::IsBehind(Time aNow) const
{
  return this->behindSince != Time::max() && aNow - this->behindSince >= kBehindTime;
}

void
ConfigurationGossip::NoteVersion(const PeerAddress& aPeer,
                                 std::optional<std::uint64_t> aVersion,
                                 Time aNow,
                                 Effects& aEffects)
{
  if (aVersion <= this->Version() || (aVersion <= this->requestedVersion && aNow < this->retryAt)) {
    return;
  }
  this->requestedVersion = aVersion;
  this->behindSince = std::min(this->behindSince, aNow);
  this->retryAt = aNow + kRequestRetryDelay;
  aEffects.push_back(
    SendPeer({ .to = aPeer,
               .message = MeshConfigWant({ .sender = this->self, .version = this->Version() }) }));
}

void
ConfigurationGossip::Receive(const MeshConfigWant& aWant, Effects& aEffects) const
{
  if (this->table == nullptr || aWant.Version() >= this->Version()) {
    return;
  }
  aEffects.push_back(
    SendPeer({ .to = aWant.Sender(),
               .message = MeshConfigRelay({ .sender = this->self.Node(),
                                            .configuration = this->table->Configuration() }) }));
}

} // namespace jackdawwind
