// Addresses of nodes that may exist but are not in the member table: seeds, nodes announced in the
// log, and nodes declared dead. Trying them lets the sides of a partition rejoin after it heals.
//
//   contacts.AddLost(address, now);
//   std::vector<PeerAddress> addresses = contacts.Take(3, now, random);
//   std::vector<PeerAddress> near = contacts.TakeNear(2, now, random);
//
// A contact is reached while a live member is known at its address. The list is bounded: new
// contacts are dropped when it is full.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "util/clock.h"
#include "util/random.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class ContactList
{
public:
  /// Seeds never expire.
  void AddSeed(const PeerAddress& aAddress);
  /// Expires after a few tries, because most announcements in the log are of ended processes.
  /// aNear: whether the node is in the region of this one.
  void AddAnnounced(const PeerAddress& aAddress, bool aNear);
  /// Expires after a time longer than partitions between regions last.
  void AddLost(const PeerAddress& aAddress, Time aNow);
  /// A live member has this address: marks a seed as reached and removes other contacts.
  void MarkReached(const PeerAddress& aAddress);

  /// Removes expired contacts and returns at most aCount unreached addresses in random order.
  std::vector<PeerAddress> Take(std::size_t aCount, Time aNow, Random& aRandom);
  /// The same for nodes of this node's region.
  std::vector<PeerAddress> TakeNear(std::size_t aCount, Time aNow, Random& aRandom);
  /// Number of addresses at which no live member is known.
  std::size_t UnreachedCount() const;
  /// The member at this address died; a seed is tried again.
  void MarkUnreached(const PeerAddress& aAddress);

private:
  struct Contact
  {
    PeerAddress address;
    bool seed = false;
    bool reached = false;
    bool near = false;
    std::optional<Time> expiresAt;
    std::optional<std::uint32_t> triesLeft;
  };

  /// Finds or adds a contact and marks it as unreached; null when the list is full.
  Contact* Insert(const PeerAddress& aAddress);
  std::vector<PeerAddress> Take(std::size_t aCount, bool aNearOnly, Time aNow, Random& aRandom);

  /// By "host:controlPort".
  std::map<std::string, Contact> contacts;
};

} // namespace jackdawwind
