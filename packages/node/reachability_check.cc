#include "node/reachability_check.h"

#include <utility>

#include <boost/asio/error.hpp>

namespace jackdawwind::node {

ReachabilityCheck::ReachabilityCheck(asio::io_context& aIo, Tcp::endpoint aEndpoint)
  : endpoint(std::move(aEndpoint))
  , socket(aIo)
  , timer(aIo)
{
}

void
ReachabilityCheck::Start(Done aDone)
{
  this->done = std::move(aDone);
  this->timer.Arm(kTimeout, [this] { this->Finish(false); });
  this->socket.async_connect(this->endpoint, [this](const ErrorCode& aError) {
    // An aborted operation belongs to a check that has timed out; another may have begun since.
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      this->Finish(false);
    } else {
      this->AwaitEnd();
    }
  });
}

void
ReachabilityCheck::AwaitEnd()
{
  ErrorCode error;
  this->socket.shutdown(Tcp::socket::shutdown_send, error);
  if (error) {
    this->Finish(false);
    return;
  }
  this->socket.async_read_some(asio::buffer(this->received),
                               [this](const ErrorCode& aError, std::size_t) {
                                 if (aError != asio::error::operation_aborted) {
                                   this->Finish(aError == asio::error::eof);
                                 }
                               });
}

void
ReachabilityCheck::Finish(bool aReached)
{
  Done handler;
  handler.swap(this->done);
  this->timer.Disarm();
  ErrorCode ignored;
  this->socket.close(ignored);
  if (handler) {
    handler(aReached);
  }
}

} // namespace jackdawwind::node
