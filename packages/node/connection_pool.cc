#include "node/connection_pool.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawwind::node {

namespace {

/// Whether an idle connection is open and has no unread bytes, which would be read as the answer to
/// the next call.
bool
IsReusable(Tcp::socket& aSocket)
{
  ErrorCode error;
  aSocket.non_blocking(true, error);
  if (error) {
    return false;
  }
  std::array<char, 1> byte{};
  aSocket.receive(asio::buffer(byte), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

std::optional<PooledConnection>
ConnectionPool::Take(const Tcp::endpoint& aEndpoint, Reuse aReuse)
{
  const auto found = this->idle.find(aEndpoint);
  if (found == this->idle.end()) {
    return std::nullopt;
  }
  std::vector<PooledConnection>& connections = found->second.connections;
  const Time now = Clock::now();
  while (!connections.empty()) {
    const Duration idleTime = now - connections.back().lastUsed;
    if (aReuse == Reuse::kRecent && idleTime > kRecentUseLimit) {
      return std::nullopt;
    }
    PooledConnection connection = std::move(connections.back());
    connections.pop_back();
    if (idleTime <= kIdleLimit && IsReusable(connection.socket)) {
      return connection;
    }
  }
  return std::nullopt;
}

void
ConnectionPool::Return(const Tcp::endpoint& aEndpoint, PooledConnection aConnection)
{
  Idle& entry = this->idle[aEndpoint];
  if (aConnection.opened < entry.discardOpenedBefore) {
    return;
  }
  if (entry.connections.size() >= kMaxIdlePerEndpoint) {
    entry.connections.erase(entry.connections.begin());
  }
  aConnection.lastUsed = Clock::now();
  entry.connections.push_back(std::move(aConnection));
}

void
ConnectionPool::DiscardOpenedBefore(const Tcp::endpoint& aEndpoint, Time aTime)
{
  Idle& entry = this->idle[aEndpoint];
  entry.discardOpenedBefore = std::max(entry.discardOpenedBefore, aTime);
  std::erase_if(entry.connections, [aTime](const PooledConnection& aConnection) {
    return aConnection.opened < aTime;
  });
}

void
ConnectionPool::Discard(const Tcp::endpoint& aEndpoint)
{
  this->idle.erase(aEndpoint);
}

void
ConnectionPool::Sweep(Time aNow)
{
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    Idle& one = entry->second;
    std::erase_if(one.connections, [aNow](PooledConnection& aConnection) {
      return aNow - aConnection.lastUsed > kIdleLimit || !IsReusable(aConnection.socket);
    });
    const bool removable = one.connections.empty() && aNow - one.discardOpenedBefore > kIdleLimit;
    entry = removable ? this->idle.erase(entry) : std::next(entry);
  }
}

std::size_t
ConnectionPool::IdleCount(const Tcp::endpoint& aEndpoint) const
{
  const auto found = this->idle.find(aEndpoint);
  return found == this->idle.end() ? 0 : found->second.connections.size();
}

} // namespace jackdawwind::node
