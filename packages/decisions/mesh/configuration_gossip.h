// Keeps the newest configuration and spreads it between nodes that the store does not serve.
//
//   ConfigurationGossip spread(self);
//   if (spread.Adopt(configuration, now)) { ... a newer version is in force ... }
//
// The version never goes back. A new version is offered to a few random peers, each of which does
// the same, and every probe names the version; who has less asks for it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

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

  ConfigurationGossip(PeerAddress aSelf, std::uint64_t aSeed);

  /// Takes a configuration that is newer than the present one; false for any other.
  bool Adopt(const MeshConfiguration& aConfiguration, const Members& aMembers, Effects& aEffects);
  /// Asks a peer that has a newer version.
  void NoteVersion(const PeerAddress& aPeer, std::uint64_t aVersion, Time aNow, Effects& aEffects);
  void Receive(const MeshConfigWant& aWant, Effects& aEffects) const;

  /// Null before the first configuration.
  const RouteTable* Table() const { return this->table.get(); }
  std::uint64_t Version() const { return this->table ? this->table->Version() : 0; }

private:
  void Offer(const Members& aMembers, Effects& aEffects);

  PeerAddress self;
  Random random;
  std::shared_ptr<const RouteTable> table;
  /// Version asked for last, and when it may be asked for again.
  std::uint64_t wanted = 0;
  Time askAgainAt{};
};

} // namespace jackdawwind
