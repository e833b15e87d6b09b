#include "decisions/claims/claim_ledger.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

namespace jackdawwind {

namespace {

constexpr Duration kMinBatchDelay = std::chrono::milliseconds(50);
/// Keeps the appends of the whole fleet below 300 per second; the log accepts several hundred.
constexpr Duration kBatchDelayPerNode = std::chrono::microseconds(3'400);

/// The same at every node, because all nodes must map a key to the same shard.
std::uint64_t
ShardHash(const std::string& aKey)
{
  StableHash hash;
  hash.Add(aKey);
  return hash.Value();
}

} // namespace

ClaimLedger::ClaimLedger(Options aOptions, TicketSource& aTickets)
  : options(std::move(aOptions))
  , tickets(aTickets)
  , batchDelay(kMinBatchDelay)
{
}

void
ClaimLedger::Configure(std::uint32_t aShards, Duration aWindow)
{
  this->shardCount = aShards;
  this->window = aWindow;
}

void
ClaimLedger::SetFleetSize(std::size_t aNodes)
{
  const Duration fleetDelay = kBatchDelayPerNode * static_cast<Duration::rep>(aNodes);
  this->batchDelay = std::max(kMinBatchDelay, fleetDelay);
}

void
ClaimLedger::Request(const ClaimRequest& aRequest, Time aNow, Effects& aEffects)
{
  ClaimShard& shard = this->ShardOf(aRequest.key);
  const std::uint64_t number = ++this->lastNumber;
  this->waiting.emplace(aRequest.exchange, WaitingClaim{ &shard, number });
  const std::chrono::microseconds wallTime =
    this->options.unixTimeAtClockZero + aNow.time_since_epoch();
  shard.Request(aRequest, number, wallTime, aNow, aEffects, this->decisions);
  shard.Poll(aNow, this->batchDelay, aEffects, this->decisions);
}

void
ClaimLedger::Abandon(std::uint64_t aExchange)
{
  const std::map<std::uint64_t, WaitingClaim>::iterator found = this->waiting.find(aExchange);
  if (found != this->waiting.end()) {
    found->second.shard->Abandon(found->second.number);
    this->waiting.erase(found);
  }
}

std::vector<ClaimDecision>
ClaimLedger::TakeDecisions()
{
  for (const std::pair<const std::string, std::unique_ptr<ClaimShard>>& entry : this->shards) {
    this->CollectWon(*entry.second);
  }
  for (const ClaimDecision& decision : this->decisions) {
    this->waiting.erase(decision.exchange);
  }
  return std::exchange(this->decisions, {});
}

void
ClaimLedger::CollectWon(ClaimShard& aShard)
{
  for (std::pair<const std::uint64_t, Claim>& entry : aShard.TakeWon()) {
    this->won.emplace(entry.first, WonClaim{ &aShard, std::move(entry.second) });
  }
}

void
ClaimLedger::Release(std::uint64_t aExchange)
{
  const std::map<std::uint64_t, WonClaim>::iterator found = this->won.find(aExchange);
  if (found != this->won.end()) {
    found->second.shard->Release(found->second.claim);
    this->won.erase(found);
  }
}

void
ClaimLedger::Complete(std::uint64_t aExchange, std::uint32_t aStatus)
{
  const std::map<std::uint64_t, WonClaim>::iterator found = this->won.find(aExchange);
  if (found != this->won.end()) {
    found->second.shard->Complete(found->second.claim, aStatus);
    this->won.erase(found);
  }
}

void
ClaimLedger::KeepClaimed(std::uint64_t aExchange)
{
  this->won.erase(aExchange);
}

void
ClaimLedger::Receive(const LogRead& aRead)
{
  const std::map<std::string, std::unique_ptr<ClaimShard>>::iterator found =
    this->shards.find(aRead.Stream());
  if (found != this->shards.end()) {
    found->second->Receive(aRead, this->decisions);
  }
}

void
ClaimLedger::Receive(const LogAppended& aAppended, Time aNow)
{
  for (const std::pair<const std::string, std::unique_ptr<ClaimShard>>& entry : this->shards) {
    if (entry.second->Receive(aAppended, aNow)) {
      return;
    }
  }
}

void
ClaimLedger::Poll(Time aNow, Effects& aEffects)
{
  for (const std::pair<const std::string, std::unique_ptr<ClaimShard>>& entry : this->shards) {
    entry.second->Poll(aNow, this->batchDelay, aEffects, this->decisions);
  }
}

Time
ClaimLedger::NextWake() const
{
  Time wake = Time::max();
  for (const std::pair<const std::string, std::unique_ptr<ClaimShard>>& entry : this->shards) {
    wake = std::min(wake, entry.second->NextWake());
  }
  return wake;
}

bool
ClaimLedger::Idle() const
{
  return std::all_of(this->shards.begin(),
                     this->shards.end(),
                     [](const std::pair<const std::string, std::unique_ptr<ClaimShard>>& aEntry) {
                       return aEntry.second->Idle();
                     });
}

ClaimShard&
ClaimLedger::ShardOf(const std::string& aKey)
{
  const std::uint64_t index = ShardHash(aKey) % this->shardCount;
  const std::string stream = "claims-" + std::to_string(index);
  std::unique_ptr<ClaimShard>& shard = this->shards[stream];
  if (!shard) {
    shard = std::make_unique<ClaimShard>(
      ClaimShard::Options{ stream, this->options.owner, this->window }, this->tickets);
  }
  return *shard;
}

} // namespace jackdawwind
