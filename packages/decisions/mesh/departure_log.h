// Keeps the departures of the local target that this node acknowledges, so that they outlive its
// process.
//
//   DepartureLog log;
//   log.Start(now);
//   log.Receive(departure, report, now, effects);   // the target has reported that it leaves
//   log.Receive(recorded, effects);                 // DepartureRecorded: it is in the store
//   log.Poll(now, effects);                         // at NextWake()
//   if (!log.MayUseReports(now)) { ... keep the heartbeat until SetRead() ... }
//
// An acknowledged departure binds whichever processes are killed afterwards, and a heartbeat from
// before it may arrive late, at a process that knows nothing. A departure is therefore recorded in
// the platform's store before it is acknowledged. A report whose departure is not recorded within
// kAnswerTimeout is refused; the target reports again or ends without an acknowledgement, and
// either way it gets no more requests from now on.
//
// A process that has just started does not know which departures its predecessors acknowledged. It
// uses no heartbeat until it has read them. If the store can't be read it uses those that arrive
// later than kMaxReportDelay after the start, since these were sent after the last process ended.
//
// All operations are linear in the number of departures kept, at most kMaxDepartures.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decisions/effects.h"
#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class DepartureLog
{
public:
  /// Time for which a report waits for its departure to be recorded. Targets use no answer that
  /// comes later than 1 s after the report.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(900);
  /// Longest time that a heartbeat is under way.
  static constexpr Duration kMaxReportDelay = std::chrono::seconds(8);
  /// Number of departures that are kept; a host has one target at a time.
  static constexpr std::size_t kMaxDepartures = 16;

  void Start(Time aNow) { this->startedAt = aNow; }

  /// Records a departure and answers aReport when this is done. Returns false if it was recorded
  /// before.
  bool Receive(const TargetDeparted& aDeparture,
               std::uint64_t aReport,
               Time aNow,
               Effects& aEffects);
  void Receive(const DepartureRecorded& aRecorded, Effects& aEffects);
  /// Notes that the departures in the store have been read.
  void SetRead() { this->read = true; }

  /// Whether a heartbeat that arrives now is newer than all departures that this process does not
  /// know.
  bool MayUseReports(Time aNow) const
  {
    return this->read || aNow >= this->startedAt + kMaxReportDelay;
  }

  /// Refuses the reports that have waited too long.
  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

private:
  struct Report
  {
    std::uint64_t number = 0;
    Time deadline{};
  };

  struct Entry
  {
    TargetDeparted departure;
    bool recorded = false;
    /// Reports that have not been answered.
    std::vector<Report> waiting = {};
  };

  Entry& EntryOf(const TargetDeparted& aDeparture, Effects& aEffects);

  Time startedAt{};
  bool read = false;
  /// Oldest first.
  std::vector<Entry> entries;
};

} // namespace jackdawwind
