// Settles idempotency keys by the order of claims in the log, so that a keyed call runs at most
// once.
//
//   ledger.Request(claimRequest, now, effects);
//   for (const ClaimDecision& decision : ledger.TakeDecisions()) { ... }  // won, or why not
//   ledger.Complete(exchange, status, now);      // or Release, or KeepClaimed
//
// Keys are spread over shards, one log stream each. Cost: part of one append per batch and shard,
// and one table entry per key and claim window at every node that has settled a key of the shard.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/claims/claim_shard.h"
#include "decisions/effects.h"
#include "util/clock.h"

namespace jackdawwind {

class ClaimLedger
{
public:
  struct Options
  {
    /// Node id and incarnation.
    std::string owner;
    /// Wall time at the clock's zero.
    std::chrono::microseconds wallAtZero{};
  };

  ClaimLedger(Options aOptions, TicketSource& aTickets);

  /// Number of claim streams and how long claims are honoured; a shard keeps the window it began
  /// with.
  void Configure(std::uint32_t aShards, Duration aWindow);
  /// Stretches the time between appends, so that the whole fleet stays below what the log takes.
  void SetFleetSize(std::size_t aNodes);

  void Request(const ClaimRequest& aRequest, Time aNow, Effects& aEffects);
  /// The caller has gone; a claim that still wins is released.
  void Abandon(std::uint64_t aExchange);
  std::vector<ClaimDecision> TakeDecisions();

  /// The call of a won claim was proved not run: lets the next claim hold the key.
  void Release(std::uint64_t aExchange);
  /// The call of a won claim was answered by the target with this HTTP status.
  void Complete(std::uint64_t aExchange, std::uint32_t aStatus);
  /// The call of a won claim may have run; the key stays claimed.
  void KeepClaimed(std::uint64_t aExchange);

  void Receive(const LogRead& aRead);
  void Receive(const LogAppended& aAppended, Time aNow);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;
  /// Whether every record was appended.
  bool Idle() const;

private:
  struct Place
  {
    ClaimShard* shard = nullptr;
    std::uint64_t number = 0;
  };
  struct Held
  {
    ClaimShard* shard = nullptr;
    Claim claim;
  };

  ClaimShard& ShardOf(const std::string& aKey);
  void Collect(ClaimShard& aShard);

  Options options;
  TicketSource& tickets;
  std::map<std::string, std::unique_ptr<ClaimShard>> shards;
  std::map<std::uint64_t, Place> waiting;
  std::map<std::uint64_t, Held> held;
  std::vector<ClaimDecision> decisions;
  std::uint32_t shardCount = 1;
  Duration window{};
  std::uint64_t lastNumber = 0;
  Duration batchDelay{};
};

} // namespace jackdawwind
