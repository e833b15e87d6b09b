// Accepted connections of one I/O thread. Drops those that have closed, and stops the event loop
// at shutdown once all pending answers are written.
//
//   ConnectionSet connections(io, pool);
//   connections.Add(connection);                  // also starts the connection
//   connections.StartSweeping();
//   connections.FlushAndStop(Clock::now() + limit);
//
// The set holds weak references: pending operations and exchanges own their connection. A sweep is
// linear in the number of connections. Not thread-safe.
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
  /// Drops closed connections, and sweeps the pool, now and every kSweepInterval.
  void StartSweeping();
  /// Stops the event loop once no connection has an answer left to write, at the latest at
  /// aDeadline.
  void FlushAndStop(Time aDeadline);

private:
  /// A sweep makes a system call for each idle connection, and in a large fleet a node has many.
  /// Take() checks a connection before it is used, so a sweep only frees descriptors.
  static constexpr Duration kSweepInterval = std::chrono::seconds(10);
  static constexpr Duration kFlushCheckInterval = std::chrono::milliseconds(5);

  asio::io_context& io;
  ConnectionPool& pool;
  ClockTimer sweepTimer;
  ClockTimer flushTimer;
  std::vector<std::weak_ptr<ServerConnection>> connections;
};

} // namespace jackdawwind::node
