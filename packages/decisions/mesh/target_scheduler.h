// Decides which requests run at the target beside this node, which wait and which are refused.
//
//   TargetScheduler gate;
//   gate.SetSlots(67);
//   switch (gate.Offer(waiting, now)) { ... }
//   gate.Finish(context, { .took = took }, now);   // a slot is free
//   while (std::optional<Waiting> next = gate.TakeNext()) { ... run it ... }
//   for (const Waiting& late : gate.TakeExpired(now)) { ... refuse it ... }
//
// Every request for the target passes this gate, so it knows exactly how many run and never sends
// more than the target has slots. Answers the load patterns "more demand than slots" and "target
// turns slow": what cannot finish in time is refused when it arrives, what waited for too long is
// refused as soon as it cannot finish any more, lower ranks run first. Callers' requests keep
// within the CallerConcurrencyLimit, and while any of them waits, a part of the slots is theirs:
// calls that take all slots of a service would starve the callers of that service. An operation
// costs the logarithm of the queue's length.
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
  struct Waiting
  {
    std::uint64_t exchange = 0;
    HopContext context;
    Time arrived{};
    Time deadline{};
  };

  enum class Verdict
  {
    kRun,
    kWait,
    /// It would not finish before its deadline.
    kTooLate,
    kFull,
  };

  static constexpr std::size_t kMaxWaiting = 2048;

  void SetSlots(std::uint32_t aSlots);
  Verdict Offer(const Waiting& aWaiting, Time aNow);
  /// Highest-ranked waiting request if there is a free slot; it counts as running.
  std::optional<Waiting> TakeNext();
  /// Waiting requests that cannot finish before their deadline any more.
  std::vector<Waiting> TakeExpired(Time aNow);
  /// All waiting requests, for a target that takes no more work.
  std::vector<Waiting> TakeAll();
  /// Removes a waiting request whose caller left; false when it does not wait.
  bool Abandon(std::uint64_t aExchange);
  /// How a running request ended.
  struct End
  {
    /// Time at the target; nothing when the target did not answer.
    std::optional<Duration> took;
    /// Whether the target failed the request or gave no answer in time.
    bool failed = false;
  };
  void Finish(const HopContext& aContext, const End& aEnd, Time aNow);

  Time NextExpiry() const;
  std::size_t Running() const { return this->runningCalls + this->runningCallers; }
  std::size_t CallerLimit() const { return this->chain.Limit(); }
  std::size_t WaitingCount() const { return this->waiting.size(); }
  /// Running and waiting requests per 1000 slots.
  std::uint32_t LoadPerMille() const;
  /// Time that a waiting request must have left to be started.
  Duration TimeNeeded(const HopContext& aContext) const;
  /// Mean time of a route's requests at the target.
  Duration ExpectedTime(const std::string& aRoute) const;

private:
  /// Order of running: rank, then arrival.
  struct Key
  {
    std::uint32_t rank = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  struct Entry
  {
    Waiting request;
    Time expiry{};
  };

  using Queue = std::map<Key, Entry>;

  bool HasRoom(std::uint32_t aRank) const;
  bool CallerWaits() const;
  void CountRunning(std::uint32_t aRank);
  /// First request that may run now; end when there is none.
  Queue::iterator NextToRun();
  Time ExpiryOf(const Waiting& aWaiting) const;
  Duration ExpectedWait(std::uint32_t aRank) const;
  void Erase(Queue::iterator aEntry);

  std::uint32_t slots = 0;
  CallerConcurrencyLimit chain;
  std::size_t runningCalls = 0;
  std::size_t runningCallers = 0;
  std::uint64_t lastNumber = 0;
  Queue waiting;
  std::map<std::uint64_t, Key> byExchange;
  std::set<std::pair<Time, Key>> expiries;
  std::map<std::string, Duration> routeTime;
  Duration meanTime{};
};

} // namespace jackdawwind
