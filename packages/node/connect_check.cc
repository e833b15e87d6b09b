#include "node/connect_check.h"

#include <utility>

namespace jackdawwind::node {

ConnectCheck::ConnectCheck(asio::io_context& aIo, Tcp::endpoint aEndpoint)
  : endpoint(std::move(aEndpoint))
  , socket(aIo)
  , timer(aIo)
{
}

void
ConnectCheck::Start(Done aDone)
{
  this->done = std::move(aDone);
  this->timer.Arm(kTimeout, [this] { this->Finish(false); });
  this->socket.async_connect(this->endpoint, [this](const ErrorCode& aError) {
    // Cancelled by Finish after the timeout; another check may have begun since.
    if (aError != asio::error::operation_aborted) {
      this->Finish(!aError);
    }
  });
}

void
ConnectCheck::Finish(bool aConnected)
{
  Done handler;
  handler.swap(this->done);
  this->timer.Disarm();
  ErrorCode ignored;
  this->socket.close(ignored);
  if (handler) {
    handler(aConnected);
  }
}

} // namespace jackdawwind::node
