#include "node/body_growth.h"

#include <algorithm>

namespace jackdawwind::node {

namespace {

/// Size below which a body may grow by itself; most bodies are smaller.
constexpr std::size_t kSmallBodyBytes = 65536;
constexpr std::size_t kGrowthDivisor = 4;

} // namespace

bool
ReserveBodyMemory(std::string& aBody,
                  std::optional<std::uint64_t> aAnnouncedLength,
                  std::size_t aMoreBytes,
                  BodyReservation& aReservation)
{
  const std::size_t capacity = aBody.capacity();
  if (aAnnouncedLength) {
    return aReservation.TryGrowTo(std::max<std::uint64_t>(capacity, *aAnnouncedLength));
  }
  if (aBody.size() < kSmallBodyBytes || capacity - aBody.size() >= aMoreBytes) {
    return aReservation.TryGrowTo(capacity);
  }
  const std::size_t larger = capacity + std::max(capacity / kGrowthDivisor, aMoreBytes);
  if (!aReservation.TryGrowTo(capacity + larger)) {
    return false;
  }
  // std::string::reserve would double the capacity.
  std::string copy;
  copy.reserve(larger);
  copy.append(aBody);
  aBody.swap(copy);
  std::string().swap(copy);
  aReservation.ShrinkTo(aBody.capacity());
  return true;
}

} // namespace jackdawwind::node
