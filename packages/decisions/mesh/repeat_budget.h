// Bounds the sends of a service beyond the first of each request, whatever their cause.
//
//   RepeatBudget budget;
//   budget.NoteRequest("fleet");
//   if (budget.TryTake("fleet")) { ... send once more ... }
//
// Each node earns from its own requests, so the fleet's sum keeps the bound in every partition. A
// run that is repeated repeats its calls as well: with chains of calls three services deep, the
// deepest sees the repeats of all levels, so each level may use a third of the fleet's ratio.
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
    /// Repeats per request that the fleet may make of one service.
    double fleetRatio = 0.2;
    /// Repeats that the whole fleet may make besides within one window.
    double fleetExtra = 48;
  };

  explicit RepeatBudget(Options aOptions);

  /// Nodes that share the fleet's extra repeats; must be called before the first request.
  void SetNodeCount(std::size_t aNodes);
  void NoteRequest(const std::string& aService);
  bool TryTake(const std::string& aService);

private:
  /// Levels of a call chain that add up at the deepest service.
  static constexpr double kLevels = 3;

  double Capacity() const;

  Options options;
  std::size_t nodes = 0;
  std::map<std::string, double> tokens;
};

} // namespace jackdawwind
