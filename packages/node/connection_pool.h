// Pool of idle HTTP connections to nodes and targets. A connection carries one exchange at a time.
//
//   std::optional<PooledConnection> connection = pool.Take(endpoint, Reuse::kRecent);
//   ...                                             // nullopt: open a new connection
//   pool.Return(endpoint, std::move(*connection));  // only after a complete exchange
//
// Users return a connection only when its last exchange is complete, and close broken and abandoned
// connections themselves. Take and Return cost one map look-up, Take also one system call for each
// connection that it checks. Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "node/net.h"

namespace jackdawwind::node {

/// Idle connections that a call may reuse.
enum class Reuse
{
  kAny,
  /// Only those used within kRecentUseLimit: for calls that must not run twice, since an older
  /// connection may be broken or silent without this node having noticed.
  kRecent,
};

struct PooledConnection
{
  Tcp::socket socket;
  Time opened;
  Time lastUsed;
};

class ConnectionPool
{
public:
  /// Idle time after which a connection is closed. Shorter than the 60 s after which the listeners
  /// of nodes close an idle connection, so that no request is sent on a closing connection.
  static constexpr Duration kIdleLimit = std::chrono::seconds(30);
  static constexpr Duration kRecentUseLimit = std::chrono::seconds(1);
  static constexpr std::size_t kMaxIdlePerEndpoint = 64;

  /// Removes and returns the most recently used idle connection that is still open; nullopt when
  /// there is none that aReuse allows.
  std::optional<PooledConnection> Take(const Tcp::endpoint& aEndpoint, Reuse aReuse);

  /// Adds an idle connection, or closes it when it was opened before the time that
  /// DiscardOpenedBefore set. The least recently used connection is closed when the endpoint has
  /// kMaxIdlePerEndpoint.
  void Return(const Tcp::endpoint& aEndpoint, PooledConnection aConnection);

  /// Closes the idle connections to an endpoint that were opened before aTime, and closes those in
  /// use when they are returned. Called when a connection to the endpoint went silent, since older
  /// connections may share its fault.
  void DiscardOpenedBefore(const Tcp::endpoint& aEndpoint, Time aTime);

  /// Closes all idle connections to an endpoint.
  void Discard(const Tcp::endpoint& aEndpoint);

  /// Closes connections that were idle longer than kIdleLimit or that the other side closed.
  void Sweep(Time aNow);

  std::size_t IdleCount(const Tcp::endpoint& aEndpoint) const;

private:
  struct Idle
  {
    std::vector<PooledConnection> connections;
    Time discardOpenedBefore{};
  };

  std::map<Tcp::endpoint, Idle> idle;
};

} // namespace jackdawwind::node
