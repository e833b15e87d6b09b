#include "node/listener.h"

#include <utility>

#include <boost/asio/ip/address.hpp>

namespace jackdawwind::node {

Listener::OpenResult
Listener::Open(asio::io_context& aIo, const ListenAddress& aAddress)
{
  const std::string addressText = aAddress.Host() + ":" + std::to_string(aAddress.Port());
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(aAddress.Host(), error);
  if (error) {
    return ListenError{ addressText, error.message() };
  }
  const Tcp::endpoint endpoint(address, static_cast<std::uint16_t>(aAddress.Port()));
  std::unique_ptr<Listener> listener = std::make_unique<Listener>(aIo);
  Tcp::acceptor& acceptor = listener->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(Tcp::acceptor::max_listen_connections, error);
  }
  if (!error) {
    listener->port = acceptor.local_endpoint(error).port();
  }
  if (error) {
    return ListenError{ addressText, error.message() };
  }
  return listener;
}

void
Listener::Start(AcceptHandler aOnAccept)
{
  this->onAccept = std::move(aOnAccept);
  this->Accept();
}

void
Listener::Stop()
{
  ErrorCode ignored;
  this->acceptor.close(ignored);
  this->retryTimer.cancel();
}

void
Listener::Accept()
{
  this->acceptor.async_accept([this](const ErrorCode& aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted || !this->acceptor.is_open()) {
      return;
    }
    if (aError) {
      this->retryTimer.expires_after(kRetryDelay);
      this->retryTimer.async_wait([this](const ErrorCode& aTimerError) {
        if (!aTimerError) {
          this->Accept();
        }
      });
      return;
    }
    this->onAccept(std::move(aSocket));
    this->Accept();
  });
}

} // namespace jackdawwind::node
