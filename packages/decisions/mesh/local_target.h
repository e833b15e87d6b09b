// The target on this node's host, and all requests for it: hops from other nodes and requests that
// begin on this host.
//
//   LocalTarget target;
//   target.Offer(request, now, effects);
//   target.Receive(ended, now, effects);           // the target's answer
//   for (const LocalTarget::Outcome& outcome : target.TakeOutcomes()) { ... local requests ... }
//
// A hop is a request that another node forwards to the node of a target. Hops are answered by
// effects. The outcomes of local requests are returned by TakeOutcomes to the entry side, which may
// try another target. An outcome is "not run" only if the request was never sent to the target, or
// if the target states that it did not run it.
//
// While the target is cold, ColdStartLimiter bounds the rate at which all kinds of requests start;
// the others wait. While its failure domain is evacuated, no request starts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/effects.h"
#include "decisions/mesh/cold_start_limiter.h"
#include "decisions/mesh/route_times.h"
#include "decisions/mesh/target_registration.h"
#include "decisions/mesh/target_scheduler.h"
#include "util/clock.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class LocalTarget
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

  /// Result of one attempt of a request that began on this host.
  struct Outcome
  {
    std::uint64_t exchange = 0;
    std::uint32_t attempt = 1;
    HopAnswered answer;
  };

  /// Sends a request to the target, queues it, or rejects it.
  void Offer(const Request& aRequest, Time aNow, Effects& aEffects);
  /// Rejects a request without offering it to the target.
  void Refuse(const Request& aRequest, ResultCode aCode, Effects& aEffects);
  /// Handles the result of a send to the target. Returns false if the exchange and attempt belong
  /// to no request here.
  bool Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects);
  /// Handles a disconnect of the caller or the forwarding node. A waiting or idempotent request is
  /// cancelled; a running request that is not idempotent runs to its end. Returns false if the
  /// exchange is unknown.
  bool Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects);

  /// Sets the limits for cold targets.
  void Configure(const MeshConfiguration& aConfiguration, Time aNow);
  /// Sets whether the target gets no more requests, because its failure domain is evacuated.
  /// Waiting requests are rejected; running ones continue.
  void SetEvacuated(bool aEvacuated, Effects& aEffects);

  /// Moves the deadlines of all waiting and future requests to aLatest or earlier, because the node
  /// exits then.
  void LimitDeadlines(Time aLatest);
  /// Moves the deadlines of the named hops closer if they are waiting.
  void Receive(const HopDeadlines& aDeadlines, Time aNow);
  /// Removes a waiting request, which then never runs. Returns false if it is not waiting.
  bool Withdraw(std::uint64_t aExchange);
  /// Answers all hops and forgets all requests, because the node exits now.
  void FinishAll(Effects& aEffects);

  /// Returns true if the registration changed: instance, service, state or slots.
  bool Receive(const TargetHeartbeat& aBeat, Time aNow, Effects& aEffects);
  /// Returns true if the current instance signed off. The sign-off of another one is remembered.
  bool Receive(const TargetDeregistered& aGone, Time aNow, Effects& aEffects);

  /// Rejects expired requests, starts waiting ones and checks the registration's lease. Returns
  /// true if the registration has just lapsed.
  bool Poll(Time aNow, Effects& aEffects);
  /// Time at which Poll() is due.
  Time NextWake() const;
  /// Outcomes of local requests since the last call.
  std::vector<Outcome> TakeOutcomes();

  const TargetRegistration& Registration() const { return this->registration; }
  const TargetScheduler& Scheduler() const { return this->scheduler; }
  /// Number of running and waiting requests.
  std::size_t Count() const { return this->requests.size(); }

private:
  struct Entry
  {
    Request request;
    bool running = false;
    /// The caller or forwarding node disconnected while the request ran.
    bool abandoned = false;
    Time offeredAt{};
    Time startedAt{};
  };

  using Entries = std::map<std::uint64_t, Entry>;

  /// Whether the target is ready, reachable and not evacuated.
  bool AcceptsRequests(Time aNow) const;
  /// Result code of requests for a target that does not accept them.
  ResultCode UnavailableCode() const;
  void Run(Entry& aEntry, Time aNow, Effects& aEffects);
  /// Applies the cold start limit as of now to the scheduler.
  void UpdateStartLimit(Time aNow);
  void LogColdState(Time aNow, Effects& aEffects);
  void ShortenDeadline(Entry& aEntry, Time aDeadline);
  void RunWaiting(Time aNow, Effects& aEffects);
  /// Rejects the waiting requests that can no longer finish before their deadline.
  void RefuseExpired(Time aNow, Effects& aEffects);
  /// Rejects all waiting requests.
  void RefuseWaiting(Effects& aEffects);
  void Finish(const Entry& aEntry, const HopAnswered& aAnswer, Effects& aEffects);
  /// Derives the status, result code and run state from the outcome of a send.
  HopAnswered ToAnswer(const SendOutcome& aOutcome, const std::string& aRoute) const;
  /// Notes how long the target took, for the nodes that choose among targets.
  void NoteTime(const Entry& aEntry, const SendOutcome& aOutcome, Time aNow);

  TargetRegistration registration;
  TargetScheduler scheduler;
  RouteTimes routeTimes;
  ColdStartLimiter coldStart;
  /// Whether the log says that the target is cold, and the requests limited since.
  bool loggedCold = false;
  std::uint64_t limitedRequests = 0;
  bool evacuated = false;
  Entries requests;
  std::vector<Outcome> outcomes;
  /// No request is sent before this time, because the target refused a connection.
  Time unreachableUntil{};
  Time latestDeadline = Time::max();
};

} // namespace jackdawwind
