#include "decisions/rate/vote_promise.h"

namespace jackdawwind {

namespace {

/// Largest distance, in microseconds, from the promised mark to the mark of a release of the same
/// term. A promise is renewed with a mark that is at most kPromiseDuration old and lasts
/// kPromiseDuration, so the distance is at most 6 s; the rest is margin.
constexpr std::uint64_t kMaxMarkDistanceMicros = 10'000'000;

} // namespace

bool
VotePromise::MayVote(const std::string& aCandidate, Time aNow) const
{
  return aNow >= this->expiresAt || (!this->holder.empty() && this->holder == aCandidate);
}

void
VotePromise::Make(const std::string& aCandidate, std::uint64_t aMark, Time aNow)
{
  this->holder = aCandidate;
  this->mark = aMark;
  this->expiresAt = aNow + kPromiseDuration;
}

void
VotePromise::Release(const std::string& aHolder, std::uint64_t aMark)
{
  if (this->holder.empty() || this->holder != aHolder ||
      aMark - this->mark > kMaxMarkDistanceMicros) {
    return;
  }
  this->holder.clear();
  this->expiresAt = Time::min();
}

std::string
VotePromise::Holder(Time aNow) const
{
  return aNow < this->expiresAt ? this->holder : std::string();
}

} // namespace jackdawwind
