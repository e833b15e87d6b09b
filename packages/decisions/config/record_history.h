// Bounded buffer of the newest records of the control stream, for relays to peers that lag behind.
//
//   history.Add(record);
//   std::optional<std::vector<LogRecord>> missing = history.RecordsFrom(theirOffset);
//
// Holds at most 1,000 records and drops the oldest. Snapshots are left out, because they are large
// and a node that reads one in order already has its state. RecordsFrom costs one pass.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "values/generated/peer.h"

namespace jackdawwind {

class RecordHistory
{
public:
  static constexpr std::size_t kMaxRecords = 1000;

  /// Appends a record; offsets must increase.
  void Add(const LogRecord& aRecord);
  /// Drops all records; the next ones begin at aOffset.
  void Reset(std::uint64_t aOffset);
  /// All records from aOffset on; nothing when some of them have been dropped.
  std::optional<std::vector<LogRecord>> RecordsFrom(std::uint64_t aOffset) const;

private:
  /// The records are complete from this offset on.
  std::uint64_t firstOffset = 0;
  std::deque<LogRecord> records;
};

} // namespace jackdawwind
