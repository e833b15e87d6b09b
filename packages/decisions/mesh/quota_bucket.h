// Tokens of one organisation at the node that keeps its quota.
//
//   QuotaBucket bucket;
//   bucket.Configure(rate, burst);
//   bucket.Fill(share, now);
//   std::uint32_t granted = bucket.Grant(want, now);
//   std::uint32_t credit = bucket.CreditPerNode(nodes);
//
// Answers the load pattern "most organisations stay far below their quota": while one does, every
// node may let some of its requests in at once and report them later. What is reported is deducted,
// also below zero, so that nothing passes twice. The credit of all nodes together is at most what
// the quota leaves free in the window over which it is judged, so that even a surge that uses all
// of it at once stays within the quota.
#pragma once

#include <cstddef>
#include <cstdint>

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
  /// Requests that each of aNodes may let in before it reports them; 0 while the organisation uses
  /// much of its quota.
  std::uint32_t CreditPerNode(std::size_t aNodes, Time aNow) const;

private:
  void NoteSpent(double aCount, Time aNow);
  double SpentPerSecond(Time aNow) const;

  double rate = 0;
  double burst = 0;
  double tokens = 0;
  /// Tokens that have overflowed within about the longest time until a report.
  double overflow = 0;
  double share = 1;
  Time filledAt{};
  Time heldUntil{};
  /// Mean of what was spent per second, and when it was last updated.
  double spent = 0;
  Time spentAt{};
};

} // namespace jackdawwind
