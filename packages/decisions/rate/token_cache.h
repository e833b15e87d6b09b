// Tokens that a node holds, and the demands that it reports to its steward.
//
//   cache.NoteDemand("north-farm", now);
//   if (!cache.Take("north-farm", now)) { /* the call waits */ }
//   if (cache.ShouldRequest("north-farm", waiting, now)) {
//     cache.NoteSent(sequence, steward, cache.Demands(waitingByOrganisation, now), now);
//   }
//   cache.Receive(grant, now);
//
// With prefetching, a node with steady demand holds tokens for half a token life (at most 1 s) and
// requests more when fewer than 40% of them are left, so that its calls rarely wait. A token's life
// counts from when the report was sent, which is before the steward handed the token out. A grant
// is accepted once, from the node that the report was sent to, and only by the incarnation that
// sent it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/rate/demand_estimate.h"
#include "decisions/rate/expiring_tokens.h"
#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class TokenCache
{
public:
  /// aPrefetch: request tokens ahead of demand.
  explicit TokenCache(bool aPrefetch)
    : prefetch(aPrefetch)
  {
  }

  /// Records the demand of one call.
  void NoteDemand(const std::string& aOrganisation, Time aNow);
  /// Takes the token that expires first; false when there is none.
  bool Take(const std::string& aOrganisation, Time aNow);
  /// Number of tokens that have not expired.
  std::uint32_t Count(const std::string& aOrganisation, Time aNow) const;

  /// Whether to request tokens of the organisation now, with aWaiting calls waiting for one.
  bool ShouldRequest(const std::string& aOrganisation, std::uint32_t aWaiting, Time aNow) const;
  /// Earliest time at which tokens of the organisation may be requested again.
  Time NextRequestAt(const std::string& aOrganisation) const;
  /// Demands to report now, of all organisations; aWaiting counts the waiting calls by
  /// organisation.
  std::vector<TokenDemand> Demands(const std::map<std::string, std::uint32_t>& aWaiting,
                                   Time aNow) const;

  /// Records that a report with these demands was sent to aSteward.
  void NoteSent(std::uint64_t aSequence,
                const std::string& aSteward,
                const std::vector<TokenDemand>& aDemands,
                Time aNow);
  /// Adds the granted tokens; false when the grant does not answer an open report.
  bool Receive(const StewardGrant& aGrant, Time aNow);

  /// Drops the state of all organisations that are not in aOrganisations.
  void Retain(const std::set<std::string>& aOrganisations);

private:
  struct Account
  {
    ExpiringTokens tokens;
    DemandEstimate demand;
    /// Life of the most recent grant's tokens.
    Duration life = std::chrono::milliseconds(200);
    /// No report requests tokens before this time.
    Time nextRequestAt{};
    Duration backoff{};
  };

  struct OpenReport
  {
    std::string steward;
    std::vector<TokenDemand> demands;
    Time sentAt{};
  };

  /// Number of tokens to hold ahead of demand.
  std::uint32_t PrefetchTarget(const Account& aAccount, Time aNow) const;
  void NoteAnswer(const TokenDemand& aDemand, const StewardGrant& aGrant, Time aNow);

  bool prefetch;
  std::map<std::string, Account> accounts;
  std::map<std::uint64_t, OpenReport> openReports;
};

} // namespace jackdawwind
