// Memory limit of all buffered request and response bodies of the node.
//
//   BodyBudget budget(settings.BodyMemoryBytes());
//   BodyReservation reservation(budget);
//   if (!reservation.TryGrowTo(body.size())) { ... }     // refuse with kNodeBusy
//
// Not safe for more than one thread. A budget must outlive its reservations.
#pragma once

#include <cstdint>
#include <utility>

namespace jackdawwind::node {

class BodyBudget
{
public:
  explicit BodyBudget(std::uint64_t aLimitBytes)
    : limitBytes(aLimitBytes)
  {
  }

  /// Takes bytes; false when fewer are left.
  bool TryReserve(std::uint64_t aBytes)
  {
    if (aBytes > this->limitBytes - this->usedBytes) {
      return false;
    }
    this->usedBytes += aBytes;
    return true;
  }

  void Release(std::uint64_t aBytes) { this->usedBytes -= aBytes; }
  std::uint64_t UsedBytes() const { return this->usedBytes; }

private:
  const std::uint64_t limitBytes;
  std::uint64_t usedBytes = 0;
};

/// Part of a budget that one body holds; returned when the reservation ends.
class BodyReservation
{
public:
  explicit BodyReservation(BodyBudget& aBudget)
    : budget(&aBudget)
  {
  }
  BodyReservation(BodyReservation&& aOther) noexcept
    : budget(aOther.budget)
    , reservedBytes(std::exchange(aOther.reservedBytes, 0))
  {
  }
  BodyReservation& operator=(BodyReservation&& aOther) noexcept
  {
    if (this != &aOther) {
      this->Release();
      this->budget = aOther.budget;
      this->reservedBytes = std::exchange(aOther.reservedBytes, 0);
    }
    return *this;
  }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;
  ~BodyReservation() { this->Release(); }

  /// Holds at least aBytes; false, with the reservation unchanged, when the budget has too little.
  bool TryGrowTo(std::uint64_t aBytes)
  {
    if (aBytes <= this->reservedBytes) {
      return true;
    }
    if (!this->budget->TryReserve(aBytes - this->reservedBytes)) {
      return false;
    }
    this->reservedBytes = aBytes;
    return true;
  }

  void Release() { this->budget->Release(std::exchange(this->reservedBytes, 0)); }

private:
  BodyBudget* budget;
  std::uint64_t reservedBytes = 0;
};

} // namespace jackdawwind::node
