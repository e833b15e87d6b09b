// Enforces each organisation's rate and burst over the whole fleet without a coordinator.
//
//   RateVerdict verdict = limiter.Request(exchange, "north-farm", now, effects);
//   for (const RateDecision& decision : limiter.TakeDecisions()) { ... }   // of waiting calls
//
// Tokens are moved, never copied. A node requests tokens from the steward of its domain, and the
// steward borrows from other domains. The class implements both the node and, while it is elected,
// the steward. A node that is its own steward sends itself no messages: it votes for itself and
// takes tokens from its buckets directly; reports and grants that name this node as sender are
// ignored.
//
// Guarantee: the calls admitted over the whole fleet in any window never exceed rate x window +
// burst, under any loss, delay, duplication or reordering of messages, pauses, restarts and
// partitions, provided that clocks count pauses and run within 0.5% of each other, that no more
// nodes of a domain run than its configured hosts, and that a configuration reaches every steward
// within 10 s (docs/rate.md).
//
// Cost: a request costs O(log organisations) and no message while the node holds tokens. An idle
// node sends one report per second; a steward sends one report per lender domain and shortage.
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
  kAdmitted, ///< A token was taken; the call may proceed.
  kWaiting,  ///< A decision follows within 60 ms.
  kRefused,  ///< No token, and none expected in time.
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
    /// Request tokens ahead of demand.
    bool prefetch = true;
    /// Borrow tokens from other domains.
    bool borrow = true;
  };

  RateLimiter(Options aOptions, std::uint64_t aSeed);

  /// Applies the organisations, domains and shares of a new configuration.
  void Configure(const ControlState& aState, Time aNow);
  /// Sets the members, whenever they change; the live members of the own domain are candidates.
  void SetMembers(const std::map<std::string, Member>& aMembers, Time aNow);

  /// Takes a token for a call, or lets the call wait for one.
  RateVerdict Request(std::uint64_t aExchange,
                      const std::string& aOrganisation,
                      Time aNow,
                      Effects& aEffects);
  /// Stops waiting for a token because the caller has gone.
  void Abandon(std::uint64_t aExchange);
  /// Decisions on waiting calls since the last TakeDecisions.
  std::vector<RateDecision> TakeDecisions();

  void Receive(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void Receive(const StewardGrant& aGrant, Time aNow, Effects& aEffects);
  /// Gives up the lease permanently, for a graceful shutdown.
  void Leave(Time aNow, Effects& aEffects);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

  /// Id of the node that this node takes for the steward; empty for none.
  std::string Steward() const;
  bool Elected() const;
  std::vector<TokenStatus> Status(Time aNow) const;

private:
  /// Created on the first event, when the time is known.
  struct Voting
  {
    VotePromise promise;
    StewardElection election;
  };

  /// Mark of a node's last grant; echoed with a vote for the node.
  struct ReceivedMark
  {
    std::uint64_t mark = 0;
    Time receivedAt{};
  };

  /// First step of every event: updates the time and the lease.
  void BeginEvent(Time aNow, Effects& aEffects);
  /// Begins or ends a term when the lease was won or lost.
  void UpdateLease(Time aNow, Effects& aEffects);
  void UpdateHosts(Time aNow);

  /// Takes a token that this node holds, owns as steward or has borrowed.
  bool TakeToken(const std::string& aOrganisation, Time aNow);
  /// Admits waiting calls as long as there are tokens for them.
  void AdmitWaiting(Time aNow);
  /// Sends the reports and borrow requests that are due; last step of an event.
  void SendDueReports(Time aNow, Effects& aEffects);
  void NoteShortage(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  void BorrowWithoutSteward(const std::map<std::string, std::uint32_t>& aCounts,
                            Time aNow,
                            Effects& aEffects);
  void SendBorrowRequests(Time aNow, Effects& aEffects);
  void Heartbeat(Time aNow, Effects& aEffects);
  void VoteForSelf(Time aNow, Effects& aEffects);
  void SendReport(Time aNow, Effects& aEffects);
  void ReplyToNode(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void ReplyToBorrower(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void SendGrant(const StewardReport& aReport,
                 std::vector<TokenGrant> aGrants,
                 Time aNow,
                 Effects& aEffects) const;
  /// Grants tokens for one demand of a node of the own domain; borrows those that are missing.
  void GrantDemand(const TokenDemand& aDemand, Time aNow, std::vector<TokenGrant>& aGrants);

  bool IsLive(const Member& aMember) const;
  /// Id of the node that this node would vote for; empty for none.
  std::string Candidate(Time aNow) const;
  /// Node to send the next report to; null for none.
  const PeerAddress* NextTarget(Time aNow);
  /// Shortest time between two reports.
  Duration MinReportInterval(Time aNow) const;
  bool IsConfigured(const std::string& aOrganisation) const;

  Options options;
  Random random;
  std::uint64_t markBase;
  std::uint64_t sequence;
  Time lastNow{};
  std::optional<Voting> voting;
  bool leaving = false;

  std::set<std::string> organisations;
  /// Refused calls by organisation since the start.
  std::map<std::string, std::uint64_t> refused;
  std::uint32_t configuredHosts = 0;
  std::uint32_t liveHosts = 0;

  TokenCache cache;
  WaitingCalls waiting;
  std::vector<RateDecision> decisions;
  /// Effects of Configure and SetMembers, which return none; emitted by the next Poll.
  Effects deferredEffects;

  StewardFinder finder;
  std::map<std::string, ReceivedMark> marks;
  /// Members of the own domain, whether live or not.
  std::map<std::string, PeerAddress> addresses;
  /// Whether the last report of a search went to the other members instead of the candidate.
  bool tryOthers = false;
  Time nextHeartbeatAt{};
  Time nextReportAt{};
  /// When the own buckets may have a token for a waiting call.
  Time nextTokenAt = Time::max();

  StewardBuckets buckets;
  TokenBorrower borrower;
  ReportFilter reports;
};

} // namespace jackdawwind
