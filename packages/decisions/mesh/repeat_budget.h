// Limits the repeats of requests to a service, that is, all sends after the first of each request.
//
//   RepeatBudget budget(options);
//   budget.SetNodeCount(members.size());
//   budget.NoteRequest("fleet");
//   if (budget.TryTake("fleet")) { ... send once more ... }
//
// Each node accrues tokens from its own requests, so the limit holds for the whole fleet in every
// partition. A repeated run repeats its nested calls as well: in a call chain of three services the
// deepest one receives the repeats of all levels, so each level may use a third of the ratio.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace jackdawwind {

class RepeatBudget
{
public:
  struct Options
  {
    /// Repeats per request to one service, over the whole fleet.
    double fleetRatio = 0.2;
    /// Additional repeats of the whole fleet within one window.
    double fleetExtra = 48;
  };

  explicit RepeatBudget(Options aOptions);

  /// Sets the number of nodes that share fleetExtra; must be called before the first request.
  void SetNodeCount(std::size_t aNodeCount);
  /// Adds the tokens that a first send accrues.
  void NoteRequest(const std::string& aService);
  /// Takes the token for one repeat; returns false if the budget is exhausted.
  bool TryTake(const std::string& aService);
  /// Gives back the token of a repeat that was not sent.
  void Return(const std::string& aService);

private:
  /// Levels of a call chain whose repeats add up at the deepest service.
  static constexpr double kCallDepth = 3;

  /// Maximum number of tokens of one service at this node.
  double Capacity() const;

  Options options;
  std::size_t nodeCount = 0;
  std::map<std::string, double> tokens;
};

} // namespace jackdawwind
