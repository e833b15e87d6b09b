// Latest state that the local target reported, held under a lease.
//
//   TargetRegistration target;
//   if (target.Receive(beat, now) == TargetRegistration::Verdict::kChanged) { ... }
//   if (target.Receive(gone, now)) { ... the target is draining ... }
//   if (target.State() == TargetState::kReady) { ... }
//   if (target.Expire(now)) { ... no report arrived within the lease ... }
//
// An instance is one start of the target's process; a later start may have the same id. Reports
// (beats) and sign-offs may arrive seconds late and out of order: of two reports of one instance
// the one with the higher sequence number is newer, of two instances the one that started later.
// One that states a start is later than one that states none. Reports of an instance that has
// signed off are stale, also if its sign-off arrived before its first report here, for example
// because this node has just started.
#pragma once

#include <cstdint>
#include <map>
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
  /// Time for which the sign-off of an instance is remembered. Reports that were sent before it
  /// arrive seconds late at most.
  static constexpr Duration kSignOffLifetime = std::chrono::minutes(5);
  /// Number of sign-offs that are remembered; a host has one target at a time.
  static constexpr std::size_t kMaxSignOffs = 16;

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
  /// Remembers that an instance has signed off. Returns true if it is the current one, which then
  /// is draining.
  bool Receive(const TargetDeregistered& aGone, Time aNow);
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
  struct SignOff
  {
    /// Starts of the instance up to this one have ended, Unix time in milliseconds, and those that
    /// state none; only the latter if empty.
    std::optional<std::uint64_t> startedByMs;
    Time receivedAt{};
  };

  bool IsStale(const TargetHeartbeat& aBeat, Time aNow) const;
  bool HasSignedOff(const TargetHeartbeat& aBeat, Time aNow) const;
  void Remember(const std::string& aInstance, const SignOff& aSignOff);

  std::optional<TargetHeartbeat> current;
  /// Report of the registration that lapsed last; earlier reports may still arrive.
  std::optional<TargetHeartbeat> lapsed;
  Time leaseEnd = Time::max();
  /// Latest sign-off of each instance.
  std::map<std::string, SignOff> signOffs;
};

} // namespace jackdawwind
