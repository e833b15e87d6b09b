// Calls that enter the fleet at this node: from the request to the answer, over all attempts.
//
// A call passes these steps, each of which can refuse it as not run: credential, route, depth, rate
// token (root calls), claim (keyed calls that are not idempotent), target. Then attempts follow
// until one is answered or no re-send is allowed any more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "decisions/calls/admitted_calls.h"
#include "decisions/claims/claim_ledger.h"
#include "decisions/config/control_follower.h"
#include "decisions/effects.h"
#include "decisions/membership/membership.h"
#include "decisions/rate/rate_limiter.h"
#include "decisions/retry/retry_allowance.h"
#include "decisions/retry/retry_budget.h"
#include "decisions/routing/picker.h"
#include "util/clock.h"
#include "util/random.h"

namespace jackdawwind {

class EntryCalls
{
public:
  /// Modules of the same node that the calls pass through.
  struct Modules
  {
    ControlFollower& control;
    Membership& membership;
    RateLimiter& rate;
    ClaimLedger& claims;
    RetryBudget& budget;
    Picker& picker;
    AdmittedCalls& admitted;
  };

  EntryCalls(Modules aModules, AdmittedCalls::IdMaker aMakeId, std::uint64_t aSeed);

  void Receive(const CallArrived& aArrived, Time aNow, Effects& aEffects);
  void Receive(const AttemptEnded& aEnded, Time aNow, Effects& aEffects);
  void Receive(const CallAbandoned& aAbandoned, Time aNow, Effects& aEffects);

  /// Carries on the calls that waited for a token or a claim.
  void Continue(Time aNow, Effects& aEffects);

  /// From now on root calls are refused; child calls of running calls are not.
  void RefuseRoots() { this->refusingRoots = true; }

  std::size_t Count() const { return this->calls.size(); }

private:
  struct EntryCall
  {
    CallArrived request;
    Route route;
    /// Context of the next attempt but for allowance, attempt number and remaining time.
    CallContext context;
    /// Call id of the parent; empty for a root call.
    std::string parentId;
    Time arrived{};
    Time deadline{};
    RetryAllowance allowance;
    std::uint32_t attempt = 0;
    /// Allowance that the running attempt carries.
    std::uint32_t moved = 0;
    std::string node;
    std::set<std::string> tried;
    /// Whether an earlier attempt may have been executed.
    bool mayHaveRun = false;
  };
  using CallMap = std::map<std::uint64_t, EntryCall>;

  /// Who a call runs for, or why it must not run.
  struct Identity
  {
    std::string organisation;
    std::optional<AdmittedCalls::Parent> parent;
  };
  using Identification = std::variant<Identity, ResultCode>;

  Identification Identify(const CallArrived& aArrived, bool aOpen, Time aNow) const;
  Identification IdentifyKey(const KeyHash& aKey, Time aNow) const;
  std::optional<ResultCode> ChildProblem(const CallArrived& aArrived,
                                         const Route& aRoute,
                                         const AdmittedCalls::Parent& aParent) const;
  std::variant<EntryCall, ResultCode> Admit(const CallArrived& aArrived, Time aNow);
  EntryCall MakeCall(const CallArrived& aArrived,
                     const Route& aRoute,
                     const Identity& aIdentity,
                     Time aNow);

  void TakeToken(CallMap::iterator aCall, Time aNow, Effects& aEffects);
  void SettleClaim(CallMap::iterator aCall, Time aNow, Effects& aEffects);
  void SendAttempt(CallMap::iterator aCall, Time aNow, Effects& aEffects);

  void HandleAnswer(CallMap::iterator aCall, const Answered& aAnswer, Time aNow, Effects& aEffects);
  void HandleFailure(CallMap::iterator aCall,
                     ResultCode aCode,
                     RunState aRun,
                     Time aNow,
                     Effects& aEffects);
  bool TryAgain(CallMap::iterator aCall, RunState aRun, Time aNow, Effects& aEffects);

  void FinishRelayed(CallMap::iterator aCall,
                     const Answered& aAnswer,
                     Time aNow,
                     Effects& aEffects);
  void FinishRefused(CallMap::iterator aCall,
                     ResultCode aCode,
                     RunState aRun,
                     Time aNow,
                     Effects& aEffects);
  void Erase(CallMap::iterator aCall, ResultCode aCode, Time aNow, Effects& aEffects);

  Modules modules;
  AdmittedCalls::IdMaker makeId;
  Random random;
  CallMap calls;
  bool refusingRoots = false;
};

} // namespace jackdawwind
