#include "decisions/overload/node_load_cache.h"

namespace jackdawwind {

namespace {

/// Older reports no longer describe the state of the target.
constexpr Duration kReportLifetime = std::chrono::seconds(1);

constexpr std::uint32_t kImportanceClasses = static_cast<std::uint32_t>(Importance::kBulk) + 1;

} // namespace

std::uint32_t
RankOf(Importance aImportance, std::uint32_t aPriority)
{
  const std::uint32_t classesBelow =
    kImportanceClasses - 1 - static_cast<std::uint32_t>(aImportance);
  return classesBelow * kPrioritiesPerClass + aPriority;
}

void
NodeLoadCache::Update(const std::string& aNode,
                      std::uint32_t aLevel,
                      std::uint32_t aLoad,
                      Time aNow)
{
  this->reports[aNode] = Report{ aLevel, aLoad, aNow };
}

void
NodeLoadCache::Forget(const std::string& aNode)
{
  this->reports.erase(aNode);
}

bool
NodeLoadCache::Admits(const std::string& aNode, std::uint32_t aRank, Time aNow) const
{
  const std::map<std::string, Report>::const_iterator report = this->reports.find(aNode);
  if (report == this->reports.end() || aNow - report->second.receivedAt > kReportLifetime) {
    return true;
  }
  return aRank >= report->second.level;
}

std::uint32_t
NodeLoadCache::LoadOf(const std::string& aNode, Time aNow) const
{
  const std::map<std::string, Report>::const_iterator report = this->reports.find(aNode);
  if (report == this->reports.end() || aNow - report->second.receivedAt > kReportLifetime) {
    return 0;
  }
  return report->second.load;
}

} // namespace jackdawwind
