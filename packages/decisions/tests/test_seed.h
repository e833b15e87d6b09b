// Seeds for randomised tests. The environment variable JACKDAW_SEED selects a single seed, to
// reproduce a failure.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace jackdawwind {

/// Returns the seeds 1 to aCount, or only the seed in JACKDAW_SEED if it is set.
inline std::vector<std::uint64_t>
TestSeeds(std::uint64_t aCount)
{
  if (const char* given = std::getenv("JACKDAW_SEED")) {
    return { std::stoull(given) };
  }
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = 1; seed <= aCount; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

} // namespace jackdawwind
