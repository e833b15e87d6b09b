// Spreads the requests of a route over the services of its split.
//
//   SplitChooser chooser(seed);
//   const std::string& service = chooser.Choose(route);
//
// Smooth weighted round robin: after n choices each service has had its share of n to within one,
// so that a few hundred requests keep to the weights; independent draws would not. Nodes start at
// random points of the cycle. One choice costs a step per part.
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

  /// Service of the next request; aRoute must have a part.
  const std::string& Choose(const MeshRoute& aRoute);

private:
  struct Cycle
  {
    std::vector<SplitPart> parts;
    std::vector<double> credits;
  };

  Random random;
  std::map<std::string, Cycle> cycles;
};

} // namespace jackdawwind
