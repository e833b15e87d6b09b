// One claim stream at one node: the claims that wait for a decision, the records to append, and the
// table of holders read back from the log.
//
// A claim is decided when its own record is read from the stream: it has won when it is the holder
// of its key there.
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

/// Request for a claim on an idempotency key; the call must not run before the claim is decided.
struct ClaimRequest
{
  std::uint64_t exchange = 0;
  std::string organisation;
  /// Hash of the idempotency key.
  std::string key;
  /// Hash of method, path and body; tells a repeat from another request with the same key.
  std::string fingerprint;
  /// A claim without a decision by this time is refused with kClaimUnsettled.
  Time deadline{};
};

/// Decision on a claim: with kOk it won and the call may run; any other code refuses the call.
struct ClaimDecision
{
  std::uint64_t exchange = 0;
  ResultCode code = ResultCode::kOk;
  /// Run state of a refused call; kRan when the earlier call with the key was answered.
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
    /// Time for which a claim holds its key.
    Duration window{};
  };

  ClaimShard(Options aOptions, TicketSource& aTickets);

  /// Queues a claim, or refuses it at once. aNumber is unique at this owner and increases;
  /// aWallTime is the wall time at aNow.
  void Request(const ClaimRequest& aRequest,
               std::uint64_t aNumber,
               std::chrono::microseconds aWallTime,
               Time aNow,
               Effects& aEffects,
               std::vector<ClaimDecision>& aDecisions);
  /// Cancels a pending claim because its caller has gone.
  void Abandon(std::uint64_t aNumber);
  /// Appends the release of a claim whose call has not run.
  void Release(const Claim& aClaim);
  /// Appends the outcome of a claim whose call was answered with the HTTP status aStatus.
  void Complete(const Claim& aClaim, std::uint32_t aStatus);

  /// Applies records of the stream and decides the claims of this owner among them.
  void Receive(const LogRead& aRead, std::vector<ClaimDecision>& aDecisions);
  /// Handles the result of an append; false when the ticket is not this shard's.
  bool Receive(const LogAppended& aAppended, Time aNow);

  /// Refuses claims past their deadline and appends the next batch when it is due.
  void Poll(Time aNow,
            Duration aBatchDelay,
            Effects& aEffects,
            std::vector<ClaimDecision>& aDecisions);
  Time NextWake() const;
  /// Whether all records have been appended.
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

  /// State of a claim that won.
  struct Settled
  {
    std::chrono::microseconds at{};
    bool released = false;
  };

  void Decide(const Claim& aClaim, std::vector<ClaimDecision>& aDecisions);
  /// A pending repeat of the request that aClaim was made for; the repeat takes over the claim.
  std::map<std::uint64_t, Pending>::iterator FindSameRequest(const Claim& aClaim);
  /// Removes claims from the batch that no call waits for.
  void DropAbandoned();
  void DropOldSettled(std::chrono::microseconds aWallTime);
  void ExpirePending(Time aNow, std::vector<ClaimDecision>& aDecisions);
  /// Refusal of a claim that lost to aHolder.
  ClaimDecision RefusalOf(std::uint64_t aExchange,
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
  /// Claims of this owner that have won, by number. A repeated append can leave a second record of
  /// such a claim, which must neither release the key of a running call nor be taken over.
  std::map<std::uint64_t, Settled> settled;
  std::deque<Record> toAppend;
  std::vector<Record> inFlight;
  /// Ticket of the append in flight; 0 for none.
  std::uint64_t ticket = 0;
  Time appendAt{};
  Duration backoff{};
};

} // namespace jackdawwind
