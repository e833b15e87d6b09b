#include "decisions/rate/report_filter.h"

#include <utility>

namespace jackdawwind {

bool
ReportFilter::Accept(const StewardReport& aReport)
{
  Entry& entry = this->newest[aReport.Sender().Node()];
  const bool newIncarnation = aReport.Incarnation() > entry.incarnation;
  const bool newer =
    aReport.Incarnation() == entry.incarnation && aReport.Sequence() > entry.sequence;
  if (newIncarnation || newer) {
    entry = Entry{ aReport.Incarnation(), aReport.Sequence() };
    return true;
  }
  return false;
}

void
ReportFilter::Retain(const std::set<std::string>& aNodes)
{
  std::erase_if(this->newest, [&aNodes](const std::pair<const std::string, Entry>& aEntry) {
    return aNodes.count(aEntry.first) == 0;
  });
}

} // namespace jackdawwind
