// Schedule by which a node publishes snapshots of the configuration.
//
//   schedule.NotePublished(now);            // a new snapshot was read
//   if (now >= schedule.Due()) { ... }
//
// A snapshot is due a third of the retention after the newest one, plus a random delay of up to a
// hundredth of the retention, so that usually one domain publishes and the others read its snapshot
// before their own is due.
#pragma once

#include <cstdint>

#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class SnapshotSchedule
{
public:
  /// aRetention: time after which the log expires a record.
  SnapshotSchedule(Duration aRetention, std::uint64_t aSeed);

  /// The end of the stream was reached; calls after the first are ignored. Records carry no time,
  /// so the age of a snapshot read before is not known and the next one is due after the random
  /// delay.
  void NoteCaughtUp(Time aNow);
  /// A snapshot has just been published, by this node or another.
  void NotePublished(Time aNow);
  /// Retries after the random delay plus 1 s, when publishing is not possible or failed.
  void Postpone(Time aNow);

  /// Time of the next snapshot; Time::max() before the end of the stream was reached.
  Time Due() const { return this->due; }

private:
  Duration RandomDelay();

  Duration retention;
  Random random;
  Time due = Time::max();
};

} // namespace jackdawwind
