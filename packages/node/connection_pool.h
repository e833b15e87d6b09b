// Idle connections to nodes and targets, one exchange at a time on each.
//
//   std::optional<PooledConnection> connection = pool.Take(endpoint, Reuse::kRecent);
//   ...                                             // nothing: open a new one
//   pool.Return(endpoint, std::move(*connection));  // only after a complete exchange
//
// Only connections whose last exchange was complete come back; broken and abandoned ones are
// closed by their users. Take and Return cost one look-up in a map. Not safe for more than one
// thread.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "node/net.h"

namespace jackdawwind::node {

/// Which idle connections a call may use.
enum class Reuse
{
  kAny,
  /// Used within the last second: for calls that must not run twice, since an older connection may
  /// break or be silent without the node knowing.
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
  /// Idle time after which a connection is closed; shorter than the 60 s for which node listeners
  /// keep idle connections, so that no request meets a closing connection.
  static constexpr Duration kIdleLimit = std::chrono::seconds(30);
  static constexpr Duration kRecentUseLimit = std::chrono::seconds(1);
  static constexpr std::size_t kMaxIdlePerEndpoint = 64;

  /// The most recently used idle connection that is still open; nothing when there is none.
  std::optional<PooledConnection> Take(const Tcp::endpoint& aEndpoint, Reuse aReuse);

  /// Keeps a connection for later; closes it when it was opened before a silence was seen.
  void Return(const Tcp::endpoint& aEndpoint, PooledConnection aConnection);

  /// Closes the idle connections opened before a time, and those that come back later.
  void DiscardOpenedBefore(const Tcp::endpoint& aEndpoint, Time aTime);

  /// Closes all idle connections to an endpoint.
  void Discard(const Tcp::endpoint& aEndpoint);

  /// Closes connections that were idle for too long or that the other side closed.
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
