// Holds the era of the platform's store, and decides whether an era that a peer reports is a reason
// to ask the store.
//
//   StoreEra era;
//   if (era.NoteStore(4)) { ... the store has stated a higher era: pass it on ... }
//   switch (era.NotePeer(5, now)) { case StoreEra::Report::kAsk: ... ask the store ... }
//
// The store raises its era each time it returns from an older copy. Only an era that the store has
// stated to this node counts as known and is passed on. A report of a peer may be wrong, and the
// known era never falls: a wrong era that was believed would make every response of the store look
// late, and would spread through the fleet. A report therefore causes one read of the store at
// most, which states the era.
//
// The first era may be 0, which is higher than none. A report of more than kMaxJump above the known
// era, or above 0 before the first one, is ignored: the era rises by one at a time, and every node
// reads the store within a minute anyway.
//
// All operations take constant time.
#pragma once

#include <cstdint>
#include <optional>

#include "util/clock.h"

namespace jackdawwind {

class StoreEra
{
public:
  enum class Report
  {
    /// Nothing is to be done.
    kKnown,
    /// The store is to be asked for its era.
    kAsk,
    /// Too far above the known era, and not logged recently.
    kIgnored,
  };

  static constexpr std::uint64_t kMaxJump = 1000;
  /// Time after which a report that the store has not confirmed causes another read, and after
  /// which an ignored one is logged again. As long as the interval at which every node reads the
  /// store without any report.
  static constexpr Duration kRepeatInterval = std::chrono::seconds(60);

  /// Returns whether the era that the store states is higher than the known one.
  bool NoteStore(std::uint64_t aEra);
  /// aEra is empty if the peer knows none.
  Report NotePeer(std::optional<std::uint64_t> aEra, Time aNow);

  /// Highest era that the store has stated; empty before the first one.
  std::optional<std::uint64_t> Known() const { return this->known; }

private:
  std::optional<std::uint64_t> known;
  /// Latest reported era about which the store was asked.
  std::optional<std::uint64_t> asked;
  Time askAgainAt{};
  Time logAgainAt{};
};

} // namespace jackdawwind
