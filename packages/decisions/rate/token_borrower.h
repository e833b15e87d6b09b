// Borrows tokens from the stewards of other domains when the own domain runs short.
//
//   borrower.NoteShortage("north-farm", 20, now);
//   for (const BorrowRequest& request : borrower.TakeRequests(now)) { /* send, then NoteSent */ }
//   borrower.Receive(grant, now);
//   for (const TokenBatch& batch : borrower.Take("north-farm", 20, now)) { ... }
//
// Domains of the own region are asked first; other regions only while every domain of the own
// region is backing off. A lender that granted less than requested is not asked again for a backoff
// that doubles up to 400 ms. Borrowed tokens count against the lender's burst until they expire;
// the borrower uses them for their remaining life, counted from when the request was sent.
//
// Cost: one message per lender and shortage, whatever the number of nodes.
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

/// A report to send to the steward of another domain.
struct BorrowRequest
{
  std::string domain;
  PeerAddress to;
  std::vector<TokenDemand> demands;
};

/// Live members of another domain, ordered by id.
struct LenderMembers
{
  bool sameRegion = false;
  std::vector<PeerAddress> members;
};

class TokenBorrower
{
public:
  /// Live members of the other domains, by domain.
  void SetMembers(const std::map<std::string, LenderMembers>& aMembers);

  /// Records that the domain lacks aTokens tokens; the shortage expires after 100 ms.
  void NoteShortage(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  /// Returns the requests to send now and removes the shortages that they cover.
  std::vector<BorrowRequest> TakeRequests(Time aNow);
  /// Records that aRequest was sent as the report with this sequence number.
  void NoteSent(std::uint64_t aSequence, const BorrowRequest& aRequest, Time aNow);
  /// Adds the granted tokens; false when the grant does not answer an open request.
  bool Receive(const StewardGrant& aGrant, Time aNow);

  /// Takes the token that expires first; false when there is none.
  bool TakeOne(const std::string& aOrganisation, Time aNow);
  /// Takes up to aTokens tokens that a node of the domain can still use.
  std::vector<TokenBatch> Take(const std::string& aOrganisation, std::uint32_t aTokens, Time aNow);
  /// Number of borrowed tokens that have not expired.
  std::uint32_t Count(const std::string& aOrganisation, Time aNow) const;

  /// Drops shortages, tokens and open requests at the end of a term.
  void Clear();
  /// Earliest time at which a recorded shortage may be requested; Time::max() without one.
  Time NextRequestAt() const;

private:
  struct Backoff
  {
    Time nextRequestAt{};
    Duration delay{};
  };

  struct Lender
  {
    bool sameRegion = false;
    StewardFinder finder;
    /// Backoff for the whole domain, while it is unresponsive or has no steward.
    Backoff backoff;
    /// When the first unanswered request was sent; Time::max() for none.
    Time unansweredSince = Time::max();
    /// Backoff by organisation after a grant that fell short.
    std::map<std::string, Backoff> organisations;
  };

  struct Shortage
  {
    std::uint32_t tokens = 0;
    Time expiry{};
  };

  struct OpenRequest
  {
    std::string domain;
    std::string steward;
    std::vector<TokenDemand> demands;
    Time sentAt{};
  };

  Time NextRequestTo(const Lender& aLender, const std::string& aOrganisation) const;
  std::vector<std::string> LendersFor(const std::string& aOrganisation, Time aNow) const;
  void SkipUnresponsive(Time aNow);
  void NoteAnswer(Lender& aLender,
                  const OpenRequest& aRequest,
                  const StewardGrant& aGrant,
                  Time aNow);

  std::map<std::string, Lender> lenders;
  std::map<std::string, Shortage> shortages;
  std::map<std::string, ExpiringTokens> borrowed;
  std::map<std::uint64_t, OpenRequest> openRequests;
};

} // namespace jackdawwind
