// Bounded ring that joins two or more threads.
//
//   Ring<Event> ring(1024);
//   if (!ring.TryPush(event)) { ... }          // full: the caller applies its policy
//   std::vector<Event> batch = ring.PopAll(deadline);
//
// Many threads may push and one pops. The reader sleeps on a condition variable, or, when it runs
// an event loop, sets a waker that is called when the ring stops being empty. Push and pop take a
// mutex for a few instructions; memory is bounded by the capacity.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "util/clock.h"

namespace jackdawwind {

template<typename T>
class Ring
{
public:
  /// Called without the lock, on the pushing thread, when the ring stops being empty.
  using Waker = std::function<void()>;

  explicit Ring(std::size_t aCapacity, Waker aWaker = {})
    : capacity(aCapacity)
    , waker(std::move(aWaker))
  {
  }

  /// Adds an element; false when the ring is full or closed.
  bool TryPush(T aElement)
  {
    bool wasEmpty = false;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->closed || this->elements.size() >= this->capacity) {
        return false;
      }
      wasEmpty = this->elements.empty();
      this->elements.push_back(std::move(aElement));
    }
    if (wasEmpty) {
      this->Wake();
    }
    return true;
  }

  /// Adds an element and drops the oldest when the ring is full; true when nothing was dropped.
  bool PushDroppingOldest(T aElement)
  {
    bool wasEmpty = false;
    bool kept = true;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->closed) {
        return false;
      }
      wasEmpty = this->elements.empty();
      if (this->elements.size() >= this->capacity) {
        this->elements.erase(this->elements.begin());
        kept = false;
      }
      this->elements.push_back(std::move(aElement));
    }
    if (wasEmpty) {
      this->Wake();
    }
    return kept;
  }

  /// Adds an element, waiting while the ring is full; false when it is closed.
  bool Push(T aElement)
  {
    bool wasEmpty = false;
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      this->notFull.wait(lock,
                         [this] { return this->closed || this->elements.size() < this->capacity; });
      if (this->closed) {
        return false;
      }
      wasEmpty = this->elements.empty();
      this->elements.push_back(std::move(aElement));
    }
    if (wasEmpty) {
      this->Wake();
    }
    return true;
  }

  /// Takes everything; waits until there is something, the time has come or the ring is closed.
  std::vector<T> PopAll(Time aDeadline)
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    const Duration patience = aDeadline - Clock::now();
    this->notEmpty.wait_for(
      lock, patience, [this] { return this->closed || !this->elements.empty(); });
    return this->Take();
  }

  /// Takes everything without waiting.
  std::vector<T> PopReady()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->Take();
  }

  /// Refuses further elements and wakes all waiting threads.
  void Close()
  {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->closed = true;
    }
    this->notFull.notify_all();
    this->Wake();
  }

  /// True once Close was called; elements may still be there.
  bool Closed() const
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->closed;
  }

private:
  std::vector<T> Take()
  {
    std::vector<T> taken;
    taken.swap(this->elements);
    this->notFull.notify_all();
    return taken;
  }

  void Wake()
  {
    this->notEmpty.notify_one();
    if (this->waker) {
      this->waker();
    }
  }

  const std::size_t capacity;
  const Waker waker;
  mutable std::mutex mutex;
  std::condition_variable notEmpty;
  std::condition_variable notFull;
  std::vector<T> elements;
  bool closed = false;
};

} // namespace jackdawwind
