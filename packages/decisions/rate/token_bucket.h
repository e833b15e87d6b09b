// Token bucket of one organisation at the steward of a domain.
//
//   bucket.SetLimit({ .perSecond = 50, .burst = 100 }, now);
//   const std::uint32_t granted = bucket.HandOut(20, life, now);
//   const bool admitted = bucket.Spend(now);
//
// Tokens that are handed out may be spent at any time until they expire, so they count against the
// burst until then: tokens in the bucket plus tokens handed out and alive never exceed the burst,
// and tokens appear at the rate. Calls admitted with its tokens in any window therefore never
// exceed rate x window + burst. The fraction of a token is kept in the bucket. Costs O(1)
// amortised.
#pragma once

#include <cstdint>
#include <map>

#include "decisions/rate/share_limits.h"
#include "util/clock.h"

namespace jackdawwind {

class TokenBucket
{
public:
  /// An empty bucket that fills from aStart on.
  explicit TokenBucket(Time aStart)
    : filledAt(aStart)
  {
  }

  /// A smaller burst takes effect at once; tokens handed out before stay valid.
  void SetLimit(BucketLimit aLimit, Time aNow);
  const BucketLimit& Limit() const { return this->limit; }

  /// Whole tokens in the bucket.
  std::uint32_t Available(Time aNow);
  /// Takes up to aWant tokens that others may spend until aNow + aLife.
  std::uint32_t HandOut(std::uint32_t aWant, Duration aLife, Time aNow);
  /// Takes one token for a call that is admitted at this moment.
  bool Spend(Time aNow);
  /// When the next whole token can appear; Time::max() for never.
  Time NextToken(Time aNow);

private:
  void Advance(Time aNow);
  void Fill(Time aUntil);

  BucketLimit limit;
  double level = 0;
  Time filledAt;
  /// Tokens handed out, by the time they expire.
  std::map<Time, std::uint32_t> handedOut;
  std::uint64_t alive = 0;
};

} // namespace jackdawwind
