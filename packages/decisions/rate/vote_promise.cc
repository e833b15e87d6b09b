#include "decisions/rate/vote_promise.h"

namespace jackdawwind {

namespace {

/// Marks count microseconds. A promise is renewed with a mark at most kPromiseDuration old and
/// lasts kPromiseDuration, so a release of the same term is at most this far ahead.
constexpr std::uint64_t kLongestMarkAge = 10'000'000;

} // namespace

bool
VotePromise::MayVote(const std::string& aCandidate, Time aNow) const
{
  return aNow >= this->freeAt || (!this->holder.empty() && this->holder == aCandidate);
}

void
VotePromise::Make(const std::string& aCandidate, std::uint64_t aMark, Time aNow)
{
  this->holder = aCandidate;
  this->mark = aMark;
  this->freeAt = aNow + kPromiseDuration;
}

void
VotePromise::Release(const std::string& aHolder, std::uint64_t aMark)
{
  if (this->holder.empty() || this->holder != aHolder || aMark - this->mark > kLongestMarkAge) {
    return;
  }
  this->holder.clear();
  this->freeAt = Time::min();
}

std::string
VotePromise::Holder(Time aNow) const
{
  return aNow < this->freeAt ? this->holder : std::string();
}

} // namespace jackdawwind
