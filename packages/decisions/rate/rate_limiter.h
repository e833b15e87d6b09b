// Each organisation's rate and burst over the whole fleet, without a coordinator.
//
//   RateVerdict verdict = limiter.Request(exchange, "north-farm", now, effects);
//   for (const RateDecision& decision : limiter.TakeDecisions()) { ... }   // of waiting calls
//
// Tokens are moved, never copied. A node draws tokens from the steward of its domain, the steward
// borrows from other domains. The class is node and, when elected, steward. A node that is its own
// steward sends itself no messages: it votes for itself and takes from its buckets directly;
// reports and grants that name this node as sender are ignored.
//
// Guarantee: calls taken over the whole fleet in any window never exceed rate x window + burst,
// under any loss, delay, duplication or reordering of messages, pauses, restarts and partitions,
// provided that clocks count pauses and run within 0.5% of each other, that no more nodes of a
// domain run than its configured hosts, and that a configuration reaches every steward within 10 s
// (docs/rate.md).
//
// Cost: a request costs O(log organisations) and no message while tokens are at hand. An idle node
// sends one report per second; a steward sends one report per other domain and shortage.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/config/control_state.h"
#include "decisions/effects.h"
#include "decisions/rate/report_filter.h"
#include "decisions/rate/steward_buckets.h"
#include "decisions/rate/steward_election.h"
#include "decisions/rate/steward_finder.h"
#include "decisions/rate/token_borrower.h"
#include "decisions/rate/token_cache.h"
#include "decisions/rate/vote_promise.h"
#include "decisions/rate/waiting_calls.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/calls.h"

namespace jackdawwind {

enum class RateVerdict
{
  kAdmitted, ///< A token was taken; the call may go on.
  kWaiting,  ///< A decision follows within 60 ms.
  kRefused,  ///< No token and none to be had.
};

/// Decision on a call that waited.
struct RateDecision
{
  std::uint64_t exchange = 0;
  bool admitted = false;
  friend bool operator==(const RateDecision&, const RateDecision&) = default;
};

class RateLimiter
{
public:
  struct Options
  {
    PeerAddress self;
    std::string domain;
    std::string region;
    std::uint64_t incarnation = 0;
    /// Draw tokens ahead of demand.
    bool prefetch = true;
    /// Borrow tokens from other domains.
    bool borrow = true;
  };

  RateLimiter(Options aOptions, std::uint64_t aSeed);

  /// Takes over organisations, domains and shares of a new configuration.
  void Configure(const ControlState& aState, Time aNow);
  /// Members whenever they change; candidates are live members of the own domain.
  void SetMembers(const std::map<std::string, Member>& aMembers, Time aNow);

  RateVerdict Request(std::uint64_t aExchange,
                      const std::string& aOrganisation,
                      Time aNow,
                      Effects& aEffects);
  /// The caller of a waiting call has gone.
  void Abandon(std::uint64_t aExchange);
  /// Decisions made since the last call.
  std::vector<RateDecision> TakeDecisions();

  void Receive(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void Receive(const StewardGrant& aGrant, Time aNow, Effects& aEffects);
  /// Gives up the lease before a graceful shutdown.
  void Leave(Time aNow, Effects& aEffects);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

  /// Node that this node reports to; empty for none.
  std::string Steward() const;
  bool Elected() const;
  std::vector<TokenStatus> Status(Time aNow) const;

private:
  /// State that exists from the first event on, when the time is known.
  struct Voting
  {
    VotePromise promise;
    StewardElection election;
  };

  /// Mark of the last grant of a node.
  struct Mark
  {
    std::uint64_t mark = 0;
    Time receivedAt{};
  };

  /// First step of every event: follows the time and the lease.
  void Begin(Time aNow, Effects& aEffects);
  void FollowLease(Time aNow, Effects& aEffects);
  void UpdateHosts(Time aNow);

  bool TakeToken(const std::string& aOrganisation, Time aNow);
  void ServeWaiting(Time aNow);
  /// Last step of every event: sends the reports that are due.
  void SendDue(Time aNow, Effects& aEffects);
  void NeedTokens(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  void BorrowWithoutSteward(const std::map<std::string, std::uint32_t>& aCounts,
                            Time aNow,
                            Effects& aEffects);
  void SendBorrowRequests(Time aNow, Effects& aEffects);
  void Heartbeat(Time aNow, Effects& aEffects);
  void VoteForSelf(Time aNow, Effects& aEffects);
  void SendReport(Time aNow, Effects& aEffects);
  void ReplyToDomain(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void ReplyToBorrower(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void SendGrant(const StewardReport& aReport,
                 std::vector<TokenGrant> aGrants,
                 Time aNow,
                 Effects& aEffects) const;
  /// Tokens for one demand of a node of the own domain.
  void GrantTo(const TokenDemand& aDemand, Time aNow, std::vector<TokenGrant>& aGrants);

  bool IsLive(const Member& aMember) const;
  /// Node that this node would vote for; empty for none.
  std::string Candidate(Time aNow) const;
  /// Node to report to next; null for none.
  const PeerAddress* NextTarget(Time aNow);
  Duration ReportGap(Time aNow) const;
  bool Knows(const std::string& aOrganisation) const;

  Options options;
  Random random;
  std::uint64_t markBase;
  std::uint64_t sequence;
  Time lastNow{};
  std::optional<Voting> voting;
  bool leaving = false;

  std::set<std::string> organisations;
  std::map<std::string, std::uint64_t> refused;
  std::uint32_t configuredHosts = 0;
  std::uint32_t liveHosts = 0;

  TokenCache cache;
  WaitingCalls waiting;
  std::vector<RateDecision> decisions;
  /// Log lines of events that take no effects; given out by Poll.
  Effects deferred;

  StewardFinder finder;
  std::map<std::string, Mark> marks;
  std::map<std::string, PeerAddress> addresses;
  bool walk = false;
  Time nextHeartbeat{};
  Time nextReport{};
  /// When a waiting call may find a token in the own buckets.
  Time nextToken = Time::max();

  StewardBuckets buckets;
  TokenBorrower borrower;
  ReportFilter reports;
};

} // namespace jackdawwind
