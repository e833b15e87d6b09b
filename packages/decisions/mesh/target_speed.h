// Estimates how long each target takes for a route, from the times that the targets' nodes state
// with their responses.
//
//   TargetSpeed speed;
//   speed.Note("a3", "fleet-read", expectedTime, now);         // with each response
//   std::vector<TargetSpeed::Estimate> times = speed.Estimates("fleet-read", nodes, now);
//
// Targets of a service differ in speed, and one may become several times slower for a while. A
// stated time counts in full for kFullAge. Then it fades to the mean of the other targets, so that
// a target that was slow is tried again. A target counts as slow while the last stated time is more
// than kSlowFactor times the median; while it does, the picker sends it one request at a time. The
// median, unlike the mean, is not moved by slow targets while these are fewer than half.
//
// Estimates is linear in the number of nodes (times the logarithm of all nodes); the other
// operations are logarithmic. A time older than kMaxAge is unknown again.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "util/clock.h"

namespace jackdawwind {

class TargetSpeed
{
public:
  /// Age up to which a stated time counts in full, and age at which it has faded to the mean.
  static constexpr Duration kFullAge = std::chrono::seconds(2);
  static constexpr Duration kFadedAge = std::chrono::seconds(4);
  /// Age from which a stated time does not count for the mean and the median either.
  static constexpr Duration kMaxAge = std::chrono::seconds(10);
  /// Ratio to the median above which a target is slow. Targets whose speeds are between 0.5 and 1.5
  /// of the mean take at most twice the median.
  static constexpr double kSlowFactor = 3;
  /// Difference to the median up to which no target is slow; callers do not notice it.
  static constexpr Duration kMinSlowDifference = std::chrono::milliseconds(20);

  struct Estimate
  {
    /// Zero if nothing is known about any target.
    Duration expected{};
    bool slow = false;
    /// Whether the target has stated a time within kMaxAge; expected is the mean otherwise.
    bool known = false;

    friend bool operator==(const Estimate&, const Estimate&) = default;
  };

  /// Notes the time that a target's node states for a route; zero (unknown) is ignored.
  void Note(const std::string& aNode, std::string_view aRoute, Duration aExpected, Time aNow);
  void Forget(const std::string& aNode);
  /// Estimates for these nodes, in their order. The mean and the median are those of these nodes.
  std::vector<Estimate> Estimates(std::string_view aRoute,
                                  const std::vector<std::string_view>& aNodes,
                                  Time aNow) const;

private:
  struct Stated
  {
    Duration time{};
    Time at{};
  };

  using Routes = std::map<std::string, Stated, std::less<>>;

  /// Null if the node has stated no time for the route within kMaxAge.
  const Stated* Find(std::string_view aNode, std::string_view aRoute, Time aNow) const;

  std::map<std::string, Routes, std::less<>> byNode;
};

} // namespace jackdawwind
