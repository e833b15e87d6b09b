#include "decisions/mesh/configuration_gossip.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace jackdawwind {

namespace {

/// Peers to which a node offers a new version. Gossip with this fanout misses about 1 % of the
/// nodes; those learn the version from probes.
constexpr std::size_t kOfferFanout = 4;
/// Delay before the same version is requested again.
constexpr Duration kRequestRetryDelay = std::chrono::milliseconds(200);

} // namespace

ConfigurationGossip::ConfigurationGossip(PeerAddress aSelf, std::uint64_t aSeed)
  : self(std::move(aSelf))
  , random(aSeed)
{
}

bool
ConfigurationGossip::Adopt(const MeshConfiguration& aConfiguration,
                           const Members& aMembers,
                           Effects& aEffects)
{
  if (aConfiguration.Version() <= this->Version()) {
    return false;
  }
  this->table = std::make_shared<const RouteTable>(aConfiguration);
  this->Offer(aMembers, aEffects);
  return true;
}

void
ConfigurationGossip::Offer(const Members& aMembers, Effects& aEffects)
{
  std::vector<PeerAddress> peers;
  for (const Members::value_type& entry : aMembers) {
    if (entry.first != this->self.Node() && entry.second.State() == NodeState::kAlive) {
      peers.push_back(entry.second.Address());
    }
  }
  for (std::size_t sent = 0; sent < kOfferFanout && !peers.empty(); ++sent) {
    const std::size_t index = this->random.Below(peers.size());
    aEffects.push_back(SendPeer(
      { .to = peers[index],
        .message = MeshConfigOffer({ .sender = this->self, .version = this->Version() }) }));
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void
ConfigurationGossip::NoteVersion(const PeerAddress& aPeer,
                                 std::uint64_t aVersion,
                                 Time aNow,
                                 Effects& aEffects)
{
  if (aVersion <= this->Version() || (aVersion <= this->requestedVersion && aNow < this->retryAt)) {
    return;
  }
  this->requestedVersion = aVersion;
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
