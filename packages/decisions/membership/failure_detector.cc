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
FailureDetector::BeginProbe(const std::string& aSubject, Time aNow)
{
  this->directProbe = DirectProbe{ aSubject, this->NextSequence(), aNow, false };
  return this->directProbe->sequence;
}

void
FailureDetector::Acknowledge(std::uint64_t aSequence)
{
  if (this->directProbe && this->directProbe->sequence == aSequence) {
    this->directProbe.reset();
  }
}

ProbeStatus
FailureDetector::Check(Time aNow)
{
  if (!this->directProbe) {
    return ProbePending{};
  }
  if (aNow >= this->directProbe->startedAt + this->period) {
    const std::string subject = this->directProbe->subject;
    this->directProbe.reset();
    return ProbeFailed{ subject };
  }
  if (!this->directProbe->indirectRequested &&
      aNow >= this->directProbe->startedAt + this->ackTimeout) {
    this->directProbe->indirectRequested = true;
    return ProbeUnanswered{ this->directProbe->subject, this->directProbe->sequence };
  }
  return ProbePending{};
}

std::uint64_t
FailureDetector::BeginIndirectProbe(const IndirectProbeOrigin& aOrigin, Time aNow)
{
  std::erase_if(this->indirectProbes,
                [this, aNow](const std::pair<const std::uint64_t, IndirectProbe>& aEntry) {
                  return aEntry.second.startedAt + this->period < aNow;
                });
  const std::uint64_t sequence = this->NextSequence();
  this->indirectProbes[sequence] = IndirectProbe{ aOrigin, aNow };
  return sequence;
}

std::optional<IndirectProbeOrigin>
FailureDetector::EndIndirectProbe(std::uint64_t aSequence)
{
  const std::map<std::uint64_t, IndirectProbe>::iterator found =
    this->indirectProbes.find(aSequence);
  if (found == this->indirectProbes.end()) {
    return std::nullopt;
  }
  const IndirectProbeOrigin origin = found->second.origin;
  this->indirectProbes.erase(found);
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
  this->directProbe.reset();
  for (auto& [node, deadline] : this->suspicions) {
    deadline = aNow + this->suspicionTimeout;
  }
}

Time
FailureDetector::NextDue() const
{
  Time due = Time::max();
  if (this->directProbe) {
    due = this->directProbe->startedAt +
          (this->directProbe->indirectRequested ? this->period : this->ackTimeout);
  }
  for (const auto& [node, deadline] : this->suspicions) {
    due = std::min(due, deadline);
  }
  return due;
}

} // namespace jackdawwind
