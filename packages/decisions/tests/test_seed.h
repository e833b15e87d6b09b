// Seeds of random tests: printed, and replaced by the environment variable JACKDAW_SEED.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace jackdawwind {

/// Seeds to run: aCount fixed ones, or the single one of JACKDAW_SEED.
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
