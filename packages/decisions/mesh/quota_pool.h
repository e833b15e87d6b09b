// Rate and burst of organisations over all nodes.
//
//   QuotaPool pool(self);
//   pool.Configure(table, now);
//   switch (pool.Request(exchange, "acme", now)) { ... kTaken, kWaiting, kRefused ... }
//   pool.Poll(now, effects);                          // sends draws, ends waits
//   for (const QuotaPool::Decision& decision : pool.TakeDecisions()) { ... }
//
// Each organisation's bucket is kept by one live node, chosen by rendezvous hashing, so that small
// quotas are pooled and need no split. Other nodes draw tokens from it when they need some, a few
// at a time for organisations that send much. Tokens are conserved: the keeper takes them from its
// bucket before it grants them; a lost grant loses them.
//
// A new keeper starts with an empty bucket, so that a change of keepers grants no second burst. In
// a cut every part of the fleet has a keeper of its own, whose bucket fills with that part's share
// of the rate (FleetShare); a node that does not reach its keeper lives on a small part of its own,
// which the unused burst covers. A wait ends after kDrawTimeout in any case.
//
// One draw at a time goes to each keeper and asks for all organisations, so control traffic grows
// with the number of keepers in use and not with the request rate.
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
    kTaken,
    kWaiting,
    kRefused,
  };

  struct Decision
  {
    std::uint64_t exchange = 0;
    bool taken = false;
  };

  /// Time that a request waits for a token; a draw over the link between regions takes 20 ms.
  static constexpr Duration kDrawTimeout = std::chrono::milliseconds(150);

  explicit QuotaPool(PeerAddress aSelf);

  void Configure(const RouteTable& aTable, Time aNow);
  void SetMembers(const Members& aMembers, Time aNow);
  /// Nodes that have registered in the store, this one included.
  void SetRegistered(std::set<std::string> aNodes) { this->fleet.SetRegistered(std::move(aNodes)); }

  /// A membership message of another node arrived.
  void NoteHeard(Time aNow) { this->fleet.NoteHeard(aNow); }

  Verdict Request(std::uint64_t aExchange, const std::string& aOrganisation, Time aNow);
  /// The request was refused without running: the token may be used again.
  void Return(const std::string& aOrganisation);
  void Abandon(std::uint64_t aExchange);

  void Receive(const QuotaDraw& aDraw, Time aNow, Effects& aEffects);
  void Receive(const QuotaGrant& aGrant, Time aNow);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;
  std::vector<Decision> TakeDecisions();
  /// Keepers that did not answer since the last call.
  std::vector<std::string> TakeSilentKeepers();

private:
  struct Waiter
  {
    std::uint64_t exchange = 0;
    Time until{};
  };

  struct Bucket
  {
    double tokens = 0;
    Time filledAt{};
  };

  struct Account
  {
    double rate = 0;
    double burst = 0;
    PeerAddress keeper;
    /// Bucket of the organisation, used while this node is its keeper.
    Bucket bucket;
    /// Until then this node, which has become the keeper, grants only a part.
    Time heldUntil{};
    /// Part that this node uses while it does not reach the keeper.
    Bucket reserve;
    /// Tokens that were drawn and not used yet.
    double drawn = 0;
    Time drawnAt{};
    std::deque<Waiter> waiters;
    /// Requests per second here, and when the figure was last updated.
    double demand = 0;
    Time demandAt{};
  };

  struct Channel
  {
    PeerAddress keeper;
    std::uint64_t sequence = 0;
    Time answerDue = Time::max();
    Time silentUntil{};
  };

  bool IsKeeper(const Account& aAccount) const;
  void FillOwn(Account& aAccount, Time aNow) const;
  static void Fill(Bucket& aBucket, double aRate, double aCapacity, Time aNow);
  static bool TakeOne(Bucket& aBucket);
  bool TakeReserve(Account& aAccount, Time aNow) const;
  bool TakeOwn(Account& aAccount, Time aNow) const;
  static void NoteDemand(Account& aAccount, Time aNow);
  static std::uint32_t WantOf(const Account& aAccount);
  void Draw(Channel& aChannel, Time aNow, Effects& aEffects);
  void ServeWaiters(Account& aAccount);
  PeerAddress BestKeeper(const std::string& aOrganisation, const Members& aMembers) const;
  void ChooseKeepers(const Members& aMembers, Time aNow);

  PeerAddress self;
  FleetShare fleet;
  std::map<std::string, Account> accounts;
  std::map<std::string, Channel> channels;
  std::map<std::uint64_t, std::string> waitingFor;
  std::vector<Decision> decisions;
  std::vector<std::string> silentKeepers;
};

} // namespace jackdawwind
