// The orders in which queued calls run and are shed, as a variant of policies.
//
//   ShedPolicy policy = MakeShedPolicy(PolicyKind::kFairness);
//   std::size_t next = NextToRun(policy, calls, view);
//   NoteStart(policy, calls[next], now);
//
// Cost: linear in the queued calls, for FairnessPolicy also in the organisations that have queued
// calls. Both orders are total: the same calls, history and view give the same choice, however the
// calls are arranged.
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

/// State of the queue that a policy may look at.
struct QueueView
{
  /// Queued calls by organisation.
  const std::map<std::string, std::uint32_t>& queued;
  /// Whether the admission level is above zero.
  bool overloaded = false;
  Time now{};
};

/// How the admission level moves under a policy.
struct LevelSteps
{
  std::uint32_t up = 0;
  std::uint32_t down = 0;
  /// Time that the delay stays above its target before a step up.
  Duration upAfter{};
  /// Time that the delay stays at or below its target before a step down.
  Duration downAfter{};
};

/// Class, then priority of the root; newest first under overload, because the newest call has the
/// most time left, oldest first otherwise.
class GoodputPolicy
{
public:
  std::size_t NextToRun(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  std::size_t NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  void NoteStart(const PendingCall& aCall, Time aNow);
  void SetWeights(const std::map<std::string, double>& aWeights);
  LevelSteps Steps() const;
};

/// Class, then the organisation furthest above its weighted share, then priority of the root,
/// oldest first. Calls run in the order of recent starts per weight; calls are shed in the order of
/// recent starts plus queued calls per weight. The queue does not count in the first order, or an
/// organisation with a long queue would get less than its share.
class FairnessPolicy
{
public:
  std::size_t NextToRun(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  std::size_t NextToShed(const std::vector<PendingCall>& aCalls, const QueueView& aView) const;
  void NoteStart(const PendingCall& aCall, Time aNow);
  /// Weights by organisation; one that is not named has weight 1.
  void SetWeights(const std::map<std::string, double>& aWeights);
  /// The level moves by whole classes: shares within a class are settled in the queue, because a
  /// threshold over priorities would refuse calls of organisations below their share.
  LevelSteps Steps() const;

private:
  struct Usage
  {
    double starts = 0;
    Time at{};
  };

  double WeightOf(const std::string& aOrganisation) const;
  /// Recent starts per weight.
  double StartsOf(const std::string& aOrganisation, Time aNow) const;

  std::map<std::string, double> weights;
  std::map<std::string, Usage> usages;
};

using ShedPolicy = std::variant<GoodputPolicy, FairnessPolicy>;

/// Policy without history.
ShedPolicy MakeShedPolicy(PolicyKind aKind);

/// Index of the call to run next; aCalls must not be empty.
std::size_t NextToRun(const ShedPolicy& aPolicy,
                      const std::vector<PendingCall>& aCalls,
                      const QueueView& aView);
/// Index of the call to shed first; aCalls must not be empty.
std::size_t NextToShed(const ShedPolicy& aPolicy,
                       const std::vector<PendingCall>& aCalls,
                       const QueueView& aView);
void NoteStart(ShedPolicy& aPolicy, const PendingCall& aCall, Time aNow);
void SetWeights(ShedPolicy& aPolicy, const std::map<std::string, double>& aWeights);
LevelSteps StepsOf(const ShedPolicy& aPolicy);

} // namespace jackdawwind
