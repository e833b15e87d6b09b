// A node's side of the steward election: it promises its vote to at most one node at a time.
//
//   if (promise.MayVote("node-3", now)) { promise.Make("node-3", mark, now); /* send the vote */ }
//
// A promise lasts 3 s from when the vote is sent. Promises are not persisted, so a node that has
// just started makes none for 3 s. See steward_election.h for the mark.
#pragma once

#include <cstdint>
#include <string>

#include "util/clock.h"

namespace jackdawwind {

/// How long a vote binds the voter.
inline constexpr Duration kPromiseDuration = std::chrono::seconds(3);

class VotePromise
{
public:
  explicit VotePromise(Time aStart)
    : expiresAt(aStart + kPromiseDuration)
  {
  }

  /// Whether a vote for aCandidate would break no promise.
  bool MayVote(const std::string& aCandidate, Time aNow) const;
  /// Makes or renews the promise; aMark is the candidate's mark that the vote echoes.
  void Make(const std::string& aCandidate, std::uint64_t aMark, Time aNow);
  /// Ends the promise because aHolder gave up its lease at the time of aMark. A delayed release
  /// from an earlier incarnation of the holder has an unrelated mark and is ignored.
  void Release(const std::string& aHolder, std::uint64_t aMark);
  /// Node that the vote is promised to; empty for none.
  std::string Holder(Time aNow) const;

private:
  std::string holder;
  std::uint64_t mark = 0;
  Time expiresAt;
};

} // namespace jackdawwind
