// Calls that enter the fleet at this node, from request to answer across all attempts.
//
// A call passes these checks, each of which can refuse it as not run: credential, route, depth,
// rate token (root calls only), claim (calls with an idempotency key on a route that is not
// idempotent) and choice of a target. It is then sent to targets until one of them answers or no
// further retry is allowed by idempotence, deadline, retry allowance and retry budget.
//
// Not thread-safe.
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
  /// Modules of the same node that take part in a call; they must outlive this object.
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

  EntryCalls(Modules aModules, AdmittedCalls::IdGenerator aMakeId, std::uint64_t aSeed);

  void Receive(const CallArrived& aArrived, Time aNow, Effects& aEffects);
  void Receive(const AttemptEnded& aEnded, Time aNow, Effects& aEffects);
  void Receive(const CallAbandoned& aAbandoned, Time aNow, Effects& aEffects);

  /// Resumes calls whose rate token or claim has been decided.
  void ResumeWaitingCalls(Time aNow, Effects& aEffects);

  /// Refuses root calls from now on; child calls of running calls are still accepted.
  void RefuseRootCalls() { this->refusingRootCalls = true; }
  /// Answers all calls in progress, because the node exits now.
  void FinishAll(Time aNow, Effects& aEffects);

  /// Number of calls in progress.
  std::size_t Count() const { return this->calls.size(); }

private:
  struct EntryCall
  {
    CallArrived request;
    Route route;
    /// Context of the next attempt, except for allowance, attempt number and remaining time.
    CallContext context;
    /// Call id of the parent; empty for a root call.
    std::string parentId;
    Time arrived{};
    Time deadline{};
    RetryAllowance allowance;
    std::uint32_t attempt = 0;
    /// Allowance that was sent along with the current attempt.
    std::uint32_t attemptAllowance = 0;
    /// Node that the current attempt was sent to.
    std::string attemptNode;
    /// Nodes of all attempts.
    std::set<std::string> tried;
    /// Whether any failed attempt may have been executed.
    bool mayHaveRun = false;
  };
  using CallMap = std::map<std::uint64_t, EntryCall>;

  /// Organisation and parent that a call is authenticated for.
  struct Identity
  {
    std::string organisation;
    std::optional<AdmittedCalls::Parent> parent;
  };
  /// The identity, or the result code of the refusal.
  using AuthenticationResult = std::variant<Identity, ResultCode>;

  AuthenticationResult Authenticate(const CallArrived& aArrived,
                                    bool aRouteIsOpen,
                                    Time aNow) const;
  AuthenticationResult AuthenticateKey(const KeyHash& aKey, Time aNow) const;
  /// Returns the result code if the child call must be refused; empty otherwise.
  std::optional<ResultCode> CheckChildCall(const CallArrived& aArrived,
                                           const Route& aRoute,
                                           const AdmittedCalls::Parent& aParent) const;
  std::variant<EntryCall, ResultCode> Admit(const CallArrived& aArrived, Time aNow);
  EntryCall MakeCall(const CallArrived& aArrived,
                     const Route& aRoute,
                     const Identity& aIdentity,
                     Time aNow);

  void TakeToken(CallMap::iterator aCall, Time aNow, Effects& aEffects);
  void RequestClaim(CallMap::iterator aCall, Time aNow, Effects& aEffects);
  void SendAttempt(CallMap::iterator aCall, Time aNow, Effects& aEffects);

  void HandleAnswer(CallMap::iterator aCall, const Answered& aAnswer, Time aNow, Effects& aEffects);
  void HandleFailure(CallMap::iterator aCall,
                     ResultCode aCode,
                     RunState aRun,
                     Time aNow,
                     Effects& aEffects);
  /// Sends another attempt; false when a retry is not allowed.
  bool TryRetry(CallMap::iterator aCall, RunState aRun, Time aNow, Effects& aEffects);

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
  AdmittedCalls::IdGenerator makeId;
  Random random;
  CallMap calls;
  bool refusingRootCalls = false;
};

} // namespace jackdawwind
