// Rate and burst of organisations over all nodes.
//
//   QuotaPool pool(self);
//   pool.Configure(table, now);
//   switch (pool.Request(exchange, "acme", now)) { ... kTaken, kWaiting, kRefused ... }
//   pool.Poll(now, effects);                          // sends draws, ends waits
//   for (const QuotaPool::Decision& decision : pool.TakeDecisions()) { ... }
//
// Each organisation's bucket (QuotaBucket) is kept by one live node, chosen by rendezvous hashing,
// so that small quotas are pooled and need no split. While an organisation stays far below its
// quota, the other nodes let its requests in on credit and report them every kReportInterval; else
// they draw tokens, a few at a time for organisations that send much. Tokens are conserved: the
// keeper takes them from its bucket before it grants them; a lost grant loses them.
//
// In a cut every part of the fleet has keepers of its own, whose buckets fill with that part's
// share of the rate (FleetShare); a node that does not reach its keeper lives on a small part of
// its own. A wait ends after kDrawTimeout in any case.
//
// All organisations share kKeepers keepers, and one draw at a time goes to each, so control traffic
// does not grow with the request rate.
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
  /// Nodes that keep quotas at a time. More of them share the load of draws, fewer the reports.
  static constexpr std::size_t kKeepers = 8;
  /// Time until requests that were let in on credit are reported, unless the credit is used up.
  static constexpr Duration kReportInterval = std::chrono::seconds(3);

  explicit QuotaPool(PeerAddress aSelf);

  void Configure(const RouteTable& aTable, Time aNow);
  void SetMembers(const Members& aMembers, Time aNow);
  /// Nodes that have registered in the store, this one included.
  void SetRegistered(std::set<std::string> aNodes) { this->fleet.SetRegistered(std::move(aNodes)); }

  /// A membership message of another node arrived.
  void NotePeerMessage(Time aNow) { this->fleet.NotePeerMessage(aNow); }

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
  std::vector<std::string> TakeUnresponsiveOwners();

private:
  struct Waiter
  {
    std::uint64_t exchange = 0;
    Time until{};
  };

  /// Part that a node uses while it does not reach the keeper.
  struct Reserve
  {
    double tokens = 0;
    Time filledAt{};
  };

  struct Account
  {
    double rate = 0;
    double burst = 0;
    std::size_t group = 0;
    PeerAddress keeper;
    /// Used while this node is the keeper.
    QuotaBucket bucket;
    Reserve reserve;
    /// Tokens that were drawn and not used yet.
    double drawn = 0;
    Time drawnAt{};
    /// Requests that may be let in before they are reported, until creditUntil.
    std::uint32_t credit = 0;
    Time creditUntil{};
    /// Requests that were let in on credit: not reported, and in a report under way.
    std::uint32_t unreported = 0;
    std::uint32_t reporting = 0;
    /// Mean of the times at which those not reported were let in.
    Time unreportedAt{};
    /// The keeper had none left; no draw is made until then.
    Time emptyUntil{};
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
    Time reportAt = Time::max();
  };

  bool IsKeeper(const Account& aAccount) const;
  void Fill(Account& aAccount, Time aNow) const;
  bool TakeReserve(Account& aAccount, Time aNow) const;
  bool TakeOwn(Account& aAccount, Time aNow) const;
  static Duration AgeOf(const Account& aAccount, Time aNow);
  bool TakeCredit(Account& aAccount, Time aNow);
  static void NoteDemand(Account& aAccount, Time aNow);
  static std::uint32_t WantOf(const Account& aAccount);
  Channel& ChannelTo(const PeerAddress& aKeeper);
  void Draw(Channel& aChannel, Time aNow, Effects& aEffects);
  QuotaAllowance Answer(const std::string& aNode, const QuotaUse& aUse, Time aNow);
  void ApplyAllowance(Account& aAccount, const QuotaAllowance& aAllowance, Time aNow);
  void GiveUpDraw(Channel& aChannel, Time aNow);
  void PollWaiters(Account& aAccount, Time aNow);
  void PollAllWaiters(Time aNow);
  void ServeWaiters(Account& aAccount);
  void RefuseWaiters(Account& aAccount);
  std::vector<PeerAddress> BestKeepers(const Members& aMembers) const;
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
