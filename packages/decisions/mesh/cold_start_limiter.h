// Limits the rate of requests to the local target while it is cold.
//
//   ColdStartLimiter limiter;
//   limiter.Configure(configuration.ColdStarts(), now);
//   limiter.Receive(beat, now);                    // every report of the target that is accepted
//   if (limiter.MayStart(now)) { limiter.NoteStart(now); ... send the request ... }
//
// A target that has just started is cold: it takes few requests a second and crashes well above
// that. It may become cold again later. It counts as cold for the time that its last report states,
// and for the configured time after a start that a report tells of, unless that report says that
// the target is no longer cold. Only this node sends to the target, so this limit holds for the
// whole fleet.
//
// The limit is a token bucket that holds kBurst requests and is empty when the target becomes cold,
// because the requests sent just before count as well. It is kept as the time at which the bucket
// is full, so there is no rounding. A service without a rule has no limit. Until the first
// configuration kUnconfiguredRate applies.
//
// Receive and Configure are linear in the number of rules; the other operations take constant time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/mesh.h"

namespace jackdawwind {

class ColdStartLimiter
{
public:
  /// Requests that may start at once. Small, since requests may meet on their way to the target.
  static constexpr int kBurst = 2;
  /// Requests per second before the first configuration.
  static constexpr double kUnconfiguredRate = 1;

  /// Sets the rules of all services.
  void Configure(std::vector<ColdStartRule> aRules, Time aNow);
  void Receive(const TargetHeartbeat& aBeat, Time aNow);

  /// Whether the target is cold and its service has a limit.
  bool IsCold(Time aNow) const { return aNow < this->ColdUntil(); }
  /// Time until which the target is cold, as far as is known; Time{} without a limit.
  Time ColdUntil() const;
  bool MayStart(Time aNow) const { return !this->IsCold(aNow) || aNow >= this->OpensAt(); }
  void NoteStart(Time aNow);
  /// Time from which a request may start; only meaningful while MayStart is false.
  Time OpensAt() const;
  /// Time between two starts; zero unless the target is cold.
  Duration Interval(Time aNow) const;

private:
  struct Limit
  {
    Duration interval{};
    Duration coldTime{};
  };

  /// Limit of the target's service; empty if it has none.
  std::optional<Limit> LimitOf(const std::string& aService) const;
  void SetLimit(bool aWasCold, Time aNow);

  bool configured = false;
  std::vector<ColdStartRule> rules;
  /// Last report; empty before the first one.
  std::optional<TargetHeartbeat> last;
  std::optional<Limit> limit;
  Time reportedUntil{};
  /// Time at which the last start of the target was learnt of, if the target was cold then.
  std::optional<Time> startSeenAt;
  /// Time at which the bucket is full.
  Time fullAt{};
};

} // namespace jackdawwind
