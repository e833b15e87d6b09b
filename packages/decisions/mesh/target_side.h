// The target beside this node and all requests for it: those of other nodes and those that begin on
// this host.
//
//   TargetSide side;
//   side.Offer(request, now, effects);
//   side.Receive(ended, now, effects);           // the target's answer
//   for (const TargetSide::Outcome& outcome : side.TakeOutcomes()) { ... requests of this host ...
//   }
//
// Requests of other nodes are answered here by effects; what becomes of requests of this host is
// told to their owner, which may try elsewhere. "Not run" is said only of a request that was never
// sent to the target, or that the target itself states not to have run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/effects.h"
#include "decisions/mesh/target_gate.h"
#include "decisions/mesh/target_registration.h"
#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class TargetSide
{
public:
  struct Request
  {
    std::uint64_t exchange = 0;
    std::uint32_t attempt = 1;
    std::string requestId;
    HopContext context;
    Time deadline{};
    /// Whether the request began on this host.
    bool local = false;
  };

  /// What became of a request of this host.
  struct Outcome
  {
    std::uint64_t exchange = 0;
    std::uint32_t attempt = 1;
    HopAnswered answer;
  };

  void Offer(const Request& aRequest, Time aNow, Effects& aEffects);
  /// False when no request of this exchange is at the target or waits for it.
  bool Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects);
  /// The other side left. Waiting requests and repeatable ones end; a request that must not be cut
  /// goes on to its end. False when the exchange is not known here.
  bool Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects);

  /// True when the service or state of the target changed.
  bool Receive(const TargetHeartbeat& aBeat, Time aNow, Effects& aEffects);
  bool Receive(const TargetDeregistered& aGone, Time aNow, Effects& aEffects);

  /// True when the registration of the target has just lapsed.
  bool Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;
  std::vector<Outcome> TakeOutcomes();

  const TargetRegistration& Registration() const { return this->registration; }
  const TargetGate& Gate() const { return this->gate; }
  /// Requests that run or wait.
  std::size_t Count() const { return this->requests.size(); }

private:
  struct Entry
  {
    Request request;
    bool running = false;
    /// The other side left while the request ran.
    bool abandoned = false;
    Time offeredAt{};
    Time startedAt{};
  };

  using Entries = std::map<std::uint64_t, Entry>;

  bool TakesWork(Time aNow) const;
  ResultCode ClosedCode() const;
  void Run(Entry& aEntry, Time aNow, Effects& aEffects);
  void RunWaiting(Time aNow, Effects& aEffects);
  /// Refuses a request that was not sent to the target.
  void Refuse(const Request& aRequest, ResultCode aCode, Effects& aEffects);
  void RefuseAll(Effects& aEffects);
  void Finish(const Entry& aEntry, const HopAnswered& aAnswer, Effects& aEffects);
  HopAnswered Judge(const SendOutcome& aOutcome) const;

  TargetRegistration registration;
  TargetGate gate;
  Entries requests;
  std::vector<Outcome> outcomes;
  /// Until then no request is sent, since the target refused a connection.
  Time unreachableUntil{};
};

} // namespace jackdawwind
