// Distributes the requests of a route over the services of its traffic split.
//
//   SplitChooser chooser(seed);
//   const std::string& service = chooser.Choose(route);
//
// Uses smooth weighted round robin: after n choices the count of each service is within one of its
// weighted share, so even a few hundred requests match the weights, which independent random
// choices would not guarantee. Each node starts at a random point of the cycle. Choose is linear in
// the number of parts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "util/random.h"
#include "values/generated/mesh.h"

namespace jackdawwind {

class SplitChooser
{
public:
  explicit SplitChooser(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Service for the next request; aRoute must have at least one part.
  const std::string& Choose(const MeshRoute& aRoute);

private:
  /// State of the round robin of one route.
  struct Cycle
  {
    std::vector<SplitPart> parts;
    std::vector<double> currentWeights;
  };

  Random random;
  std::map<std::string, Cycle> cycles;
};

} // namespace jackdawwind
