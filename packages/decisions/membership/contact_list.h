// Addresses at which nodes may be that are not in the member table: seeds, announcements in the log
// and nodes that died, so that islands find each other again after a partition.
//
//   contacts.AddLost(address, now);
//   std::vector<PeerAddress> some = contacts.Take(3, now, random);
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
  /// Tried as long as the process runs.
  void AddSeed(const PeerAddress& aAddress);
  /// Tried a few times: most announcements in the log are of processes that have ended.
  void AddAnnounced(const PeerAddress& aAddress);
  /// Tried for longer than partitions of regions last.
  void AddLost(const PeerAddress& aAddress, Time aNow);
  /// A live member has this address; a seed stays for later.
  void Found(const PeerAddress& aAddress);

  /// At most aCount different addresses in random order.
  std::vector<PeerAddress> Take(std::size_t aCount, Time aNow, Random& aRandom);
  /// Number of addresses where no live member is known.
  std::size_t MissingCount() const;
  /// A seed where a member was is missing again.
  void Missing(const PeerAddress& aAddress);

private:
  struct Contact
  {
    PeerAddress address;
    bool seed = false;
    bool found = false;
    std::optional<Time> until;
    std::optional<std::uint32_t> triesLeft;
  };

  /// By host and control port; null when the list is full.
  Contact* Insert(const PeerAddress& aAddress);

  std::map<std::string, Contact> contacts;
};

} // namespace jackdawwind
