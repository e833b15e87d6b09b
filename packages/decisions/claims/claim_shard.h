// One claim stream at one node: the claims that wait, the batch to append, and the table read back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/claims/claim_table.h"
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
  /// Run state of a refusal; kRan when the earlier call is known to have been answered.
  RunState run = RunState::kNotRun;
  friend bool operator==(const ClaimDecision&, const ClaimDecision&) = default;
};

class ClaimShard
{
public:
  struct Options
  {
    std::string stream;
    /// Node id and incarnation.
    std::string owner;
    Duration window{};
  };

  ClaimShard(Options aOptions, TicketSource& aTickets);

  /// Queues a claim with a number that is unique at this owner; aWall is the wall time now.
  void Request(const ClaimRequest& aRequest,
               std::uint64_t aNumber,
               std::chrono::microseconds aWall,
               Time aNow,
               Effects& aEffects,
               std::vector<ClaimDecision>& aDecisions);
  /// Nobody waits for the claim any more.
  void Abandon(std::uint64_t aNumber);
  void Release(const Claim& aClaim);
  void Complete(const Claim& aClaim, std::uint32_t aStatus);

  void Receive(const LogRead& aRead, std::vector<ClaimDecision>& aDecisions);
  /// True when the ticket was this shard's.
  bool Receive(const LogAppended& aAppended, Time aNow);

  /// Refuses overdue claims and appends the next batch when it is due.
  void Poll(Time aNow,
            Duration aBatchDelay,
            Effects& aEffects,
            std::vector<ClaimDecision>& aDecisions);
  Time NextWake() const;
  /// Whether every record was appended.
  bool Idle() const { return this->toAppend.empty() && this->ticket == 0; }

  /// Claims that won since the last call, by exchange.
  std::map<std::uint64_t, Claim> TakeWon();

private:
  struct Pending
  {
    Claim claim;
    std::uint64_t exchange = 0;
    Time deadline{};
  };

  /// What became of a claim that won.
  struct Settled
  {
    std::chrono::microseconds at{};
    bool released = false;
  };

  void Decide(const Claim& aClaim, std::vector<ClaimDecision>& aDecisions);
  /// A waiting repeat of the request that a claim was made for; it takes over the claim.
  std::map<std::uint64_t, Pending>::iterator FindSameRequest(const Claim& aClaim);
  void DropUnwanted();
  void ForgetSettled(std::chrono::microseconds aWall);
  void ExpirePending(Time aNow, std::vector<ClaimDecision>& aDecisions);
  ClaimDecision Loss(std::uint64_t aExchange,
                     const ClaimHolder& aHolder,
                     const std::string& aFingerprint) const;

  Options options;
  TicketSource& tickets;
  ClaimTable table;
  bool following = false;
  bool caughtUp = false;
  std::uint64_t nextOffset = 0;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::uint64_t, Claim> won;
  /// Claims of this owner that were read as winners, by number; a repeated append can leave a
  /// second record of such a claim, which must neither release a running call's key nor be taken
  /// over.
  std::map<std::uint64_t, Settled> settled;
  std::deque<Record> toAppend;
  std::vector<Record> inFlight;
  std::uint64_t ticket = 0;
  Time appendAt{};
  Duration backoff{};
};

} // namespace jackdawwind
