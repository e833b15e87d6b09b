// The admission point of the target beside a node: limits what runs at once, queues the rest, sheds
// what would be wasted.
//
//   std::vector<AdmissionVerdict> verdicts = controller.Offer(call, now);
//   verdicts = controller.Finished(exchange, outcome, now);   // starts queued calls
//   verdicts = controller.Poll(now);                          // at NextWake()
//
// Every offered call gets exactly one verdict, start or reject, unless it is abandoned first.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/configuration.h"

namespace jackdawwind {

/// A call that asks to run at the target.
struct PendingCall
{
  std::uint64_t exchange = 0;
  std::string organisation;
  Importance importance = Importance::kNormal;
  std::uint32_t priority = 0;
  Time arrived{};
  Time deadline{};
};

/// Run the call now.
struct StartCall
{
  std::uint64_t exchange = 0;
  Duration queued{};
  friend bool operator==(const StartCall&, const StartCall&) = default;
};

/// Refuse the call; it did not run.
struct RejectCall
{
  std::uint64_t exchange = 0;
  ResultCode code = ResultCode::kShedAtTarget;
  Duration queued{};
  friend bool operator==(const RejectCall&, const RejectCall&) = default;
};

using AdmissionVerdict = std::variant<StartCall, RejectCall>;
using AdmissionVerdicts = std::vector<AdmissionVerdict>;

class AdmissionController
{
public:
  AdmissionController();
  ~AdmissionController();

  /// Takes over policy, slots and the organisations' weights; running and queued calls stay.
  void Configure(const Policy& aPolicy,
                 std::uint32_t aSlots,
                 const std::map<std::string, double>& aWeights);
  /// A target that becomes ready after starting begins with a low limit.
  void SetTargetState(TargetState aState, Time aNow);

  AdmissionVerdicts Offer(const PendingCall& aCall, Time aNow);
  /// A started call ended.
  AdmissionVerdicts Finished(std::uint64_t aExchange, const TargetOutcome& aOutcome, Time aNow);
  /// The entry node no longer waits for a queued call; nothing happens when it was started.
  void Abandon(std::uint64_t aExchange);
  /// Drops expired calls and adapts limit and level.
  AdmissionVerdicts Poll(Time aNow);
  Time NextWake() const;

  /// Admission level to send with answers.
  std::uint32_t Level() const;
  /// Calls running or queued.
  std::uint32_t Load() const;
  LimitStatus Status() const;

private:
  // Limit, queue, level and policy are classes of their own beside this file.
};

} // namespace jackdawwind
