// Decides which requests run at the local target, which wait and which are rejected.
//
//   TargetScheduler scheduler;
//   scheduler.SetSlots(67);
//   switch (scheduler.Offer(request, now)) { ... }
//   scheduler.Finish(context, { .took = took }, now);   // frees a slot
//   while (std::optional<WaitingRequest> next = scheduler.TakeNext()) { ... run it ... }
//   for (const WaitingRequest& expired : scheduler.TakeExpired(now)) { ... reject it ... }
//
// Every request for the target passes through this class, so the number of running requests is
// exact, and no request starts unless a slot of the target is free. This handles demand above
// capacity and a target that slows down: a request that can't finish before its deadline is
// rejected on arrival, a waiting one expires as soon as it can no longer finish in time, and lower
// ranks run first (see request_rank.h).
//
// Requests are either calls, which running targets make, or callers' requests. The latter are
// bounded by a CallerConcurrencyLimit. While one of them waits, a share of the slots is reserved
// for callers' requests: otherwise calls could take all slots of a service and starve its callers.
//
// An operation takes logarithmic time in the length of the queue, except Offer, which takes linear
// time if the request can't run at once.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/mesh/caller_concurrency_limit.h"
#include "util/clock.h"
#include "values/generated/mesh.h"

namespace jackdawwind {

class TargetScheduler
{
public:
  struct WaitingRequest
  {
    std::uint64_t exchange = 0;
    HopContext context;
    Time arrived{};
    Time deadline{};
  };

  enum class Verdict
  {
    /// The request counts as running; the caller sends it to the target.
    kRun,
    /// The request waits until TakeNext, TakeExpired or TakeAll returns it.
    kWait,
    /// The request would not finish before its deadline.
    kTooLate,
    /// kMaxWaiting requests wait already.
    kQueueFull,
  };

  static constexpr std::size_t kMaxWaiting = 2048;

  /// Sets the number of requests that the target runs at once.
  void SetSlots(std::uint32_t aSlots);
  /// Limit on the rate at which requests start, besides the slots.
  struct StartLimit
  {
    /// Whether no request may start now.
    bool closed = false;
    /// Time between two starts; zero for no limit.
    Duration interval{};
  };

  /// Sets the limit, which applies until the next call.
  void SetStartLimit(const StartLimit& aLimit) { this->startLimit = aLimit; }
  /// Decides about a new request; with kTooLate and kQueueFull the request is not stored.
  Verdict Offer(const WaitingRequest& aRequest, Time aNow);
  /// Removes the first waiting request that may run now; it then counts as running.
  std::optional<WaitingRequest> TakeNext();
  /// Removes the waiting requests that can no longer finish before their deadline.
  std::vector<WaitingRequest> TakeExpired(Time aNow);
  /// Removes all waiting requests, for a target that accepts no more requests.
  std::vector<WaitingRequest> TakeAll();
  /// Removes a waiting request whose caller has disconnected. Returns false if it is not waiting.
  bool Abandon(std::uint64_t aExchange);
  /// Moves the deadline of a request closer if it is waiting.
  void ShortenDeadline(std::uint64_t aExchange, Time aDeadline);
  /// Result of a running request.
  struct Completion
  {
    /// Time at the target; empty if the target did not answer.
    std::optional<Duration> took;
    /// Whether the target answered with an error or not in time.
    bool failed = false;
  };
  /// Frees the slot of a running request and updates the mean times and the callers' limit.
  void Finish(const HopContext& aContext, const Completion& aCompletion, Time aNow);

  /// Time at which the next waiting request expires; Time::max() if none waits.
  Time NextExpiry() const;
  /// Requests that the target can run at once: its slots, or those that the start limit keeps busy
  /// if they are fewer. 0 if unknown.
  std::uint32_t Capacity() const;
  bool IsStartClosed() const { return this->startLimit.closed; }
  std::size_t Running() const { return this->runningCalls + this->runningCallers; }
  std::size_t CallerLimit() const { return this->callerLimit.Limit(); }
  std::size_t WaitingCount() const { return this->waiting.size(); }
  /// Running and waiting requests per 1000 of the capacity, or running callers' requests per 1000
  /// of their limit if that is more; at least 1000 while the start limit is closed.
  std::uint32_t LoadPerMille() const;
  /// Time that must remain until the deadline for a waiting request to be started.
  Duration RequiredTime(const HopContext& aContext) const;
  /// Mean time that requests of the route take at the target.
  Duration ExpectedTime(const std::string& aRoute) const;

private:
  /// Order in which waiting requests run: by rank, then by arrival.
  struct Key
  {
    std::uint32_t rank = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  struct Entry
  {
    WaitingRequest request;
    Time expiry{};
  };

  using Queue = std::map<Key, Entry>;

  /// Whether a request of this rank may run now.
  bool HasFreeSlot(std::uint32_t aRank) const;
  /// Whether a caller's request waits.
  bool CallerWaits() const;
  void IncrementRunning(std::uint32_t aRank);
  /// First waiting request that may run now; end() if there is none.
  Queue::iterator NextToRun();
  Time ExpiryOf(const WaitingRequest& aRequest) const;
  /// Estimated time until a new request of this rank starts.
  Duration ExpectedWait(std::uint32_t aRank) const;
  void Erase(Queue::iterator aEntry);

  std::uint32_t slots = 0;
  StartLimit startLimit;
  CallerConcurrencyLimit callerLimit;
  std::size_t runningCalls = 0;
  std::size_t runningCallers = 0;
  std::uint64_t lastSequence = 0;
  Queue waiting;
  std::map<std::uint64_t, Key> byExchange;
  std::set<std::pair<Time, Key>> byExpiry;
  std::map<std::string, Duration> meanTimeByRoute;
  Duration meanTime{};
};

} // namespace jackdawwind
