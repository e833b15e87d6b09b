// The newest records of the control stream, for peers that lag behind.
//
//   history.Add(record, offsetAfter);
//   std::optional<std::vector<LogRecord>> missing = history.After(theirOffset);
//
// Keeps at most 1,000 records. Snapshots are left out: their readers have the state already, and
// they are large.
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

  void Add(const LogRecord& aRecord);
  /// Forgets everything; records from aOffset on follow.
  void Restart(std::uint64_t aOffset);
  /// All records from aOffset on; none when some of them are no longer at hand.
  std::optional<std::vector<LogRecord>> After(std::uint64_t aOffset) const;

private:
  std::uint64_t from = 0;
  std::deque<LogRecord> records;
};

} // namespace jackdawwind
