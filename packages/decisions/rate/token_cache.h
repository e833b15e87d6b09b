// Tokens that a node holds, and what it asks its steward for.
//
//   purse.NoteDemand("north-farm", now);
//   if (!purse.Take("north-farm", now)) { /* the call waits */ }
//   if (purse.Due("north-farm", waiting, now)) {
//     purse.NoteSent(sequence, steward, purse.Wanted(waitingByOrganisation, now), now);
//   }
//   purse.Receive(grant, now);
//
// Draws ahead of demand: a node with steady demand keeps tokens for half a token lifetime (at most
// 1 s) and asks when fewer than 40% of them are left, so that its calls rarely wait. A token's life
// counts from when it was asked for, which is before the steward handed it out. A grant is accepted
// once, from the node that was asked, and only by the incarnation that asked.
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
  /// aAhead turns drawing ahead of demand on.
  explicit TokenCache(bool aAhead)
    : ahead(aAhead)
  {
  }

  void NoteDemand(const std::string& aOrganisation, Time aNow);
  bool Take(const std::string& aOrganisation, Time aNow);
  std::uint32_t Count(const std::string& aOrganisation, Time aNow) const;

  /// Whether tokens of the organisation should be asked for now.
  bool Due(const std::string& aOrganisation, std::uint32_t aWaiting, Time aNow) const;
  /// When tokens for waiting calls of the organisation may be asked for again.
  Time NextAsk(const std::string& aOrganisation) const;
  /// What to ask for now, of all organisations.
  std::vector<TokenDemand> Wanted(const std::map<std::string, std::uint32_t>& aWaiting,
                                  Time aNow) const;

  /// A report with these demands is sent to aSteward.
  void NoteSent(std::uint64_t aSequence,
                const std::string& aSteward,
                const std::vector<TokenDemand>& aDemands,
                Time aNow);
  /// False when the grant does not answer an open report.
  bool Receive(const StewardGrant& aGrant, Time aNow);

  /// Forgets tokens of all other organisations.
  void Retain(const std::set<std::string>& aOrganisations);

private:
  struct Account
  {
    ExpiringTokens stock;
    DemandEstimate demand;
    /// Life of the tokens last granted.
    Duration life = std::chrono::milliseconds(200);
    /// No report asks for tokens before this time.
    Time nextAsk{};
    Duration backoff{};
  };

  struct Ask
  {
    std::string steward;
    std::vector<TokenDemand> demands;
    Time at{};
  };

  std::uint32_t Target(const Account& aAccount, Time aNow) const;
  void NoteAnswer(const TokenDemand& aDemand, const StewardGrant& aGrant, Time aNow);

  bool ahead;
  std::map<std::string, Account> accounts;
  std::map<std::uint64_t, Ask> asks;
};

} // namespace jackdawwind
