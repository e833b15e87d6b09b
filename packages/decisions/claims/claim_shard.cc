#include "decisions/claims/claim_shard.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace jackdawwind {

namespace {

constexpr std::size_t kMaxBatchRecords = 500;
/// Bounds the memory of a node that cannot reach the log service.
constexpr std::size_t kMaxPendingClaims = 10'000;
constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

} // namespace

ClaimShard::ClaimShard(Options aOptions, TicketSource& aTickets)
  : options(std::move(aOptions))
  , tickets(aTickets)
  , table(this->options.window)
{
}

void
ClaimShard::Request(const ClaimRequest& aRequest,
                    std::uint64_t aNumber,
                    std::chrono::microseconds aWallTime,
                    Time aNow,
                    Effects& aEffects,
                    std::vector<ClaimDecision>& aDecisions)
{
  if (!this->following) {
    this->following = true;
    aEffects.push_back(FollowLog({ .stream = this->options.stream, .from = 0 }));
  }
  if (this->pending.size() >= kMaxPendingClaims) {
    aDecisions.push_back({ aRequest.exchange, ResultCode::kClaimUnsettled, RunState::kNotRun });
    return;
  }
  const ClaimHolder* holder = this->table.Find(aRequest.organisation, aRequest.key, aWallTime);
  if (this->caughtUp && holder != nullptr) {
    // A later claim cannot win, so it need not be appended.
    aDecisions.push_back(this->RefusalOf(aRequest.exchange, *holder, aRequest.fingerprint));
    return;
  }
  this->DropOldSettled(aWallTime);
  const Claim claim({ .organisation = aRequest.organisation,
                      .key = aRequest.key,
                      .fingerprint = aRequest.fingerprint,
                      .owner = this->options.owner,
                      .number = aNumber,
                      .at = aWallTime });
  this->pending.emplace(aNumber, Pending{ claim, aRequest.exchange, aRequest.deadline });
  this->toAppend.emplace_back(claim);
  this->appendAt = std::max(this->appendAt, aNow);
}

void
ClaimShard::Abandon(std::uint64_t aNumber)
{
  this->pending.erase(aNumber);
}

void
ClaimShard::Release(const Claim& aClaim)
{
  this->settled.insert_or_assign(aClaim.Number(), Settled{ aClaim.At(), true });
  this->toAppend.emplace_back(ClaimRelease({ .organisation = aClaim.GetOrganisation(),
                                             .key = aClaim.Key(),
                                             .owner = aClaim.Owner(),
                                             .number = aClaim.Number() }));
}

void
ClaimShard::Complete(const Claim& aClaim, std::uint32_t aStatus)
{
  this->toAppend.emplace_back(ClaimOutcome({ .organisation = aClaim.GetOrganisation(),
                                             .key = aClaim.Key(),
                                             .owner = aClaim.Owner(),
                                             .number = aClaim.Number(),
                                             .status = aStatus }));
}

void
ClaimShard::Receive(const LogRead& aRead, std::vector<ClaimDecision>& aDecisions)
{
  for (const LogRecord& record : aRead.Records()) {
    if (record.Offset() < this->nextOffset) {
      continue;
    }
    this->nextOffset = record.Offset() + 1;
    this->table.Apply(record.GetRecord());
    const Claim* claim = std::get_if<Claim>(&record.GetRecord());
    if (claim != nullptr && claim->Owner() == this->options.owner) {
      this->Decide(*claim, aDecisions);
    }
  }
  this->caughtUp = aRead.Next() >= aRead.End();
}

void
ClaimShard::Decide(const Claim& aClaim, std::vector<ClaimDecision>& aDecisions)
{
  const ClaimHolder* holder = this->table.Find(aClaim.GetOrganisation(), aClaim.Key(), aClaim.At());
  const bool isHolder =
    holder != nullptr && holder->id == ClaimId{ aClaim.Owner(), aClaim.Number() };
  std::map<std::uint64_t, Pending>::iterator waiting = this->pending.find(aClaim.Number());
  const std::map<std::uint64_t, Settled>::const_iterator earlierWin =
    this->settled.find(aClaim.Number());
  if (waiting == this->pending.end() && isHolder && earlierWin == this->settled.end()) {
    waiting = this->FindSameRequest(aClaim);
  }
  if (waiting != this->pending.end()) {
    if (isHolder) {
      this->won.emplace(waiting->second.exchange, aClaim);
      this->settled.emplace(aClaim.Number(), Settled{ aClaim.At(), false });
      aDecisions.push_back({ waiting->second.exchange, ResultCode::kOk, RunState::kNotRun });
    } else if (holder != nullptr) {
      aDecisions.push_back(
        this->RefusalOf(waiting->second.exchange, *holder, aClaim.Fingerprint()));
    }
    this->pending.erase(waiting);
    return;
  }
  if (isHolder && (earlierWin == this->settled.end() || earlierWin->second.released)) {
    // The call was refused as not run or its caller has gone; without a release the key would stay
    // claimed.
    this->Release(aClaim);
  }
}

void
ClaimShard::DropOldSettled(std::chrono::microseconds aWallTime)
{
  // Numbers increase with time, so the oldest claims come first.
  while (!this->settled.empty() &&
         this->settled.begin()->second.at + 2 * this->options.window < aWallTime) {
    this->settled.erase(this->settled.begin());
  }
}

std::map<std::uint64_t, ClaimShard::Pending>::iterator
ClaimShard::FindSameRequest(const Claim& aClaim)
{
  return std::find_if(this->pending.begin(),
                      this->pending.end(),
                      [&aClaim](const std::pair<const std::uint64_t, Pending>& aEntry) {
                        const Claim& other = aEntry.second.claim;
                        return other.GetOrganisation() == aClaim.GetOrganisation() &&
                               other.Key() == aClaim.Key() &&
                               other.Fingerprint() == aClaim.Fingerprint();
                      });
}

ClaimDecision
ClaimShard::RefusalOf(std::uint64_t aExchange,
                      const ClaimHolder& aHolder,
                      const std::string& aFingerprint) const
{
  if (aHolder.fingerprint != aFingerprint) {
    return { aExchange, ResultCode::kIdempotencyKeyReused, RunState::kNotRun };
  }
  const RunState run = aHolder.status ? RunState::kRan : RunState::kUnknown;
  return { aExchange, ResultCode::kDuplicateRequest, run };
}

bool
ClaimShard::Receive(const LogAppended& aAppended, Time aNow)
{
  if (this->ticket == 0 || aAppended.Ticket() != this->ticket) {
    return false;
  }
  this->ticket = 0;
  if (std::holds_alternative<Appended>(aAppended.Outcome())) {
    this->backoff = Duration::zero();
  } else {
    // Appending the same records again is safe: a claim, release or outcome takes effect only once.
    this->toAppend.insert(this->toAppend.begin(), this->inFlight.begin(), this->inFlight.end());
    this->backoff = std::clamp(2 * this->backoff, kMinBackoff, kMaxBackoff);
    this->appendAt = aNow + this->backoff;
  }
  this->inFlight.clear();
  return true;
}

void
ClaimShard::Poll(Time aNow,
                 Duration aBatchDelay,
                 Effects& aEffects,
                 std::vector<ClaimDecision>& aDecisions)
{
  this->ExpirePending(aNow, aDecisions);
  this->DropAbandoned();
  if (this->toAppend.empty() || this->ticket != 0 || aNow < this->appendAt) {
    return;
  }
  const std::size_t count = std::min(kMaxBatchRecords, this->toAppend.size());
  const std::deque<Record>::iterator end =
    this->toAppend.begin() + static_cast<std::ptrdiff_t>(count);
  this->inFlight.assign(this->toAppend.begin(), end);
  this->toAppend.erase(this->toAppend.begin(), end);
  this->ticket = this->tickets.Next();
  this->appendAt = aNow + aBatchDelay;
  aEffects.push_back(AppendLog(
    { .ticket = this->ticket, .stream = this->options.stream, .records = this->inFlight }));
}

void
ClaimShard::DropAbandoned()
{
  // A claim that no call waits for would block the caller's next retry.
  std::erase_if(this->toAppend, [this](const Record& aRecord) {
    const Claim* claim = std::get_if<Claim>(&aRecord);
    return claim != nullptr && !this->pending.contains(claim->Number());
  });
}

void
ClaimShard::ExpirePending(Time aNow, std::vector<ClaimDecision>& aDecisions)
{
  std::map<std::uint64_t, Pending>::iterator next = this->pending.begin();
  while (next != this->pending.end()) {
    if (next->second.deadline > aNow) {
      ++next;
      continue;
    }
    aDecisions.push_back({ next->second.exchange, ResultCode::kClaimUnsettled, RunState::kNotRun });
    next = this->pending.erase(next);
  }
}

Time
ClaimShard::NextWake() const
{
  Time wake = Time::max();
  if (!this->toAppend.empty() && this->ticket == 0) {
    wake = this->appendAt;
  }
  for (const std::pair<const std::uint64_t, Pending>& entry : this->pending) {
    wake = std::min(wake, entry.second.deadline);
  }
  return wake;
}

std::map<std::uint64_t, Claim>
ClaimShard::TakeWon()
{
  return std::exchange(this->won, {});
}

} // namespace jackdawwind
