#include "decisions/config/snapshot_schedule.h"

#include <algorithm>
#include <cstdint>

namespace jackdawwind {

namespace {

/// The random delay is at most the retention divided by this: minutes for a retention of a day,
/// while a snapshot reaches the other domains in seconds.
constexpr Duration::rep kMaxDelayDivisor = 100;

/// A snapshot is published every retention divided by this.
constexpr Duration::rep kPublishDivisor = 3;

} // namespace

SnapshotSchedule::SnapshotSchedule(Duration aRetention, std::uint64_t aSeed)
  : retention(aRetention)
  , random(aSeed)
{
}

void
SnapshotSchedule::NoteCaughtUp(Time aNow)
{
  if (this->due == Time::max()) {
    this->due = aNow + this->RandomDelay();
  }
}

void
SnapshotSchedule::NotePublished(Time aNow)
{
  this->due = aNow + this->retention / kPublishDivisor + this->RandomDelay();
}

void
SnapshotSchedule::Postpone(Time aNow)
{
  this->due = aNow + this->RandomDelay() + std::chrono::seconds(1);
}

Duration
SnapshotSchedule::RandomDelay()
{
  const Duration::rep maxDelay =
    std::max<Duration::rep>(this->retention.count() / kMaxDelayDivisor, 1);
  return Duration(
    static_cast<Duration::rep>(this->random.Below(static_cast<std::uint64_t>(maxDelay))));
}

} // namespace jackdawwind
