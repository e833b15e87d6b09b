// Token bucket of one organisation at the steward of a domain.
//
//   bucket.SetLimit({ .perSecond = 50, .burst = 100 }, now);
//   const std::uint32_t granted = bucket.HandOut(20, life, now);
//   const bool admitted = bucket.Spend(now);
//
// Tokens that are handed out may be spent at any time until they expire, so they count against the
// burst until then: the tokens in the bucket plus the outstanding tokens never exceed the burst,
// and tokens are added at the rate. The calls admitted with the bucket's tokens in any window
// therefore never exceed rate x window + burst. Fractions of a token stay in the bucket. Operations
// cost O(1) amortised.
#pragma once

#include <cstdint>
#include <map>

#include "decisions/rate/share_limits.h"
#include "util/clock.h"

namespace jackdawwind {

class TokenBucket
{
public:
  /// Creates an empty bucket that fills from aStart on.
  explicit TokenBucket(Time aStart)
    : filledAt(aStart)
  {
  }

  /// A smaller burst takes effect at once; outstanding tokens stay valid.
  void SetLimit(BucketLimit aLimit, Time aNow);
  const BucketLimit& Limit() const { return this->limit; }

  /// Whole tokens in the bucket.
  std::uint32_t Available(Time aNow);
  /// Hands out up to aWant tokens that may be spent until aNow + aLife; returns their number.
  std::uint32_t HandOut(std::uint32_t aWant, Duration aLife, Time aNow);
  /// Takes one token for a call that is admitted now.
  bool Spend(Time aNow);
  /// When the next whole token can be available; Time::max() for never.
  Time NextToken(Time aNow);

private:
  /// Returns the capacity of expired tokens and fills the bucket up to aNow.
  void Advance(Time aNow);
  void Fill(Time aUntil);

  BucketLimit limit;
  double level = 0;
  Time filledAt;
  /// Outstanding tokens by expiry time.
  std::map<Time, std::uint32_t> handedOutByExpiry;
  /// Tokens handed out and not yet expired, whether spent or not.
  std::uint64_t outstanding = 0;
};

} // namespace jackdawwind
