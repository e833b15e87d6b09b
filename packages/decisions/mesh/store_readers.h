// Decides how this node follows the platform's store, and tells its failure domain that it does.
//
//   StoreReaders readers("a3");
//   readers.SetMembers(members);                 // after every change
//   readers.Receive(contact, now);               // StoreContact of another node
//   switch (readers.Update(now)) { ... kNone, kPassive, kVerifying ... }
//   for (const SendPeer& message : readers.Announce(contact)) { ... }   // on StoreReached
//
// If every node followed the store, its calls would grow with the fleet. The first
// kStoreReadersPerDomain alive members of each domain, in the order of node ids, are enough: gossip
// carries a change to all others within a second. Every node computes the readers from its own
// member table, without messages. Two tables may differ for a while; then a domain has more
// readers.
//
// A reader may be cut off from the store, or the store may accept its calls and not answer them,
// and its open long poll does not show that for seconds. The first reader therefore verifies its
// contact: it reads the store anew at short intervals, checks about twice a second that it reaches
// it, and then sends StoreContact to its domain. The second reader only keeps a long poll open, so
// that a change still arrives at once when the first one is lost. A node that has received no
// contact for kContactLifetime, the second reader included, stands in: it verifies as well.
// Stand-ins start in stages by their rank, kFirstStage nodes first and twice as many in each
// further stage, so that the store isn't read by a whole domain at once; the first one that reaches
// the store announces itself, which ends the wait of the others. With 100 nodes in a domain the
// last stage starts 0.4 s after the first.
//
// A stand-in stops when another elected reader, or as many stand-ins of lower rank as there are
// readers, are in contact. Only nodes of the own domain count, so each side of a partition has
// readers.
//
// SetMembers is linear in the number of members; the other operations are linear in the number of
// nodes that follow the store.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/peer.h"

namespace jackdawwind {

/// Readers of one failure domain, so that the loss of one is not noticed.
constexpr std::size_t kStoreReadersPerDomain = 2;

class StoreReaders
{
public:
  using Members = std::map<std::string, Member>;

  /// Time after which a reader that sends no StoreContact counts as cut off. Readers send one every
  /// half second, so one lost datagram is no cut. Together with the stages and a read it must stay
  /// below the 2 s within which a change has to be in force.
  static constexpr Duration kContactLifetime = std::chrono::milliseconds(1100);
  /// Time between two stages: several times as long as a read of the store and a message take.
  static constexpr Duration kStageInterval = std::chrono::milliseconds(100);
  /// Number of stand-ins of the first stage.
  static constexpr std::size_t kFirstStage = 4;

  explicit StoreReaders(std::string aNode);

  void SetMembers(const Members& aMembers);
  /// Notes that another node reaches the store. Ignored unless it is of the own domain.
  void Receive(const StoreContact& aContact, Time aNow);
  /// Decides how this node follows the store from now on.
  StoreFollowing Update(Time aNow);
  /// Messages with aContact to the domain after this node has reached the store; none unless it
  /// verifies its contact.
  std::vector<SendPeer> Announce(const StoreContact& aContact) const;

  /// Time at which the result of Update may change without a message; Time::max() if it can't.
  Time NextWake() const;
  /// Number of alive members of the domain before this node in the order of ids.
  std::size_t Rank() const { return this->rank; }

private:
  bool IsElected() const { return this->rank < kStoreReadersPerDomain; }
  bool IsFirst() const { return this->rank == 0; }
  /// Whether other nodes are in contact that make this stand-in needless.
  bool IsRelieved(Time aNow) const;
  Duration StageDelay() const;
  /// Time at which this node stands in unless it receives a contact.
  Time StandInAt() const;

  std::string node;
  /// Alive members of the domain besides this node, with their ranks.
  std::map<std::string, std::size_t> rankByPeer;
  std::vector<PeerAddress> peers;
  std::size_t rank = 0;
  /// Times of the last contact by node.
  std::map<std::string, Time> contacts;
  /// Latest contact of any node of the domain.
  Time lastContact{};
  bool verifying = true;
};

} // namespace jackdawwind
