// Memory limit for all request and response bodies that the node buffers.
//
//   BodyBudget budget(settings.BodyMemoryBytes());
//   BodyReservation reservation(budget);
//   if (!reservation.TryGrowTo(body.size())) { ... }     // refuse with kNodeBusy
//
// Each buffered body owns a BodyReservation, which grows with the body and releases its bytes when
// it is destroyed. All operations take constant time. Not thread-safe. A budget must outlive its
// reservations.
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

  /// Reserves bytes; returns false, reserving none, when fewer are left.
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

/// Bytes of a budget reserved for one body; released by the destructor. Movable, not copyable.
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

  /// Grows the reservation to at least aBytes; returns false, leaving it unchanged, when the budget
  /// has too few bytes left.
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

  /// Returns the bytes above aBytes to the budget.
  void ShrinkTo(std::uint64_t aBytes)
  {
    if (aBytes < this->reservedBytes) {
      this->budget->Release(this->reservedBytes - aBytes);
      this->reservedBytes = aBytes;
    }
  }

  void Release() { this->budget->Release(std::exchange(this->reservedBytes, 0)); }

private:
  BodyBudget* budget;
  std::uint64_t reservedBytes = 0;
};

} // namespace jackdawwind::node
