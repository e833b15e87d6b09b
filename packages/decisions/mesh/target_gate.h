// Decides which requests run at the target beside this node, which wait and which are refused.
//
//   TargetGate gate;
//   gate.SetSlots(67);
//   switch (gate.Offer(waiting, now)) { ... }
//   gate.End(exchange, took);                  // a slot is free
//   while (std::optional<Waiting> next = gate.TakeNext(now)) { ... run it ... }
//   for (const Waiting& late : gate.TakeExpired(now)) { ... refuse it ... }
//
// Every request for the target passes this gate, so it knows exactly how many run and never sends
// more than the target has slots. Answers the load patterns "more demand than slots" and "target
// turns slow": what cannot finish in time is refused when it arrives, what waited for too long is
// refused as soon as it cannot finish any more, lower ranks run first. An operation costs the
// logarithm of the queue's length.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "util/clock.h"
#include "values/generated/mesh.h"

namespace jackdawwind {

class TargetGate
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

  void SetSlots(std::uint32_t aSlots) { this->slots = aSlots; }
  Verdict Offer(const Waiting& aWaiting, Time aNow);
  /// Highest-ranked waiting request if there is a free slot; it counts as running.
  std::optional<Waiting> TakeNext();
  /// Waiting requests that cannot finish before their deadline any more.
  std::vector<Waiting> TakeExpired(Time aNow);
  /// All waiting requests, for a target that takes no more work.
  std::vector<Waiting> TakeAll();
  /// Removes a waiting request whose caller left; false when it does not wait.
  bool Abandon(std::uint64_t aExchange);
  /// A running request ended; aTook is its time at the target when it was answered.
  void End(const std::string& aRoute, std::optional<Duration> aTook);

  Time NextExpiry() const;
  std::size_t Running() const { return this->running; }
  std::size_t WaitingCount() const { return this->waiting.size(); }
  /// Running and waiting requests per 1000 slots.
  std::uint32_t LoadPerMille() const;
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

  Time ExpiryOf(const Waiting& aWaiting) const;
  Duration ExpectedWait(std::uint32_t aRank) const;
  void Erase(Queue::iterator aEntry);

  std::uint32_t slots = 0;
  std::size_t running = 0;
  std::uint64_t lastNumber = 0;
  Queue waiting;
  std::map<std::uint64_t, Key> byExchange;
  std::set<std::pair<Time, Key>> expiries;
  std::map<std::string, Duration> routeTime;
  Duration meanTime{};
};

} // namespace jackdawwind
