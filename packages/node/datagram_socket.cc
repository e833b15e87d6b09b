#include "node/datagram_socket.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace jackdawwind::node {

DatagramSocket::OpenResult
DatagramSocket::Open(asio::io_context& aIo, const ListenAddress& aAddress)
{
  const std::string addressText = aAddress.Host() + ":" + std::to_string(aAddress.Port());
  ErrorCode error;
  const asio::ip::address address = asio::ip::make_address(aAddress.Host(), error);
  if (error) {
    return ListenError{ addressText, error.message() };
  }
  const Udp::endpoint endpoint(address, static_cast<std::uint16_t>(aAddress.Port()));
  std::unique_ptr<DatagramSocket> opened = std::make_unique<DatagramSocket>(aIo);
  opened->socket.open(endpoint.protocol(), error);
  if (!error) {
    opened->socket.non_blocking(true, error);
  }
  if (!error) {
    opened->socket.bind(endpoint, error);
  }
  if (error) {
    return ListenError{ addressText + "/udp", error.message() };
  }
  return opened;
}

DatagramSocket::DatagramSocket(asio::io_context& aIo)
  : socket(aIo)
  , retryTimer(aIo)
  , buffer(kReceiveBytes)
{
}

void
DatagramSocket::Start(Handler aOnDatagram)
{
  this->onDatagram = std::move(aOnDatagram);
  this->Receive();
}

bool
DatagramSocket::Send(const Udp::endpoint& aTo, std::string_view aContent)
{
  ErrorCode error;
  this->socket.send_to(asio::buffer(aContent.data(), aContent.size()), aTo, 0, error);
  return !error;
}

void
DatagramSocket::Receive()
{
  this->socket.async_receive_from(
    asio::buffer(this->buffer), this->sender, [this](const ErrorCode& aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        this->retryTimer.expires_after(kRetryDelay);
        this->retryTimer.async_wait([this](const ErrorCode& aTimerError) {
          if (!aTimerError) {
            this->Receive();
          }
        });
        return;
      }
      this->onDatagram({ this->buffer.data(), aBytes }, this->sender.address());
      this->Receive();
    });
}

} // namespace jackdawwind::node
