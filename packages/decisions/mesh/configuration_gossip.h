// Holds the newest known configuration and spreads it by gossip, so that it also reaches nodes that
// can't read the platform's store.
//
//   ConfigurationGossip gossip(self, seed);
//   using Adoption = ConfigurationGossip::Adoption;
//   if (gossip.Adopt(configuration, members, effects) == Adoption::kAdopted) { ... in effect ... }
//
// The version never decreases. A node that adopts a new version offers it to a few random peers,
// most of them near, which do the same. Every probe carries the sender's version as well, and a
// node that learns of a newer version than its own requests the configuration from that peer. Any
// version is newer than none, also 0, which the first configuration may have.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/effects.h"
#include "decisions/mesh/route_table.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class ConfigurationGossip
{
public:
  using Members = std::map<std::string, Member>;

  /// What becomes of a configuration that a node reads or receives.
  enum class Adoption
  {
    /// The configuration is newer and in effect from now on.
    kAdopted,
    /// It was in effect already.
    kUnchanged,
    /// A higher version is in effect.
    kOlder,
    /// Another configuration of the same version is in effect.
    kConflicting,
  };

  ConfigurationGossip(PeerAddress aSelf, std::uint64_t aSeed);

  /// Replaces the current configuration if aConfiguration is newer, and offers it to peers.
  Adoption Adopt(const MeshConfiguration& aConfiguration,
                 const Members& aMembers,
                 Effects& aEffects);
  /// Requests the configuration from aPeer if aVersion, which the peer has, is newer than the own.
  /// aVersion is empty if the peer has no configuration.
  void NoteVersion(const PeerAddress& aPeer,
                   std::optional<std::uint64_t> aVersion,
                   Time aNow,
                   Effects& aEffects);
  /// Sends the configuration to the requesting peer if it is newer than the peer's.
  void Receive(const MeshConfigWant& aWant, Effects& aEffects) const;

  /// Random alive peers, most of them near, to which a change is offered.
  std::vector<PeerAddress> ChoosePeers(const Members& aMembers);

  /// Whether a peer has had a newer version for kBehindTime, which this node did not get from it.
  bool IsBehind(Time aNow) const;

  /// Latest version that was requested from a peer; empty before the first request.
  std::optional<std::uint64_t> RequestedVersion() const { return this->requestedVersion; }
  /// Routes of the current configuration; null before the first one.
  const RouteTable* Table() const { return this->table.get(); }
  /// Version of the current configuration; empty before the first one.
  std::optional<std::uint64_t> Version() const
  {
    return this->table ? std::optional<std::uint64_t>(this->table->Version()) : std::nullopt;
  }

private:
  /// Several times as long as a peer takes to answer a request.
  static constexpr Duration kBehindTime = std::chrono::milliseconds(500);

  /// Adds up to aCount random ones of the peers to aChosen; returns how many are left over.
  std::size_t ChooseFrom(std::vector<PeerAddress> aPeers,
                         std::size_t aCount,
                         std::vector<PeerAddress>& aChosen);

  PeerAddress self;
  Random random;
  std::shared_ptr<const RouteTable> table;
  /// Newest version requested, and the time from which it may be requested again.
  std::optional<std::uint64_t> requestedVersion;
  Time retryAt{};
  /// Time at which a version newer than the own was first noticed; Time::max() if there is none.
  Time behindSince = Time::max();
};

} // namespace jackdawwind
