#include "decisions/membership/failure_detector.h"

#include <algorithm>

namespace jackdawwind {

FailureDetector::FailureDetector(Duration aPeriod, Duration aAckTimeout, Duration aSuspicionTimeout)
  : period(aPeriod)
  , ackTimeout(aAckTimeout)
  , suspicionTimeout(aSuspicionTimeout)
{
}

std::uint64_t
FailureDetector::Begin(const std::string& aSubject, Time aNow)
{
  this->running = Running{ aSubject, this->NextSequence(), aNow, false };
  return this->running->sequence;
}

void
FailureDetector::Acknowledge(std::uint64_t aSequence)
{
  if (this->running && this->running->sequence == aSequence) {
    this->running.reset();
  }
}

ProbeVerdict
FailureDetector::Check(Time aNow)
{
  if (!this->running) {
    return ProbePending{};
  }
  if (aNow >= this->running->begun + this->period) {
    const std::string subject = this->running->subject;
    this->running.reset();
    return ProbeFailed{ subject };
  }
  if (!this->running->othersAsked && aNow >= this->running->begun + this->ackTimeout) {
    this->running->othersAsked = true;
    return ProbeUnanswered{ this->running->subject, this->running->sequence };
  }
  return ProbePending{};
}

std::uint64_t
FailureDetector::BeginRelay(const RelayOrigin& aOrigin, Time aNow)
{
  std::erase_if(this->relays, [this, aNow](const std::pair<const std::uint64_t, Relay>& aEntry) {
    return aEntry.second.begun + this->period < aNow;
  });
  const std::uint64_t sequence = this->NextSequence();
  this->relays[sequence] = Relay{ aOrigin, aNow };
  return sequence;
}

std::optional<RelayOrigin>
FailureDetector::EndRelay(std::uint64_t aSequence)
{
  const std::map<std::uint64_t, Relay>::iterator found = this->relays.find(aSequence);
  if (found == this->relays.end()) {
    return std::nullopt;
  }
  const RelayOrigin origin = found->second.origin;
  this->relays.erase(found);
  return origin;
}

void
FailureDetector::Suspect(const std::string& aNode, Time aNow)
{
  this->suspicions.try_emplace(aNode, aNow + this->suspicionTimeout);
}

std::vector<std::string>
FailureDetector::TakeExpired(Time aNow)
{
  std::vector<std::string> expired;
  for (const auto& [node, deadline] : this->suspicions) {
    if (deadline <= aNow) {
      expired.push_back(node);
    }
  }
  for (const std::string& node : expired) {
    this->suspicions.erase(node);
  }
  return expired;
}

void
FailureDetector::Restart(Time aNow)
{
  this->running.reset();
  for (auto& [node, deadline] : this->suspicions) {
    deadline = aNow + this->suspicionTimeout;
  }
}

Time
FailureDetector::NextDue() const
{
  Time due = Time::max();
  if (this->running) {
    due = this->running->begun + (this->running->othersAsked ? this->period : this->ackTimeout);
  }
  for (const auto& [node, deadline] : this->suspicions) {
    due = std::min(due, deadline);
  }
  return due;
}

} // namespace jackdawwind
