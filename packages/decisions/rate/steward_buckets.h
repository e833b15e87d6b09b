// The token buckets of a domain's steward, one per organisation.
//
//   buckets.SetLimits(limits, now);     // on every configuration
//   buckets.BeginTerm(now);             // on election: empty, and closed for one token life
//   const TokenGrant grant = buckets.Grant("north-farm", 20, now);
//   buckets.EndTerm();
//
// A term is the time during which a steward holds its lease. A new steward starts with empty
// buckets and keeps them closed for the longest token life, so that all tokens of its predecessor
// have expired before it grants its own.
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
/// Shortest life of a token; must exceed the latency of the slow link and the time that a call
/// waits for a token.
inline constexpr Duration kMinTokenLife = std::chrono::milliseconds(50);
/// Added to lives that this node waits out, to allow for clock drift between hosts: 20 ms in 2 s is
/// 1%, far above the drift of a host's clock.
inline constexpr Duration kClockDriftMargin = std::chrono::milliseconds(20);

class StewardBuckets
{
public:
  /// Sets the own domain's part of each organisation's limit; see DelayedLimit for when it takes
  /// effect.
  void SetLimits(const std::map<std::string, BucketLimit>& aLimits, Time aNow);

  /// Starts a term with empty buckets that open after kMaxTokenLife and the drift margin.
  void BeginTerm(Time aNow);
  /// Ends the term and discards the buckets.
  void EndTerm();
  /// Creates and refills all buckets; to be called every second, so that unused ones fill as well.
  void Refresh(Time aNow);

  /// Grants up to aWant tokens, possibly none, to a node of the own domain; the grant's Life() is
  /// the time in which the node may spend them.
  TokenGrant Grant(const std::string& aOrganisation, std::uint32_t aWant, Time aNow);
  /// Grants up to aWant tokens to another domain, except for a reserve for the own domain's demand.
  TokenGrant Lend(const std::string& aOrganisation, std::uint32_t aWant, Time aNow);
  /// Takes a token for a call that this node admits now.
  bool Spend(const std::string& aOrganisation, Time aNow);
  /// Records demand of the own domain.
  void NoteDemand(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  /// Tokens per second by which the own domain's demand exceeds its rate; 0 when it does not.
  double ExcessDemand(const std::string& aOrganisation, Time aNow) const;

  /// When the next token may be available; Time::max() for never.
  Time NextToken(const std::string& aOrganisation, Time aNow);

private:
  struct Account
  {
    DelayedLimit limit;
    std::optional<TokenBucket> bucket;
    DemandEstimate demand;
  };

  /// The bucket, refilled and with the limit in force; null for an unknown organisation or while
  /// the buckets are closed.
  TokenBucket* Find(const std::string& aOrganisation, Time aNow);
  TokenGrant HandOut(const std::string& aOrganisation,
                     TokenBucket& aBucket,
                     std::uint32_t aWant,
                     Time aNow);

  std::map<std::string, Account> accounts;
  /// When this term's buckets open; nothing outside a term.
  std::optional<Time> opensAt;
};

/// Life of a bucket's tokens: the time in which half of the burst is refilled at the rate, between
/// kMinTokenLife and kMaxTokenLife. Handed-out tokens count against the burst until they expire,
/// even when spent, so a longer life would refuse calls within the rate.
Duration TokenLifeOf(const BucketLimit& aLimit);

} // namespace jackdawwind
