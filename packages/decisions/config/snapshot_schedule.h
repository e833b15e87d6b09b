// When a node should publish a snapshot of the configuration.
//
//   schedule.NotePublished(now);            // a snapshot was read
//   if (now >= schedule.Due()) { ... }
//
// Due a third of the retention after the newest snapshot, plus a random delay, so that usually only
// one domain publishes and the others read its snapshot first.
#pragma once

#include <cstdint>

#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class SnapshotSchedule
{
public:
  SnapshotSchedule(Duration aRetention, std::uint64_t aSeed);

  /// The end of the stream was reached for the first time. Records have no time, so the age of a
  /// snapshot read on the way is not known, and one is due soon.
  void NoteCaughtUp(Time aNow);
  /// A snapshot was read that has just been published.
  void NotePublished(Time aNow);
  /// Publishing is not possible or failed.
  void Postpone(Time aNow);

  /// Time::max() before the end of the stream was reached.
  Time Due() const { return this->due; }

private:
  Duration RandomDelay();

  Duration retention;
  Random random;
  Time due = Time::max();
};

} // namespace jackdawwind
