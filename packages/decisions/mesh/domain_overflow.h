// Decides for each service what share of the requests may leave the failure domain, and the region.
//
//   DomainOverflow overflow;
//   overflow.SetMinGain(Distance::kOwnRegion, minGain);
//   overflow.Observe("fleet", Distance::kOwnRegion,
//                    { .near = bestAtHome, .far = bestElsewhere, .nearLoad = load }, now);
//   if (overflow.Take("fleet", Distance::kOwnRegion)) { ... this request may leave the domain ... }
//   overflow.Poll(now);
//   for (const DomainOverflow::Change& change : overflow.TakeChanges()) { ... }
//
// Leaving pays while the expected time near by exceeds the one beyond by more than the minimum
// gain. Every kStepInterval the share rises while it pays and falls while the gain is under half of
// that minimum; in between it stays. Steps are bounded and get smaller near these limits. Two
// further rules keep the share from swinging with the queue that it is meant to relieve:
//
// - It does not rise while the load near by falls: the queue shrinks already, and requests that
//   leave on top of that would leave targets near by idle.
// - It falls in small steps while the targets near by are full: without a queue they show no gain
//   any more, but requests that come back all at once would build the queue up again.
//
// Requests are spread by an accumulated share without randomness: a share of 0.1 sends every tenth
// request. A service without observations for a step has no requests, and its shares fall.
//
// All operations are logarithmic in the number of services, except Poll, which is linear.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "util/clock.h"
#include "values/generated/common.h"

namespace jackdawwind {

class DomainOverflow
{
public:
  static constexpr Duration kStepInterval = std::chrono::milliseconds(200);
  static constexpr double kMaxRise = 0.1;
  static constexpr double kMaxFall = 0.2;
  /// Move of a share that is reported.
  static constexpr double kReportedMove = 0.1;

  /// Comparison of the targets near by with those beyond a boundary.
  struct Comparison
  {
    /// Best expected time near by.
    Duration near{};
    /// Best expected time beyond, including the distance.
    Duration far{};
    /// Mean load near by, 1 when full.
    double nearLoad = 0;
  };

  /// New value of a share.
  struct Change
  {
    std::string service;
    /// kOwnRegion for the share that leaves the domain, kOtherRegion for the region.
    Distance distance = Distance::kOwnRegion;
    double share = 0;
    /// Whether the share started, ended or has moved by kReportedMove since the last report.
    bool reported = false;

    friend bool operator==(const Change&, const Change&) = default;
  };

  /// Sets the gain above which requests leave to this distance.
  void SetMinGain(Distance aDistance, Duration aMinGain);
  Duration MinGain(Distance aDistance) const;
  /// Notes what a request to the service found.
  void Observe(const std::string& aService,
               Distance aDistance,
               const Comparison& aComparison,
               Time aNow);
  /// Whether the next request belongs to the share that may leave to this distance. Counts it.
  bool Take(const std::string& aService, Distance aDistance);
  /// Moves the shares that are due.
  void Poll(Time aNow);
  /// Changes since the last call.
  std::vector<Change> TakeChanges();
  double Share(const std::string& aService, Distance aDistance) const;
  /// Time at which Poll is due; Time::max() while no request leaves.
  Time NextWake() const;

private:
  using Key = std::pair<std::string, Distance>;

  struct State
  {
    double share = 0;
    double reportedShare = 0;
    /// Part of a request that has accumulated.
    double credit = 0;
    /// Sums of the observations since the last step, gains in microseconds.
    double gainSum = 0;
    double loadSum = 0;
    std::uint32_t observations = 0;
    /// Smoothed inputs.
    double gain = 0;
    double load = 0;
    bool hasInputs = false;
    Time nextStep{};
  };

  void Step(const Key& aKey, State& aState);
  /// Change of the share by the smoothed inputs.
  static double MoveOf(const State& aState, double aPreviousLoad, double aMinGain);
  void SetShare(const Key& aKey, State& aState, double aShare);

  std::map<Distance, Duration> minGains;
  std::map<Key, State> states;
  std::vector<Change> changes;
};

} // namespace jackdawwind
