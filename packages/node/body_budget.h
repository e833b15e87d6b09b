// Memory limit of all buffered request and response bodies of the node.
//
//   BodyBudget budget(settings.BodyMemoryBytes());
//   BodyReservation reservation(budget);
//   if (!reservation.GrowTo(body.size())) { ... }     // refuse with kNodeBusy
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
    : limit(aLimitBytes)
  {
  }

  /// Takes bytes; false when fewer are left.
  bool Take(std::uint64_t aBytes)
  {
    if (aBytes > this->limit - this->used) {
      return false;
    }
    this->used += aBytes;
    return true;
  }

  void Return(std::uint64_t aBytes) { this->used -= aBytes; }
  std::uint64_t Used() const { return this->used; }

private:
  const std::uint64_t limit;
  std::uint64_t used = 0;
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
    , held(std::exchange(aOther.held, 0))
  {
  }
  BodyReservation& operator=(BodyReservation&& aOther) noexcept
  {
    if (this != &aOther) {
      this->Release();
      this->budget = aOther.budget;
      this->held = std::exchange(aOther.held, 0);
    }
    return *this;
  }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;
  ~BodyReservation() { this->Release(); }

  /// Holds at least aBytes; false, with the reservation unchanged, when the budget has too little.
  bool GrowTo(std::uint64_t aBytes)
  {
    if (aBytes <= this->held) {
      return true;
    }
    if (!this->budget->Take(aBytes - this->held)) {
      return false;
    }
    this->held = aBytes;
    return true;
  }

  void Release() { this->budget->Return(std::exchange(this->held, 0)); }

private:
  BodyBudget* budget;
  std::uint64_t held = 0;
};

} // namespace jackdawwind::node
