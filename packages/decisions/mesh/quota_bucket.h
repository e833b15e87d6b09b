// Tokens of one organisation at the node that keeps its quota.
//
//   QuotaBucket bucket;
//   bucket.Configure(rate, burst);
//   bucket.Fill(share, now);
//   std::uint32_t granted = bucket.Grant(want, now);
//   std::uint32_t credit = bucket.GiveCredit("a1", 4, now);
//
// Answers the load pattern "most organisations stay far below their quota": while one does, the
// nodes that it enters at may let some of its requests in at once and report them later. What is
// reported is deducted, also below zero, so that nothing passes twice. The credit that is out at a
// time is at most what the quota leaves free in kCreditSeconds.
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
  /// Empties the bucket of a new keeper. Until aHeldUntil only a part of the rate flows, since the
  /// former keeper may still grant behind a cut.
  void Restart(Time aNow, Time aHeldUntil);
  /// Adds what has flowed since the last call. aShare: part of the fleet that this node stands for.
  void Fill(double aShare, Time aNow);

  /// Whole tokens up to aWant.
  std::uint32_t Grant(std::uint32_t aWant, Time aNow);
  /// Requests that nodes let in on credit, aAge ago in the mean. They are taken first from what has
  /// overflowed the bucket in that time, as if each had been reported at once.
  void Deduct(std::uint32_t aUsed, Duration aAge, Time aNow);
  /// A token that was not used.
  void Return();
  /// Requests, up to aWant, that a node may let in within kCreditLife before it reports them; takes
  /// the place of its earlier credit. 0 while the organisation uses much of its quota.
  std::uint32_t GiveCredit(const std::string& aNode, std::uint32_t aWant, Time aNow);

  /// Credit is void after this time.
  static constexpr Duration kCreditLife = std::chrono::seconds(5);

private:
  /// The mean of the spending covers about this time.
  static constexpr Duration kSpentTime = std::chrono::seconds(2);

  /// Credit that a node holds.
  struct Credit
  {
    std::uint32_t requests = 0;
    Time until{};
  };

  void NoteOverflow(double aTokens, Time aNow);
  /// Takes up to aWant of what has overflowed since aFrom.
  double TakeOverflow(double aWant, Time aFrom);

  double rate = 0;
  double burst = 0;
  double tokens = 0;
  /// Tokens that have overflowed, by the time slot in which they did.
  std::map<std::int64_t, double> overflow;
  double share = 1;
  Time filledAt{};
  Time heldUntil{};
  DemandEstimate spent{ kSpentTime };
  std::map<std::string, Credit> outstanding;
};

} // namespace jackdawwind
