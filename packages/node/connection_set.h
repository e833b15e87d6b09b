// Accepted connections of one I/O thread: forgets those that have closed, and ends the loop once
// the answers under way are written.
//
//   ConnectionSet connections(io, pool);
//   connections.Add(connection);                  // starts it
//   connections.StartSweeping();
//   connections.FlushAndStop(Clock::now() + limit);
//
// Not safe for more than one thread.
#pragma once

#include <memory>
#include <vector>

#include "node/connection_pool.h"
#include "node/net.h"
#include "node/server_connection.h"

namespace jackdawwind::node {

class ConnectionSet
{
public:
  /// aIo and aPool must outlive the set.
  ConnectionSet(asio::io_context& aIo, ConnectionPool& aPool);

  void Add(const ServerConnection::Pointer& aConnection);
  /// Drops closed connections, and idle ones of the pool, from time to time.
  void StartSweeping();
  /// Stops the loop as soon as no connection writes, at aDeadline in any case.
  void FlushAndStop(Time aDeadline);

private:
  static constexpr Duration kSweepInterval = std::chrono::seconds(1);
  static constexpr Duration kFlushCheckInterval = std::chrono::milliseconds(5);

  asio::io_context& io;
  ConnectionPool& pool;
  ClockTimer sweepTimer;
  ClockTimer flushTimer;
  std::vector<std::weak_ptr<ServerConnection>> connections;
};

} // namespace jackdawwind::node
