#include "decisions/mesh/split_chooser.h"

#include <algorithm>
#include <cstddef>

namespace jackdawwind {

const std::string&
SplitChooser::Choose(const MeshRoute& aRoute)
{
  const std::vector<SplitPart>& parts = aRoute.Parts();
  if (parts.size() == 1) {
    return parts.front().GetService();
  }
  Cycle& cycle = this->cycles[aRoute.Host() + aRoute.Prefix()];
  double total = 0;
  for (const SplitPart& part : parts) {
    total += part.Weight();
  }
  if (cycle.parts != parts) {
    cycle.parts = parts;
    cycle.currentWeights.clear();
    for (const SplitPart& part : parts) {
      cycle.currentWeights.push_back(this->random.Fraction() * part.Weight());
    }
  }
  std::size_t best = 0;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    cycle.currentWeights[index] += parts[index].Weight();
    if (cycle.currentWeights[index] > cycle.currentWeights[best]) {
      best = index;
    }
  }
  cycle.currentWeights[best] -= total;
  return parts[best].GetService();
}

} // namespace jackdawwind
