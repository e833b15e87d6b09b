// The steward's buckets, one per organisation, and whether they may be used yet.
//
//   book.SetLimits(limits, now);     // on every configuration
//   book.BeginTerm(now);             // on election; empty, and closed for one token lifetime
//   const TokenGrant grant = book.Grant("north-farm", 20, now);
//   book.EndTerm();
//
// A new steward starts with empty buckets and waits one token lifetime, so that tokens of its
// predecessor have expired before its own appear.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "decisions/rate/demand_estimate.h"
#include "decisions/rate/share_limits.h"
#include "decisions/rate/token_bucket.h"
#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

/// Longest life of a token.
inline constexpr Duration kMaxTokenLife = std::chrono::seconds(2);
/// Shortest life; must exceed the way over the slow link and a call's wait for a token.
inline constexpr Duration kMinTokenLife = std::chrono::milliseconds(50);
/// Added to lifetimes where they are waited out, for clocks that run at different speeds: 20 ms in
/// 2 s is 1%, far beyond the drift of a host's clock.
inline constexpr Duration kClockDriftMargin = std::chrono::milliseconds(20);

class StewardBuckets
{
public:
  /// Parts of the own domain; growth is delayed, see DelayedLimit.
  void SetLimits(const std::map<std::string, BucketLimit>& aLimits, Time aNow);

  void BeginTerm(Time aNow);
  void EndTerm();
  /// Brings all buckets up to date; call it every second, so that unused buckets fill as well.
  void Refresh(Time aNow);

  /// Tokens for a node of the own domain, possibly none; nodes may spend them for Life().
  TokenGrant Grant(const std::string& aOrganisation, std::uint32_t aWant, Time aNow);
  /// Tokens for another domain's steward; keeps a reserve for the own domain's demand.
  TokenGrant Lend(const std::string& aOrganisation, std::uint32_t aWant, Time aNow);
  /// Takes a token for a call that this node admits at this moment.
  bool Spend(const std::string& aOrganisation, Time aNow);
  /// Notes demand of the own domain.
  void NoteDemand(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  /// Tokens per second that the own domain wants above its own rate; 0 when it wants less.
  double ExcessDemand(const std::string& aOrganisation, Time aNow) const;

  /// When a token may be there; Time::max() for never.
  Time NextToken(const std::string& aOrganisation, Time aNow);

private:
  struct Account
  {
    DelayedLimit limit;
    std::optional<TokenBucket> bucket;
    DemandEstimate demand;
  };

  /// Bucket with the limit in force; null while none may be used.
  TokenBucket* Find(const std::string& aOrganisation, Time aNow);
  TokenGrant HandOut(const std::string& aOrganisation,
                     TokenBucket& aBucket,
                     std::uint32_t aWant,
                     Time aNow);

  std::map<std::string, Account> accounts;
  std::optional<Time> opensAt;
};

/// Life of tokens of a bucket: as long as the tokens used within one life are at most a quarter of
/// the burst. Handed-out tokens count against the burst even when spent, so a longer life would
/// refuse calls within the rate.
Duration TokenLifeOf(const BucketLimit& aLimit);

} // namespace jackdawwind
