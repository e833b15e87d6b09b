// Mean time that requests of each route take at the local target, for the nodes that send to it.
//
//   RouteTimes times;
//   times.NoteAnswer("fleet-read", took, now);
//   times.NoteTimeout("fleet-read", waited, now);      // the target has not answered in this time
//   Duration mean = times.Mean("fleet-read");          // zero if unknown
//
// The mean follows a change of speed within a second: a sample weighs the more, the longer ago the
// previous one was, and after kHorizon without samples it replaces the mean. A target that is tried
// with single requests therefore counts as fast again after one fast response. The scheduler's
// means are slower, because its deadline checks must not follow single samples.
//
// All operations are logarithmic in the number of routes.
#pragma once

#include <map>
#include <string>

#include "util/clock.h"

namespace jackdawwind {

class RouteTimes
{
public:
  /// Time without samples after which the next one replaces the mean.
  static constexpr Duration kHorizon = std::chrono::seconds(2);
  /// Weight of a sample that directly follows another one. With a target that is twelve times
  /// slower than before, the second response raises the mean above three times its old value.
  static constexpr double kMinWeight = 0.125;

  void NoteAnswer(const std::string& aRoute, Duration aTook, Time aNow);
  /// Notes a request without a response, a lower bound of the time: it never lowers the mean.
  void NoteTimeout(const std::string& aRoute, Duration aWaited, Time aNow);
  /// Zero if no request of the route has ended yet.
  Duration Mean(const std::string& aRoute) const;

private:
  struct Record
  {
    Duration mean{};
    Time at{};
  };

  std::map<std::string, Record> byRoute;
};

} // namespace jackdawwind
