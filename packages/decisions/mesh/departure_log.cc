#include "decisions/mesh/departure_log.h"

#include <algorithm>

namespace jackdawwind {

namespace {

void
Answer(std::uint64_t aReport, bool aAccepted, Effects& aEffects)
{
  aEffects.push_back(AnswerReport({ .report = aReport, .accepted = aAccepted }));
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
      Answer(report.number, false, aEffects);
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
    Answer(aReport, true, aEffects);
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
      Answer(report.number, true, aEffects);
    }
    entry.waiting.clear();
  }
}

void
DepartureLog::Poll(Time aNow, Effects& aEffects)
{
  for (Entry& entry : this->entries) {
    std::erase_if(entry.waiting, [aNow, &aEffects](const Report& aReport) {
      const bool expired = aNow >= aReport.deadline;
      if (expired) {
        Answer(aReport.number, false, aEffects);
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
