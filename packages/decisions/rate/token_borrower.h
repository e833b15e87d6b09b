// A steward's tokens borrowed from the stewards of other domains.
//
//   borrowing.Need("north-farm", 20, now);
//   for (const BorrowRequest& request : borrowing.Due(now)) { /* send, then NoteSent */ }
//   borrowing.Receive(grant, now);
//   for (const TokenBatch& batch : borrowing.Take("north-farm", 20, now)) { ... }
//
// Domains of the own region are asked first, the other regions only when none of the own region can
// be asked. A lender that gave less than asked is left alone for a while, doubled up to 400 ms.
// Borrowed tokens count at the lender; here they only have their remaining life, counted from when
// they were asked for. Costs one message per lender and shortage, whatever the number of nodes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/rate/expiring_tokens.h"
#include "decisions/rate/steward_finder.h"
#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

/// A report to send to another domain's steward.
struct BorrowRequest
{
  std::string domain;
  PeerAddress to;
  std::vector<TokenDemand> demands;
};

/// Live members of another domain in the order of their ids.
struct LenderMembers
{
  bool ownRegion = false;
  std::vector<PeerAddress> members;
};

class TokenBorrower
{
public:
  /// Live members of the other domains, by domain.
  void SetMembers(const std::map<std::string, LenderMembers>& aMembers);

  /// The domain is short of this many tokens; forgotten after 100 ms.
  void Need(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  /// Requests to send now.
  std::vector<BorrowRequest> Due(Time aNow);
  void NoteSent(std::uint64_t aSequence, const BorrowRequest& aRequest, Time aNow);
  /// False when the grant does not answer an open request.
  bool Receive(const StewardGrant& aGrant, Time aNow);

  bool TakeOne(const std::string& aOrganisation, Time aNow);
  std::vector<TokenBatch> Take(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  std::uint32_t Count(const std::string& aOrganisation, Time aNow) const;

  /// Forgets tokens and open requests; the term has ended.
  void Clear();
  /// When a needed token may be asked for; Time::max() when none is needed.
  Time NextAsk() const;

private:
  struct Pause
  {
    Time nextAsk{};
    Duration backoff{};
  };

  struct Lender
  {
    bool ownRegion = false;
    StewardFinder finder;
    /// Of the whole domain: silent or without a steward.
    Pause pause;
    /// Time of the first request without an answer; Time::max() for none.
    Time silentSince = Time::max();
    std::map<std::string, Pause> organisations;
  };

  struct Shortage
  {
    std::uint32_t tokens = 0;
    Time until{};
  };

  struct Ask
  {
    std::string domain;
    std::string steward;
    std::vector<TokenDemand> demands;
    Time at{};
  };

  Time NextAskOf(const Lender& aLender, const std::string& aOrganisation) const;
  std::vector<std::string> LendersFor(const std::string& aOrganisation, Time aNow) const;
  void SkipSilent(Time aNow);
  void NoteAnswer(Lender& aLender, const Ask& aAsk, const StewardGrant& aGrant, Time aNow);

  std::map<std::string, Lender> lenders;
  std::map<std::string, Shortage> shortages;
  std::map<std::string, ExpiringTokens> stocks;
  std::map<std::uint64_t, Ask> asks;
};

} // namespace jackdawwind
