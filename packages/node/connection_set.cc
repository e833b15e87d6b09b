#include "node/connection_set.h"

#include <algorithm>

namespace jackdawwind::node {

ConnectionSet::ConnectionSet(asio::io_context& aIo, ConnectionPool& aPool)
  : io(aIo)
  , pool(aPool)
  , sweepTimer(aIo)
  , flushTimer(aIo)
{
}

void
ConnectionSet::Add(const ServerConnection::Pointer& aConnection)
{
  this->connections.push_back(aConnection);
  aConnection->Start();
}

void
ConnectionSet::StartSweeping()
{
  this->pool.Sweep(Clock::now());
  std::erase_if(this->connections, [](const std::weak_ptr<ServerConnection>& aConnection) {
    return aConnection.expired();
  });
  this->sweepTimer.expires_after(kSweepInterval);
  this->sweepTimer.async_wait([this](const ErrorCode& aError) {
    if (!aError) {
      this->StartSweeping();
    }
  });
}

void
ConnectionSet::FlushAndStop(Time aDeadline)
{
  const bool writing = std::any_of(this->connections.begin(),
                                   this->connections.end(),
                                   [](const std::weak_ptr<ServerConnection>& aConnection) {
                                     const ServerConnection::Pointer one = aConnection.lock();
                                     return one && one->IsWriting();
                                   });
  if (!writing || Clock::now() >= aDeadline) {
    this->io.stop();
    return;
  }
  this->flushTimer.expires_after(kFlushCheckInterval);
  this->flushTimer.async_wait(
    [this, aDeadline](const ErrorCode&) { this->FlushAndStop(aDeadline); });
}

} // namespace jackdawwind::node
