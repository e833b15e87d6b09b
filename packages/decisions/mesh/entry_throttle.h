// Rejects requests at their entry node that the nodes of the service would most likely refuse.
//
//   EntryThrottle throttle(seed);
//   if (throttle.ShouldReject("fleet", rank, now)) { ... reject as not run ... }
//   throttle.NoteAccepted("fleet", rank, now);         // a node accepted the request
//
// Under a heavy overload most requests are refused by every node that they are sent to, which costs
// the nodes more than the requests that they serve. This is adaptive throttling as in "Site
// Reliability Engineering" (2016), chapter 21: with r requests and a accepted ones in the recent
// past, a request is rejected with the probability (r - K * a) / r, so that the nodes of the
// service receive about K times what they accept. Because K exceeds 1, room that becomes free is
// noticed. Each rank of a service has its own counts, so requests that are shed last are throttled
// last. Costs one tree access per call; memory grows with the number of services and ranks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class EntryThrottle
{
public:
  explicit EntryThrottle(std::uint64_t aSeed);

  /// Counts a request and decides whether to reject it.
  bool ShouldReject(const std::string& aService, std::uint32_t aRank, Time aNow);
  void NoteAccepted(const std::string& aService, std::uint32_t aRank, Time aNow);

private:
  /// Counts that decay exponentially.
  struct Counts
  {
    double requests = 0;
    double accepted = 0;
    Time updatedAt{};
  };

  Counts& Update(const std::string& aService, std::uint32_t aRank, Time aNow);

  Random random;
  std::map<std::pair<std::string, std::uint32_t>, Counts> counts;
};

} // namespace jackdawwind
