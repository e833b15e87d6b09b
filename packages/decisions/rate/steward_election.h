// A candidate's side of the steward election: counts votes and tells whether the lease is held.
//
//   const std::uint64_t mark = election.IssueMark(now);   // sent with every grant
//   election.CountVote("node-3", report.Mark(), now);     // returned with a vote
//   election.Update(now);                                 // kWon, kLost or kNone
//
// The steward of a domain is the node that holds the domain's rate lease; it owns the domain's
// token buckets. A mark is a timestamp of the candidate's clock, in microseconds from a random
// base, that the candidate sends with a grant and a voter echoes with its vote.
//
// A vote counts for 3 s, less a margin for clock drift, from the time its mark was issued. The mark
// is issued before the voter's promise begins, so the vote expires at the candidate before the
// promise expires at the voter, whatever the messages' delays. The lease is held while votes of
// more than half of the domain's hosts count; two majorities share a voter, so at most one node of
// the domain holds the lease.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "util/clock.h"

namespace jackdawwind {

enum class LeaseChange
{
  kNone,
  kWon,
  kLost,
};

class StewardElection
{
public:
  /// aMarkBase is the mark of aStart; it must differ between incarnations of the node.
  StewardElection(std::uint64_t aMarkBase, Time aStart);

  /// Sets the number of hosts that the majority refers to. A smaller number takes effect after 10
  /// s, so that nodes on different configuration revisions cannot form two majorities.
  void SetHosts(std::uint32_t aHosts, Time aNow);

  /// Mark to send with a grant at aNow.
  std::uint64_t IssueMark(Time aNow) const;
  /// Counts a vote; ignores a mark that is of another incarnation or too old.
  void CountVote(const std::string& aVoter, std::uint64_t aMark, Time aNow);
  /// Counts the vote of this node for itself, promised at aNow.
  void CountOwnVote(const std::string& aSelf, Time aNow);
  /// Drops expired votes and counts new ones; to be called first on every event.
  LeaseChange Update(Time aNow);
  /// Whether the lease was held at the last Update.
  bool Elected() const { return this->elected; }
  /// When the lease expires without further votes; Time::max() when it is not held.
  Time LeaseEnd() const;

  /// Gives up the lease permanently and returns the voters to notify.
  std::vector<std::string> Resign();

private:
  struct HostCount
  {
    Time readAt{};
    std::uint32_t hosts = 0;
  };

  /// When fewer votes than a majority will remain; Time::min() without a majority.
  Time MajorityEnd(Time aNow) const;
  std::uint32_t Hosts(Time aNow) const;

  std::uint64_t markBase;
  Time start;
  std::vector<HostCount> hostCounts;
  std::map<std::string, Time> voteEnds;
  Time leaseEnd{};
  bool elected = false;
  bool resigned = false;
};

} // namespace jackdawwind
