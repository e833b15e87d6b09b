#include "decisions/mesh/departure_log.h"

#include <algorithm>
#include <string>

namespace jackdawwind {

namespace {

void
AcceptReport(std::uint64_t aReport, Effects& aEffects)
{
  aEffects.push_back(AnswerReport({ .report = aReport, .accepted = true }));
}

void
RefuseReport(const TargetDeparted& aDeparture,
             std::uint64_t aReport,
             const char* aReason,
             Effects& aEffects)
{
  aEffects.push_back(AnswerReport({ .report = aReport, .accepted = false }));
  AddLogLine(aEffects,
             LogEvent::kDepartureRefused,
             "instance=" + aDeparture.Instance() + " reason=" + aReason);
}

bool
IsSameStart(const TargetDeparted& aLeft, const TargetDeparted& aRight)
{
  return aLeft.Instance() == aRight.Instance() && aLeft.StartedByMs() == aRight.StartedByMs();
}

} // namespace

DepartureLog::Entry&
DepartureLog::EntryOf(const TargetDeparted& aDeparture, Effects& aEffects)
{
  const std::vector<Entry>::iterator found =
    std::find_if(this->entries.begin(), this->entries.end(), [&aDeparture](const Entry& aEntry) {
      return IsSameStart(aEntry.departure, aDeparture);
    });
  if (found != this->entries.end()) {
    return *found;
  }
  if (this->entries.size() == kMaxDepartures) {
    for (const Report& report : this->entries.front().waiting) {
      RefuseReport(this->entries.front().departure, report.number, "too_many_waiting", aEffects);
    }
    this->entries.erase(this->entries.begin());
  }
  this->entries.push_back(Entry{ .departure = aDeparture });
  return this->entries.back();
}

bool
DepartureLog::Receive(const TargetDeparted& aDeparture,
                      std::uint64_t aReport,
                      Time aNow,
                      Effects& aEffects)
{
  Entry& entry = this->EntryOf(aDeparture, aEffects);
  if (entry.recorded) {
    AcceptReport(aReport, aEffects);
    return false;
  }
  entry.waiting.push_back({ aReport, aNow + kAnswerTimeout });
  aEffects.push_back(RecordDeparture({ .departure = entry.departure }));
  return true;
}

void
DepartureLog::Receive(const DepartureRecorded& aRecorded, Effects& aEffects)
{
  for (Entry& entry : this->entries) {
    if (!IsSameStart(entry.departure, aRecorded.Departure())) {
      continue;
    }
    entry.recorded = true;
    for (const Report& report : entry.waiting) {
      AcceptReport(report.number, aEffects);
    }
    entry.waiting.clear();
  }
}

void
DepartureLog::Poll(Time aNow, Effects& aEffects)
{
  for (Entry& entry : this->entries) {
    std::erase_if(entry.waiting, [aNow, &entry, &aEffects](const Report& aReport) {
      const bool expired = aNow >= aReport.deadline;
      if (expired) {
        RefuseReport(entry.departure, aReport.number, "not_recorded_in_time", aEffects);
      }
      return expired;
    });
  }
}

Time
DepartureLog::NextWake() const
{
  Time next = Time::max();
  for (const Entry& entry : this->entries) {
    for (const Report& report : entry.waiting) {
      next = std::min(next, report.deadline);
    }
  }
  return next;
}

} // namespace jackdawwind
