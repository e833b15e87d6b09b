#include "decisions/mesh/target_speed.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

double
Microseconds(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

/// Weight of a stated time against the mean of the other targets.
double
WeightOf(Duration aAge)
{
  const Duration fading = TargetSpeed::kFadedAge - TargetSpeed::kFullAge;
  return std::clamp(Seconds(TargetSpeed::kFadedAge - aAge) / Seconds(fading), 0.0, 1.0);
}

/// Lower median; zero if there are no times.
Duration
MedianOf(std::vector<Duration> aTimes)
{
  if (aTimes.empty()) {
    return Duration::zero();
  }
  const std::vector<Duration>::iterator middle =
    aTimes.begin() + static_cast<std::ptrdiff_t>((aTimes.size() - 1) / 2);
  std::nth_element(aTimes.begin(), middle, aTimes.end());
  return *middle;
}

} // namespace

void
TargetSpeed::Note(const std::string& aNode, std::string_view aRoute, Duration aExpected, Time aNow)
{
  if (aExpected <= Duration::zero()) {
    return;
  }
  Routes& routes = this->byNode[aNode];
  // Routes that the configuration no longer has would otherwise stay forever.
  std::erase_if(
    routes, [aNow](const Routes::value_type& aEntry) { return aNow - aEntry.second.at > kMaxAge; });
  routes.insert_or_assign(std::string(aRoute), Stated{ .time = aExpected, .at = aNow });
}

void
TargetSpeed::Forget(const std::string& aNode)
{
  this->byNode.erase(aNode);
}

const TargetSpeed::Stated*
TargetSpeed::Find(std::string_view aNode, std::string_view aRoute, Time aNow) const
{
  const auto node = this->byNode.find(aNode);
  if (node == this->byNode.end()) {
    return nullptr;
  }
  const Routes::const_iterator route = node->second.find(aRoute);
  const bool known = route != node->second.end() && aNow - route->second.at <= kMaxAge;
  return known ? &route->second : nullptr;
}

std::vector<TargetSpeed::Estimate>
TargetSpeed::Estimates(std::string_view aRoute,
                       const std::vector<std::string_view>& aNodes,
                       Time aNow) const
{
  std::vector<const Stated*> stated;
  std::vector<Duration> times;
  Duration sum{};
  stated.reserve(aNodes.size());
  for (const std::string_view node : aNodes) {
    const Stated* const found = this->Find(node, aRoute, aNow);
    stated.push_back(found);
    if (found != nullptr) {
      times.push_back(found->time);
      sum += found->time;
    }
  }
  const std::int64_t count = static_cast<std::int64_t>(times.size());
  const Duration median = MedianOf(std::move(times));
  std::vector<Estimate> estimates;
  estimates.reserve(stated.size());
  for (const Stated* const own : stated) {
    if (own == nullptr) {
      estimates.push_back({ .expected = count > 0 ? sum / count : Duration::zero() });
      continue;
    }
    const Duration others = count > 1 ? (sum - own->time) / (count - 1) : own->time;
    const double weight = WeightOf(aNow - own->at);
    const double expected = Microseconds(own->time) * weight + Microseconds(others) * (1 - weight);
    estimates.push_back({ .expected = Duration(static_cast<Duration::rep>(expected)),
                          .slow = Microseconds(own->time) > Microseconds(median) * kSlowFactor &&
                                  own->time - median > kMinSlowDifference,
                          .known = true });
  }
  return estimates;
}

} // namespace jackdawwind
