// A node's side of the steward election: at any time it promises its vote to at most one node.
//
//   if (promise.MayVote("node-3", now)) { promise.Make("node-3", mark, now); /* send the vote */ }
//
// A promise lasts 3 s from the sending of the vote. A node that has just started has forgotten its
// promises, so it makes none for 3 s.
#pragma once

#include <cstdint>
#include <string>

#include "util/clock.h"

namespace jackdawwind {

/// How long a vote binds its sender.
inline constexpr Duration kPromiseDuration = std::chrono::seconds(3);

class VotePromise
{
public:
  explicit VotePromise(Time aStart)
    : freeAt(aStart + kPromiseDuration)
  {
  }

  bool MayVote(const std::string& aCandidate, Time aNow) const;
  /// aMark is the candidate's mark that the vote echoes.
  void Make(const std::string& aCandidate, std::uint64_t aMark, Time aNow);
  /// The holder gave up its lease at the time of aMark. A late copy from an earlier incarnation of
  /// the holder has an unrelated mark and is ignored.
  void Release(const std::string& aHolder, std::uint64_t aMark);
  /// Node that holds the promise; empty for none.
  std::string Holder(Time aNow) const;

private:
  std::string holder;
  std::uint64_t mark = 0;
  Time freeAt;
};

} // namespace jackdawwind
