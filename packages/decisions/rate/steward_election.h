// A candidate's side of the steward election: counts votes and says whether the lease is held.
//
//   const std::uint64_t mark = election.IssueMark(now);   // goes out with every grant
//   election.CountVote("node-3", report.Mark(), now);     // comes back with a vote
//   election.Update(now);                                 // kWon, kLost or kNone
//
// A vote counts for 3 s from the time its mark was issued. That is before the voter's promise
// began, so the vote ends here before the promise ends there, whatever the messages' delays. The
// lease is held while votes of more than half of the domain's hosts count; two majorities share a
// voter, so at most one node of the domain holds the lease.
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
  /// aMarkBase must differ between incarnations of the node; marks are microseconds from it.
  StewardElection(std::uint64_t aMarkBase, Time aStart);

  /// Number of hosts that the majority refers to; a smaller number takes effect after 10 s, so that
  /// nodes on different revisions cannot find two majorities.
  void SetHosts(std::uint32_t aHosts, Time aNow);

  std::uint64_t IssueMark(Time aNow) const;
  /// Counts a vote; a mark that is not from this incarnation or is too old changes nothing.
  void CountVote(const std::string& aVoter, std::uint64_t aMark, Time aNow);
  /// Counts the vote of this node for itself, promised at aNow.
  void CountOwnVote(const std::string& aSelf, Time aNow);
  /// Takes note of votes that ended and votes that came; call it first on every event.
  LeaseChange Update(Time aNow);
  /// Whether the lease was held at the last Update.
  bool Elected() const { return this->elected; }
  /// When the lease ends without further votes; Time::max() when it is not held.
  Time LeaseEnd() const;

  /// Gives up the lease for good and returns the voters to tell.
  std::vector<std::string> Resign();

private:
  struct HostCount
  {
    Time readAt{};
    std::uint32_t hosts = 0;
  };

  /// Time until which a majority of votes lasts.
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
