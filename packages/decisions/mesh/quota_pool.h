// Enforces the rate and burst of each organisation across the whole fleet.
//
//   QuotaPool pool(self);
//   pool.Configure(table, now);
//   switch (pool.Acquire(exchange, "acme", now)) { ... kAdmitted, kPending, kRejected ... }
//   pool.Poll(now, effects);                  // sends draws, expires waiting requests
//   for (const QuotaPool::Decision& decision : pool.TakeDecisions()) { ... }
//
// The token bucket of an organisation (QuotaBucket) is held by a single live node, its quota owner,
// which rendezvous hashing selects; a small quota is therefore not divided among the nodes. A node
// that leaves gives up its quotas at once and draws tokens like the others, so that the next owner
// may grant the whole rate as soon as it knows of the departure. It keeps the tokens that it had
// saved for kKeptLifetime, for its own requests. Only if all nodes are leaving does one of them own
// the quota. The other nodes obtain capacity from the owner in two ways:
//   - Credit: while an organisation stays far below its quota, a node may admit a granted number of
//     requests at once and report them every kReportInterval.
//   - Draws: otherwise a node requests tokens (QuotaDraw) and receives them (QuotaGrant). A draw
//     also prefetches tokens for organisations with much demand.
// Tokens are never duplicated: the owner deducts them from its bucket before it grants them, and a
// lost grant loses its tokens.
//
// During a network partition each side has quota owners of its own, whose buckets refill with that
// side's share of the rate (FleetShare). A node that cannot reach an owner uses a fallback bucket
// with a small fraction of the quota. No request waits for longer than kDrawTimeout.
//
// The organisations are hashed into kOwnerGroups groups with one owner each, and at most one draw
// is outstanding to an owner, so control traffic does not grow with the request rate.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/effects.h"
#include "decisions/mesh/fleet_share.h"
#include "decisions/mesh/quota_bucket.h"
#include "decisions/mesh/route_table.h"
#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class QuotaPool
{
public:
  using Members = std::map<std::string, Member>;

  enum class Verdict
  {
    /// A token was taken.
    kAdmitted,
    /// A Decision follows.
    kPending,
    kRejected,
  };

  /// Result for a request that was pending.
  struct Decision
  {
    std::uint64_t exchange = 0;
    bool admitted = false;
  };

  /// Longest wait of a request for a token; a draw over the link between regions takes 20 ms.
  static constexpr Duration kDrawTimeout = std::chrono::milliseconds(150);
  /// Number of quota owners at a time. More owners spread the load of draws; fewer owners put the
  /// reports of more organisations into one message.
  static constexpr std::size_t kOwnerGroups = 8;
  /// Time until requests admitted on credit are reported; they are reported at once when the credit
  /// is used up.
  static constexpr Duration kReportInterval = std::chrono::seconds(3);

  explicit QuotaPool(PeerAddress aSelf);

  void Configure(const RouteTable& aTable, Time aNow);
  /// Selects the quota owners again.
  void SetMembers(const Members& aMembers, Time aNow);
  /// Nodes that are registered in the store, this one included.
  void SetRegistered(std::set<std::string> aNodes) { this->fleet.SetRegistered(std::move(aNodes)); }

  /// Number of nodes in the whole fleet; an upper bound until the register is known.
  std::size_t ExpectedNodes() const { return this->fleet.Expected(); }

  /// Whether this node reaches no other node.
  bool IsIsolated(Time aNow) const { return this->fleet.IsIsolated(aNow); }

  /// Notes that a message of another node arrived.
  void NotePeerMessage(Time aNow) { this->fleet.NotePeerMessage(aNow); }

  /// Takes a token for a request. Organisations that are unknown or have no rate are admitted.
  Verdict Acquire(std::uint64_t aExchange, const std::string& aOrganisation, Time aNow);
  /// Gives back the token of a request that was rejected without running.
  void Refund(const std::string& aOrganisation);
  /// Forgets a pending request; no Decision follows for it.
  void Abandon(std::uint64_t aExchange);

  /// Answers a draw as the quota owner.
  void Receive(const QuotaDraw& aDraw, Time aNow, Effects& aEffects);
  void Receive(const QuotaGrant& aGrant, Time aNow);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;
  std::vector<Decision> TakeDecisions();
  /// Owners that left a draw unanswered since the last call.
  std::vector<std::string> TakeUnresponsiveOwners();

private:
  struct Waiter
  {
    std::uint64_t exchange = 0;
    Time deadline{};
  };

  /// Token bucket with a fraction of the quota, used while the owner is unreachable.
  struct FallbackBucket
  {
    double tokens = 0;
    Time filledAt{};
  };

  struct Account
  {
    double rate = 0;
    double burst = 0;
    std::size_t group = 0;
    PeerAddress owner;
    /// Used while this node is the owner.
    QuotaBucket bucket;
    FallbackBucket fallback;
    /// Tokens drawn from the owner and not used yet.
    double drawn = 0;
    Time drawnAt{};
    /// Requests that may be admitted before they are reported, until creditExpiresAt.
    std::uint32_t credit = 0;
    Time creditExpiresAt{};
    /// Requests admitted on credit: not reported yet, and in the outstanding report.
    std::uint32_t unreported = 0;
    std::uint32_t reporting = 0;
    /// Whether the outstanding draw to the owner is also for this organisation.
    bool inDraw = false;
    /// Mean admission time of the unreported requests.
    Time unreportedAt{};
    /// The owner had no tokens or credit left; requests are rejected without a draw until then.
    Time exhaustedUntil{};
    std::deque<Waiter> waiters;
    /// Requests per second that enter at this node, and the time of the last update.
    double demand = 0;
    Time demandAt{};
  };

  /// Exchange of draws and grants with one owner.
  struct Channel
  {
    PeerAddress owner;
    std::uint64_t sequence = 0;
    /// Deadline of the outstanding draw; Time::max() when there is none.
    Time drawDeadline = Time::max();
    /// The last draw was not answered; the next one is sent at this time at the earliest.
    Time backoffUntil{};
    /// The receiver did not know yet that it owns a quota; no draw is sent until then.
    Time pausedUntil{};
    Time nextDrawAt = Time::max();
  };

  bool IsOwner(const Account& aAccount) const;
  void RefillBucket(Account& aAccount, Time aNow) const;
  bool TakeFallback(Account& aAccount, Time aNow) const;
  bool TakeFromBucket(Account& aAccount, Time aNow) const;
  /// Mean age of the unreported requests.
  static Duration MeanUnreportedAge(const Account& aAccount, Time aNow);
  bool TakeCredit(Account& aAccount, Time aNow);
  static void NoteDemand(Account& aAccount, Time aNow);
  static std::uint32_t WantedTokens(const Account& aAccount);
  Channel& ChannelTo(const PeerAddress& aOwner);
  void SendDraw(Channel& aChannel, Time aNow, Effects& aEffects);
  /// Returns nullopt if this node does not own the organisation's quota.
  std::optional<QuotaAllowance> AnswerUse(const std::string& aNode,
                                          const QuotaUse& aUse,
                                          Time aNow);
  void ApplyAllowance(Account& aAccount, const QuotaAllowance& aAllowance, Time aNow);
  /// Repeats the part of a draw to which the receiver has stated no allowance.
  void RepeatUnanswered(Channel& aChannel, Time aNow);
  /// Handles a draw that was not answered in time.
  void HandleDrawTimeout(Channel& aChannel, Time aNow);
  void PollWaiters(Account& aAccount, Time aNow);
  void PollAllWaiters(Time aNow);
  void AdmitWaiters(Account& aAccount);
  void RejectWaiters(Account& aAccount);
  /// Members that may own quotas: the live ones, or those that are leaving if there is no other.
  static std::vector<PeerAddress> EligibleOwners(const Members& aMembers);
  /// Owner of each group.
  std::vector<PeerAddress> ComputeOwners(const Members& aMembers) const;
  void UpdateOwners(const Members& aMembers, Time aNow);
  /// Keeps the tokens of a bucket for this node's own requests after it has given up the quota.
  static void KeepSavedTokens(Account& aAccount, Time aNow);
  /// Notes that this node has met the first other one since its start.
  void Join(Time aNow);

  PeerAddress self;
  FleetShare fleet;
  /// Time of Join; the epoch before it.
  Time joinedAt{};
  std::map<std::string, Account> accounts;
  std::map<std::string, Channel> channels;
  std::map<std::uint64_t, std::string> waiterOrganisations;
  std::vector<Decision> decisions;
  std::vector<std::string> unresponsiveOwners;
};

} // namespace jackdawwind
