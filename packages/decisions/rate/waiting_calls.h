// Calls that wait for a token, in arrival order within each organisation.
//
//   waiting.Add("north-farm", exchange, now + 60ms);
//   while (waiting.Count("north-farm") > 0 && TakeToken()) { waiting.PopFirst("north-farm"); }
//   for (const WaitingCall& call : waiting.PopExpired(now)) { ... }
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "util/clock.h"

namespace jackdawwind {

struct WaitingCall
{
  std::uint64_t exchange = 0;
  std::string organisation;
  Time deadline{};
};

class WaitingCalls
{
public:
  /// Deadlines of one organisation must not decrease.
  void Add(const std::string& aOrganisation, std::uint64_t aExchange, Time aDeadline);
  /// Removes the call if it is waiting.
  void Remove(std::uint64_t aExchange);
  std::uint32_t Count(const std::string& aOrganisation) const;
  /// Number of waiting calls by organisation, without those that have none.
  std::map<std::string, std::uint32_t> Counts() const;
  /// Removes the call that has waited longest and returns its exchange; there must be one.
  std::uint64_t PopFirst(const std::string& aOrganisation);
  /// Removes and returns the calls whose deadline has passed.
  std::vector<WaitingCall> PopExpired(Time aNow);
  /// Earliest deadline; Time::max() when no call waits.
  Time NextDeadline() const;

private:
  std::map<std::string, std::deque<WaitingCall>> calls;
};

} // namespace jackdawwind
