// Decides claims on idempotency keys by their order in the log, so that a call with a key runs at
// most once.
//
//   ledger.Request(claimRequest, now, effects);
//   for (const ClaimDecision& decision : ledger.TakeDecisions()) { ... }  // won or refused
//   ledger.Complete(exchange, status);           // or Release, or KeepClaimed
//
// A claim is a record that a node appends for a key; the first claim in log order wins the key for
// the claim window, unless its owner releases it. Keys are spread over shards, one log stream each.
//
// Cost: a part of one append per batch and shard, and one table entry per key and claim window at
// every node that has requested a claim in the shard.
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
    /// Owner of this node's claims: node id and incarnation.
    std::string owner;
    /// Wall time at zero of the monotonic clock.
    std::chrono::microseconds unixTimeAtClockZero{};
  };

  ClaimLedger(Options aOptions, TicketSource& aTickets);

  /// Sets the number of claim streams and the time for which a claim holds its key. An existing
  /// shard keeps the window that it was created with.
  void Configure(std::uint32_t aShards, Duration aWindow);
  /// Scales the delay between appends with the fleet's size, to keep the total append rate within
  /// the log's capacity.
  void SetFleetSize(std::size_t aNodes);

  /// Requests a claim; TakeDecisions returns the decision.
  void Request(const ClaimRequest& aRequest, Time aNow, Effects& aEffects);
  /// Abandons a request because its caller has gone; a claim that wins later is released.
  void Abandon(std::uint64_t aExchange);
  /// Decisions since the last call.
  std::vector<ClaimDecision> TakeDecisions();

  /// The call of a won claim is known not to have run; releases the key.
  void Release(std::uint64_t aExchange);
  /// The call of a won claim was answered by the target with this HTTP status.
  void Complete(std::uint64_t aExchange, std::uint32_t aStatus);
  /// The call of a won claim may have run; the key stays claimed.
  void KeepClaimed(std::uint64_t aExchange);

  void Receive(const LogRead& aRead);
  void Receive(const LogAppended& aAppended, Time aNow);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;
  /// Whether all records have been appended.
  bool Idle() const;

private:
  /// Where a request waits for its decision.
  struct WaitingClaim
  {
    ClaimShard* shard = nullptr;
    std::uint64_t number = 0;
  };
  /// A won claim whose call has not ended.
  struct WonClaim
  {
    ClaimShard* shard = nullptr;
    Claim claim;
  };

  ClaimShard& ShardOf(const std::string& aKey);
  void CollectWon(ClaimShard& aShard);

  Options options;
  TicketSource& tickets;
  std::map<std::string, std::unique_ptr<ClaimShard>> shards;
  /// Requests without a decision, by exchange.
  std::map<std::uint64_t, WaitingClaim> waiting;
  /// Won claims, by exchange.
  std::map<std::uint64_t, WonClaim> won;
  std::vector<ClaimDecision> decisions;
  std::uint32_t shardCount = 1;
  Duration window{};
  std::uint64_t lastNumber = 0;
  Duration batchDelay{};
};

} // namespace jackdawwind
