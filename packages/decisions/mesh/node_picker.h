// Chooses the node, and with it the target, that a request is sent to.
//
//   NodePicker picker(options, seed);
//   std::optional<PeerAddress> peer =
//     picker.Pick({ .service = "fleet", .tried = tried }, members, now);
//   picker.NoteSent(peer->Node());
//   picker.NoteAnswer(peer->Node(), load, now);        // or NoteFailure
//
// The cost of a candidate is its distance plus the wait that its last reported load and the sends
// since then suggest; the least cost wins. Near targets are used until they fill up, so that bytes
// cross domains and regions only when that serves the caller. A node that failed is left out for a
// while, twice as long with each failure in a row. A pick costs one step per member.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "util/clock.h"
#include "util/random.h"
#include "values/generated/peer.h"

namespace jackdawwind {

class NodePicker
{
public:
  struct Options
  {
    std::string node;
    std::string domain;
    std::string region;
  };

  using Members = std::map<std::string, Member>;

  NodePicker(Options aOptions, std::uint64_t aSeed);

  struct Wish
  {
    const std::string& service;
    /// Nodes that are left out.
    const std::set<std::string>& tried;
    std::uint64_t bodyBytes = 0;
  };

  /// Nothing when no live node has a ready target of the service that was not tried.
  std::optional<PeerAddress> Pick(const Wish& aWish, const Members& aMembers, Time aNow);
  void NoteSent(const std::string& aNode);
  void NoteAnswer(const std::string& aNode, std::uint32_t aLoadPerMille, Time aNow);
  /// No connection, or one that broke.
  void NoteFailure(const std::string& aNode, Time aNow);
  /// The send ended without news of the node.
  void NoteEnded(const std::string& aNode);
  void Forget(const std::string& aNode);

private:
  struct Record
  {
    double load = 0;
    Time loadAt{};
    std::uint32_t running = 0;
    std::uint32_t sentSince = 0;
    std::uint32_t failures = 0;
    Time excludedUntil{};
  };

  double DistanceOf(const Member& aMember, std::uint64_t aBodyBytes) const;
  double CostOf(const Member& aMember, std::uint64_t aBodyBytes, Time aNow) const;

  Options options;
  Random random;
  std::map<std::string, Record> records;
};

} // namespace jackdawwind
