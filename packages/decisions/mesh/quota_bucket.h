// Token bucket of one organisation, held by the node that owns its quota.
//
//   QuotaBucket bucket;
//   bucket.Configure(rate, burst);
//   bucket.Refill(share, now);
//   std::uint32_t granted = bucket.Grant(want, now);
//   std::uint32_t credit = bucket.GrantCredit("a1", 4, now);
//
// Most organisations stay far below their quota. While one does, the bucket grants credit: other
// nodes may admit a number of its requests at once and report them later. Reported requests are
// deducted, also below zero, so every request is counted once. The outstanding credit is limited to
// the unused rate of kCreditSeconds.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "decisions/rate/demand_estimate.h"
#include "util/clock.h"

namespace jackdawwind {

class QuotaBucket
{
public:
  void Configure(double aRate, double aBurst);
  /// Empties the bucket of a new owner. Until aThrottledUntil it refills with a fraction of the
  /// rate only, since the previous owner may still be granting on the other side of a partition.
  void Restart(Time aNow, Time aThrottledUntil);
  /// Adds the tokens since the last call. aShare: fraction of the quota that is available to the
  /// nodes of this side of a partition (FleetShare::Share).
  void Refill(double aShare, Time aNow);

  /// Takes up to aWant whole tokens and returns their number.
  std::uint32_t Grant(std::uint32_t aWant, Time aNow);
  /// Deducts reported requests that were admitted on credit, with mean age aAge. They are first
  /// charged to the tokens that have overflowed the bucket since then, as if each request had been
  /// reported at once.
  void Deduct(std::uint32_t aUsed, Duration aAge, Time aNow);
  /// Gives back a token that was not used.
  void Refund();
  /// Returns the number of requests, up to aWant, that a node may admit within kCreditLifetime
  /// before it reports them; replaces its earlier credit. 0 while the organisation uses much of its
  /// quota.
  std::uint32_t GrantCredit(const std::string& aNode, std::uint32_t aWant, Time aNow);

  /// Time after which credit expires.
  static constexpr Duration kCreditLifetime = std::chrono::seconds(5);

private:
  /// Averaging time of the consumption estimate.
  static constexpr Duration kConsumptionTime = std::chrono::seconds(2);

  /// Outstanding credit of a node.
  struct Credit
  {
    std::uint32_t requests = 0;
    Time expiresAt{};
  };

  void NoteOverflow(double aTokens, Time aNow);
  /// Takes up to aMaxTokens of the tokens that have overflowed since aFrom; returns their number.
  double TakeOverflow(double aMaxTokens, Time aFrom);

  double rate = 0;
  double burst = 0;
  double tokens = 0;
  /// Overflowed tokens by time slot of kOverflowSlot.
  std::map<std::int64_t, double> overflow;
  double share = 1;
  Time filledAt{};
  Time throttledUntil{};
  DemandEstimate consumption{ kConsumptionTime };
  std::map<std::string, Credit> outstanding;
};

} // namespace jackdawwind
