// Chooses the node, and thereby the target, that an attempt is sent to.
//
//   std::variant<PeerAddress, ResultCode> pick = picker.Pick(request, members, now);
//   picker.NoteSent(node);  ...  picker.NoteEnded(node, outcome, now);
//
// Power of two choices: the less loaded of two random candidates, from the own domain if possible,
// then from the own region, then from other regions. Nodes that fail repeatedly are excluded for a
// time that doubles with each further failure. Cost: one pass over the members. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decisions/overload/node_load_cache.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/calls.h"

namespace jackdawwind {

struct PickRequest
{
  std::string service;
  /// Rank of the call, compared with admission levels; see RankOf().
  std::uint32_t rank = 0;
  /// Nodes of earlier attempts of the call; used again only when no other node admits the call.
  std::set<std::string> tried;
};

class Picker
{
public:
  struct Options
  {
    std::string domain;
    std::string region;
  };

  Picker(Options aOptions, std::uint64_t aSeed);

  /// Returns a node, kNoTarget when no target is ready, or kShedAtEntry when none admits the rank.
  std::variant<PeerAddress, ResultCode> Pick(const PickRequest& aRequest,
                                             const std::map<std::string, Member>& aMembers,
                                             Time aNow);

  /// An attempt was sent to the node.
  void NoteSent(const std::string& aNode);
  /// An attempt ended; updates the load and health of the node.
  void NoteEnded(const std::string& aNode, const AttemptOutcome& aOutcome, Time aNow);
  /// An attempt was cancelled, which is not counted as a failure or a success.
  void NoteCancelled(const std::string& aNode);
  /// Removes the state of a node that left or died.
  void Forget(const std::string& aNode);

private:
  /// Outcomes of this node's attempts at another node.
  struct NodeHealth
  {
    std::uint32_t inFlight = 0;
    std::uint32_t consecutiveFailures = 0;
    /// Duration of the last exclusion; zero after a success.
    Duration exclusionPeriod{};
    Time excludedUntil{};
  };

  using Candidates = std::vector<const Member*>;

  bool IsExcluded(const std::string& aNode, Time aNow) const;
  /// Ready candidates of the best class that is not empty, in the order of CandidateClass.
  Candidates FindCandidates(const std::string& aService,
                            const std::map<std::string, Member>& aMembers,
                            Time aNow) const;
  /// Chooses a candidate that admits the rank from the nearest locality; null if none does.
  const Member* Choose(const Candidates& aCandidates, std::uint32_t aRank, Time aNow);
  /// The less loaded of two random candidates; aCandidates must not be empty.
  const Member* PickLessLoaded(const Candidates& aCandidates, Time aNow);
  /// Own attempts in flight plus the reported load.
  std::uint64_t LoadOf(const Member& aMember, Time aNow) const;
  void NoteFailure(NodeHealth& aHealth, Time aNow) const;

  Options options;
  Random random;
  NodeLoadCache loadCache;
  std::map<std::string, NodeHealth> nodes;
};

} // namespace jackdawwind
