// Picks the node, and so the target, that an attempt goes to.
//
//   std::variant<PeerAddress, ResultCode> pick = picker.Pick(request, members, now);
//   picker.NoteSent(node);  ...  picker.NoteEnded(node, outcome, now);
//
// Two random candidates, the less loaded of them; own domain first, then own region, then the other
// region. Costs one pass over the members of the service.
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
  /// Rank of the call against admission levels; see LevelMemory.
  std::uint32_t rank = 0;
  /// Nodes that earlier attempts of the call went to; taken again only when no other is left.
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

  /// A node, or kNoTarget (none ready) or kShedAtEntry (none admits the rank).
  std::variant<PeerAddress, ResultCode> Pick(const PickRequest& aRequest,
                                             const std::map<std::string, Member>& aMembers,
                                             Time aNow);

  void NoteSent(const std::string& aNode);
  void NoteEnded(const std::string& aNode, const AttemptOutcome& aOutcome, Time aNow);
  /// An attempt was cancelled: says nothing about the node.
  void NoteCancelled(const std::string& aNode);
  /// Forgets a node that left or died.
  void Forget(const std::string& aNode);

private:
  /// What this node has seen of another.
  struct Health
  {
    std::uint32_t inFlight = 0;
    std::uint32_t failuresInARow = 0;
    /// Length of the last exclusion; zero after a success.
    Duration exclusion{};
    Time excludedUntil{};
  };

  using Candidates = std::vector<const Member*>;

  bool IsExcluded(const std::string& aNode, Time aNow) const;
  /// Ready candidates of the best kind there is: alive, then alive but excluded, then suspect.
  Candidates FindCandidates(const std::string& aService,
                            const std::map<std::string, Member>& aMembers,
                            Time aNow) const;
  /// One of those that admit the rank, from the nearest place; null for none.
  const Member* Choose(const Candidates& aCandidates, std::uint32_t aRank, Time aNow);
  /// The less loaded of two random candidates; aCandidates must not be empty.
  const Member* LessLoaded(const Candidates& aCandidates, Time aNow);
  std::uint64_t LoadOf(const Member& aMember, Time aNow) const;
  void NoteFailure(Health& aHealth, Time aNow) const;

  Options options;
  Random random;
  LevelMemory levels;
  std::map<std::string, Health> nodes;
};

} // namespace jackdawwind
