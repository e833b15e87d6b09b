// Policies that decide in which order queued calls run and are shed, as a std::variant.
//
//   ShedPolicy policy = MakeShedPolicy(PolicyKind::kFairness);
//   std::size_t next = NextToRun(policy, calls, view);
//   NoteStart(policy, calls[next], now);
//
// Cost: linear in the number of queued calls; FairnessPolicy also sorts the organisations that have
// queued calls. Both orders are total, so the choice does not depend on the sequence of aCalls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "decisions/overload/pending_call.h"
#include "util/clock.h"
#include "values/generated/configuration.h"

namespace jackdawwind {

/// Queue state that is passed to a policy.
struct QueueView
{
  /// Number of queued calls by organisation.
  const std::map<std::string, std::uint32_t>& queued;
  /// Whether the admission level is above zero.
  bool overloaded = false;
  Time now{};
};

/// Step sizes and intervals of the admission level under a policy.
struct LevelSteps
{
  /// Ranks by which a step raises or lowers the level.
  std::uint32_t up = 0;
  std::uint32_t down = 0;
  /// Time for which the queueing delay must stay above its target before a step up.
  Duration upAfter{};
  /// Time for which the queueing delay must stay at or below its target before a step down.
  Duration downAfter{};
};

/// Maximises the number of calls answered in time. Orders calls by importance class, then by
/// priority of the root call, then by age: oldest first, but newest first under overload, because
/// the newest call has the most time left.
class GoodputPolicy
{
public:
  std::size_t NextToRun(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  std::size_t NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  void NoteStart(const PendingCall& aCall, Time aNow);
  void SetWeights(const std::map<std::string, double>& aWeights);
  LevelSteps Steps() const;
};

/// Divides the target between organisations in proportion to their weights. Orders calls by
/// importance class, then by organisation, then by priority of the root call, oldest first. The
/// organisation with the fewest recent starts per weight runs first; the one with the most recent
/// starts and queued calls per weight is shed first. Queued calls do not count in the order of
/// running, since an organisation with a long queue would get less than its share.
class FairnessPolicy
{
public:
  std::size_t NextToRun(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  std::size_t NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  void NoteStart(const PendingCall& aCall, Time aNow);
  /// Sets the weights of organisations; the default weight is 1.
  void SetWeights(const std::map<std::string, double>& aWeights);
  /// The level moves by whole importance classes. Shares within a class are enforced by the order
  /// of the queue; a threshold on priorities would also reject calls of organisations below their
  /// share.
  LevelSteps Steps() const;

private:
  struct Usage
  {
    /// Number of starts, decayed exponentially up to updatedAt.
    double starts = 0;
    Time updatedAt{};
  };

  double WeightOf(const std::string& aOrganisation) const;
  /// Decayed number of starts divided by the organisation's weight.
  double WeightedStartsOf(const std::string& aOrganisation, Time aNow) const;

  std::map<std::string, double> weights;
  std::map<std::string, Usage> usages;
};

using ShedPolicy = std::variant<GoodputPolicy, FairnessPolicy>;

/// Creates a policy without usage history.
ShedPolicy MakeShedPolicy(PolicyKind aKind);

/// Index of the call to run next; aCalls must not be empty.
std::size_t NextToRun(const ShedPolicy& aPolicy,
                      const std::vector<PendingCall>& aCalls,
                      const QueueView& aView);
/// Index of the call to shed first; aCalls must not be empty.
std::size_t NextToShed(const ShedPolicy& aPolicy,
                       const std::vector<PendingCall>& aCalls,
                       const QueueView& aView);
/// Records that a call starts, for the order of later calls.
void NoteStart(ShedPolicy& aPolicy, const PendingCall& aCall, Time aNow);
void SetWeights(ShedPolicy& aPolicy, const std::map<std::string, double>& aWeights);
LevelSteps StepsOf(const ShedPolicy& aPolicy);

} // namespace jackdawwind
