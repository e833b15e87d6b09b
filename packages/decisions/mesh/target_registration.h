// Latest state that the local target reported, held under a lease.
//
//   TargetRegistration target;
//   if (target.Receive(beat, now) == TargetRegistration::Verdict::kChanged) { ... }
//   if (target.State() == TargetState::kReady) { ... }
//   if (target.Expire(now)) { ... no report arrived within the lease ... }
//
// An instance is one start of the target's process. Reports (beats) may arrive seconds late and out
// of order: of two reports of one instance the one with the higher sequence number is newer, of two
// instances the one that was born later. Reports of an instance that has signed off are stale.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class TargetRegistration
{
public:
  /// Time without a report after which the registration lapses. Spans several reporting intervals,
  /// since a report may arrive seconds late.
  static constexpr Duration kLeaseDuration = std::chrono::seconds(8);

  enum class Verdict
  {
    /// The report is older than the current one, or of an instance that has signed off.
    kStale,
    /// The report only renews the lease.
    kRenewed,
    /// The instance, its state, service or number of slots changed.
    kChanged,
  };

  /// Accepts a report and renews the lease, unless the report is stale.
  Verdict Receive(const TargetHeartbeat& aBeat, Time aNow);
  /// Marks the target as draining. Returns false if the instance is not the current one.
  bool Receive(const TargetDeregistered& aGone);
  /// Removes a registration whose lease has lapsed; returns true if it did.
  bool Expire(Time aNow);

  /// Latest report; empty if no target is registered.
  const std::optional<TargetHeartbeat>& Current() const { return this->current; }
  TargetState State() const;
  /// Service of the target; empty if no target is registered.
  std::string Service() const;
  /// Time::max() if no target is registered.
  Time LeaseEnd() const { return this->leaseEnd; }

private:
  bool IsStale(const TargetHeartbeat& aBeat) const;

  std::optional<TargetHeartbeat> current;
  /// Report of the registration that lapsed last; earlier reports may still arrive.
  std::optional<TargetHeartbeat> lapsed;
  Time leaseEnd = Time::max();
  /// Instance that signed off last, and its time of birth (Unix time in milliseconds).
  std::string endedInstance;
  std::uint64_t endedBorn = 0;
};

} // namespace jackdawwind
