// Bounded multi-producer, single-consumer queue that connects threads.
//
//   Ring<Event> ring(1024);
//   if (!ring.TryPush(event)) { ... }          // full: the caller applies its overflow policy
//   std::vector<Event> batch = ring.PopAll(deadline);
//
// Any number of threads may push; one thread pops. The consumer blocks on a condition variable or,
// if it runs an event loop, passes a waker that is called when the ring becomes non-empty. Push and
// pop hold a mutex for a few instructions; memory is bounded by the capacity.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "util/clock.h"

namespace jackdawwind {

/// Bounded queue; see the head of this file.
template<typename T>
class Ring
{
public:
  /// Called on the pushing thread, without the lock, when the ring becomes non-empty or is closed.
  using Waker = std::function<void()>;

  explicit Ring(std::size_t aCapacity, Waker aWaker = {})
    : capacity(aCapacity)
    , waker(std::move(aWaker))
  {
  }

  /// Adds an element; returns false if the ring is full or closed.
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

  /// Adds an element; if the ring is full, drops the oldest first. Returns true if nothing was
  /// dropped, false also if the ring is closed.
  bool PushDroppingOldest(T aElement)
  {
    bool wasEmpty = false;
    bool nothingDropped = true;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->closed) {
        return false;
      }
      wasEmpty = this->elements.empty();
      if (this->elements.size() >= this->capacity) {
        this->elements.erase(this->elements.begin());
        nothingDropped = false;
      }
      this->elements.push_back(std::move(aElement));
    }
    if (wasEmpty) {
      this->Wake();
    }
    return nothingDropped;
  }

  /// Adds an element, blocking while the ring is full; returns false if the ring is closed.
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

  /// Removes and returns all elements; blocks until the ring is non-empty or closed or the deadline
  /// passes.
  std::vector<T> PopAll(Time aDeadline)
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    const Duration timeout = aDeadline - Clock::now();
    this->notEmpty.wait_for(
      lock, timeout, [this] { return this->closed || !this->elements.empty(); });
    return this->TakeAll();
  }

  /// Removes and returns all elements without blocking.
  std::vector<T> PopReady()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->TakeAll();
  }

  /// Rejects further elements and wakes all blocked threads.
  void Close()
  {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->closed = true;
    }
    this->notFull.notify_all();
    this->Wake();
  }

  /// Returns whether Close was called; elements may still be in the ring.
  bool Closed() const
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->closed;
  }

private:
  std::vector<T> TakeAll()
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
