// Settles idempotency keys by the order of claims in the log, so that a keyed call runs at most
// once.
//
//   ledger.Request(claimRequest, now, effects);
//   for (const ClaimDecision& decision : ledger.TakeDecisions()) { ... }  // won, or why not
//   ledger.Finish(exchange, ClaimEnd::kNotRun, ...);                      // releases the key
//
// A claim costs part of one append per 50 ms and shard. Memory: one entry per key in the claim
// window.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decisions/effects.h"
#include "util/clock.h"

namespace jackdawwind {

/// A keyed call that must not run before its claim is settled.
struct ClaimRequest
{
  std::uint64_t exchange = 0;
  std::string organisation;
  /// Hash of the idempotency key.
  std::string key;
  std::string fingerprint;
  /// The claim is refused as unsettled at this time.
  Time deadline{};
};

/// kOk: the claim won and the call may run. Otherwise the refusal.
struct ClaimDecision
{
  std::uint64_t exchange = 0;
  ResultCode code = ResultCode::kOk;
  /// Run state of a refusal; kRan when an outcome of the earlier call is known.
  RunState run = RunState::kNotRun;
  friend bool operator==(const ClaimDecision&, const ClaimDecision&) = default;
};

class ClaimLedger
{
public:
  struct Options
  {
    /// Node id and incarnation.
    std::string owner;
    std::uint32_t shards = 16;
    Duration window{};
    Duration batchDelay = std::chrono::milliseconds(50);
  };

  ClaimLedger(Options aOptions, TicketSource& aTickets);

  void Request(const ClaimRequest& aRequest, Time aNow, Effects& aEffects);
  void Abandon(std::uint64_t aExchange, Time aNow);
  std::vector<ClaimDecision> TakeDecisions();

  /// The call of a won claim was proved not run: releases the key for the next claim.
  void Release(std::uint64_t aExchange, Time aNow);
  /// The call of a won claim was answered by the target.
  void Complete(std::uint64_t aExchange, std::uint32_t aStatus, Time aNow);
  /// The call of a won claim may have run; the key stays claimed.
  void Leave(std::uint64_t aExchange);

  void Receive(const LogRead& aRead, Time aNow, Effects& aEffects);
  void Receive(const LogReadFailed& aFailure, Time aNow, Effects& aEffects);
  void Receive(const LogAppended& aAppended, Time aNow, Effects& aEffects);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

private:
  Options options;
  TicketSource& tickets;
};

} // namespace jackdawwind
