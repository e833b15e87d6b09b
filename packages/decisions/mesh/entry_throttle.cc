#include "decisions/mesh/entry_throttle.h"

#include <cmath>

namespace jackdawwind {

namespace {

/// K in the head of the class.
constexpr double kOfferedPerAccepted = 1.5;
/// Time constant of the decay: long enough for some tens of requests at a node, short enough to
/// follow the start and the end of a surge.
constexpr double kTimeConstantSeconds = 2;
/// Requests that may be refused before any is rejected; a few refusals are no overload.
constexpr double kMinEvidence = 10;

} // namespace

EntryThrottle::EntryThrottle(std::uint64_t aSeed)
  : random(aSeed)
{
}

EntryThrottle::Counts&
EntryThrottle::Update(const std::string& aService, std::uint32_t aRank, Time aNow)
{
  Counts& entry = this->counts[{ aService, aRank }];
  const double decay = std::exp(-Seconds(aNow - entry.updatedAt) / kTimeConstantSeconds);
  entry.requests *= decay;
  entry.accepted *= decay;
  entry.updatedAt = aNow;
  return entry;
}

bool
EntryThrottle::ShouldReject(const std::string& aService, std::uint32_t aRank, Time aNow)
{
  Counts& entry = this->Update(aService, aRank, aNow);
  const double excess = entry.requests - kOfferedPerAccepted * entry.accepted - kMinEvidence;
  entry.requests += 1;
  return excess > 0 && this->random.Fraction() < excess / entry.requests;
}

void
EntryThrottle::NoteAccepted(const std::string& aService, std::uint32_t aRank, Time aNow)
{
  this->Update(aService, aRank, aNow).accepted += 1;
}

} // namespace jackdawwind
