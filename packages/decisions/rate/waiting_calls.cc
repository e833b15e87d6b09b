#include "decisions/rate/waiting_calls.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

void
WaitingCalls::Add(const std::string& aOrganisation, std::uint64_t aExchange, Time aDeadline)
{
  this->calls[aOrganisation].push_back(WaitingCall{ aExchange, aOrganisation, aDeadline });
}

void
WaitingCalls::Remove(std::uint64_t aExchange)
{
  std::map<std::string, std::deque<WaitingCall>>::iterator queue = this->calls.begin();
  while (queue != this->calls.end()) {
    std::erase_if(queue->second,
                  [aExchange](const WaitingCall& aCall) { return aCall.exchange == aExchange; });
    queue = queue->second.empty() ? this->calls.erase(queue) : std::next(queue);
  }
}

std::uint32_t
WaitingCalls::Count(const std::string& aOrganisation) const
{
  const std::map<std::string, std::deque<WaitingCall>>::const_iterator found =
    this->calls.find(aOrganisation);
  return found == this->calls.end() ? 0U : static_cast<std::uint32_t>(found->second.size());
}

std::map<std::string, std::uint32_t>
WaitingCalls::Counts() const
{
  std::map<std::string, std::uint32_t> counts;
  for (const std::pair<const std::string, std::deque<WaitingCall>>& queue : this->calls) {
    counts[queue.first] = static_cast<std::uint32_t>(queue.second.size());
  }
  return counts;
}

std::uint64_t
WaitingCalls::PopFirst(const std::string& aOrganisation)
{
  const std::map<std::string, std::deque<WaitingCall>>::iterator found =
    this->calls.find(aOrganisation);
  const std::uint64_t exchange = found->second.front().exchange;
  found->second.pop_front();
  if (found->second.empty()) {
    this->calls.erase(found);
  }
  return exchange;
}

std::vector<WaitingCall>
WaitingCalls::PopExpired(Time aNow)
{
  std::vector<WaitingCall> expired;
  std::map<std::string, std::deque<WaitingCall>>::iterator queue = this->calls.begin();
  while (queue != this->calls.end()) {
    while (!queue->second.empty() && queue->second.front().deadline <= aNow) {
      expired.push_back(queue->second.front());
      queue->second.pop_front();
    }
    queue = queue->second.empty() ? this->calls.erase(queue) : std::next(queue);
  }
  return expired;
}

Time
WaitingCalls::NextDeadline() const
{
  Time next = Time::max();
  for (const std::pair<const std::string, std::deque<WaitingCall>>& queue : this->calls) {
    next = std::min(next, queue.second.front().deadline);
  }
  return next;
}

} // namespace jackdawwind
