#include "decisions/rate/steward_election.h"

#include <algorithm>
#include <utility>

#include "decisions/rate/share_limits.h"
#include "decisions/rate/steward_buckets.h"
#include "decisions/rate/vote_promise.h"

namespace jackdawwind {

namespace {

/// Votes expire a margin before the promises, to allow for clock drift.
constexpr Duration kVoteDuration = kPromiseDuration - kClockDriftMargin;

} // namespace

StewardElection::StewardElection(std::uint64_t aMarkBase, Time aStart)
  : markBase(aMarkBase)
  , start(aStart)
{
}

void
StewardElection::SetHosts(std::uint32_t aHosts, Time aNow)
{
  if (!this->hostCounts.empty() && this->hostCounts.back().hosts == aHosts) {
    return;
  }
  while (this->hostCounts.size() > 1 && this->hostCounts[1].readAt + kGrowthDelay <= aNow) {
    this->hostCounts.erase(this->hostCounts.begin());
  }
  this->hostCounts.push_back(HostCount{ aNow, aHosts });
}

std::uint64_t
StewardElection::IssueMark(Time aNow) const
{
  const Duration age = std::max(Duration::zero(), aNow - this->start);
  return this->markBase + static_cast<std::uint64_t>(age.count());
}

void
StewardElection::CountVote(const std::string& aVoter, std::uint64_t aMark, Time aNow)
{
  // Bases are random, so a mark of another incarnation lies outside the accepted range.
  const std::uint64_t age = this->IssueMark(aNow) - aMark;
  if (this->resigned || aMark < this->markBase ||
      age >= static_cast<std::uint64_t>(kVoteDuration.count())) {
    return;
  }
  const Time end = aNow - Duration(static_cast<Duration::rep>(age)) + kVoteDuration;
  Time& voteEnd = this->voteEnds.try_emplace(aVoter, end).first->second;
  voteEnd = std::max(voteEnd, end);
}

void
StewardElection::CountOwnVote(const std::string& aSelf, Time aNow)
{
  if (!this->resigned) {
    this->voteEnds[aSelf] = aNow + kVoteDuration;
  }
}

LeaseChange
StewardElection::Update(Time aNow)
{
  const bool held = this->elected;
  // Votes that arrive after the lease has expired cannot renew it: another node may have held it
  // since.
  const bool lapsed = held && aNow >= this->leaseEnd;
  std::map<std::string, Time>::iterator vote = this->voteEnds.begin();
  while (vote != this->voteEnds.end()) {
    vote = vote->second <= aNow ? this->voteEnds.erase(vote) : std::next(vote);
  }
  this->leaseEnd = this->MajorityEnd(aNow);
  this->elected = !lapsed && aNow < this->leaseEnd;
  if (held != this->elected) {
    return held ? LeaseChange::kLost : LeaseChange::kWon;
  }
  return LeaseChange::kNone;
}

Time
StewardElection::LeaseEnd() const
{
  return this->elected ? this->leaseEnd : Time::max();
}

std::vector<std::string>
StewardElection::Resign()
{
  std::vector<std::string> voters;
  for (const std::pair<const std::string, Time>& vote : this->voteEnds) {
    voters.push_back(vote.first);
  }
  this->voteEnds.clear();
  this->elected = false;
  this->resigned = true;
  return voters;
}

Time
StewardElection::MajorityEnd(Time aNow) const
{
  const std::size_t needed = this->Hosts(aNow) / 2 + 1;
  if (this->hostCounts.empty() || this->voteEnds.size() < needed) {
    return Time::min();
  }
  std::vector<Time> ends;
  ends.reserve(this->voteEnds.size());
  for (const std::pair<const std::string, Time>& vote : this->voteEnds) {
    ends.push_back(vote.second);
  }
  const std::vector<Time>::iterator last =
    ends.begin() + static_cast<std::vector<Time>::difference_type>(needed - 1);
  std::nth_element(ends.begin(), last, ends.end(), std::greater<>());
  return *last;
}

std::uint32_t
StewardElection::Hosts(Time aNow) const
{
  std::uint32_t hosts = 0;
  for (std::size_t index = 0; index < this->hostCounts.size(); ++index) {
    const bool replaced = index + 1 < this->hostCounts.size() &&
                          this->hostCounts[index + 1].readAt + kGrowthDelay <= aNow;
    hosts = replaced ? hosts : std::max(hosts, this->hostCounts[index].hosts);
  }
  return hosts;
}

} // namespace jackdawwind
