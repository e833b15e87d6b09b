#include "bench/counting_relay.h"

#include <cstdlib>
#include <iostream>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace jackdawwind::bench {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/// One direction of a forwarded connection.
struct CountingRelay::Direction
{
  Socket from;
  Socket to;
  Traffic traffic;
  std::array<char, 16384> block{};
};

CountingRelay::CountingRelay()
  : work(asio::make_work_guard(this->io))
{
  this->thread = std::thread([this] { this->io.run(); });
}

CountingRelay::~CountingRelay()
{
  this->io.stop();
  this->thread.join();
}

void
CountingRelay::Forward(std::uint16_t aPort, Traffic aTraffic)
{
  const std::shared_ptr<Tcp::acceptor> acceptor = std::make_shared<Tcp::acceptor>(this->io);
  const Tcp::endpoint endpoint(asio::ip::make_address(kAddress), aPort);
  ErrorCode error;
  acceptor->open(endpoint.protocol(), error);
  acceptor->set_option(Tcp::acceptor::reuse_address(true), error);
  if (acceptor->bind(endpoint, error) ||
      acceptor->listen(Tcp::acceptor::max_listen_connections, error)) {
    std::cerr << "relay cannot listen on " << endpoint << ": " << error.message() << '\n';
    std::abort();
  }
  asio::post(this->io, [this, acceptor, aTraffic] { this->Accept(acceptor, aTraffic); });
}

std::uint64_t
CountingRelay::Bytes(Traffic aTraffic) const
{
  return this->bytes[static_cast<std::size_t>(aTraffic)].load();
}

void
CountingRelay::Accept(const std::shared_ptr<Tcp::acceptor>& aAcceptor, Traffic aTraffic)
{
  const Socket accepted = std::make_shared<Tcp::socket>(this->io);
  aAcceptor->async_accept(*accepted,
                          [this, aAcceptor, accepted, aTraffic](const ErrorCode& aError) {
                            if (!aError) {
                              this->Connect(accepted, aAcceptor->local_endpoint().port(), aTraffic);
                            }
                            this->Accept(aAcceptor, aTraffic);
                          });
}

void
CountingRelay::Connect(const Socket& aAccepted, std::uint16_t aPort, Traffic aTraffic)
{
  const Socket outgoing = std::make_shared<Tcp::socket>(this->io);
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aPort);
  outgoing->async_connect(endpoint, [this, aAccepted, outgoing, aTraffic](const ErrorCode& aError) {
    if (aError) {
      return;
    }
    ErrorCode ignored;
    aAccepted->set_option(Tcp::no_delay(true), ignored);
    outgoing->set_option(Tcp::no_delay(true), ignored);
    this->Read(std::make_shared<Direction>(Direction{ aAccepted, outgoing, aTraffic }));
    this->Read(std::make_shared<Direction>(Direction{ outgoing, aAccepted, aTraffic }));
  });
}

void
CountingRelay::Read(const std::shared_ptr<Direction>& aDirection)
{
  aDirection->from->async_read_some(
    asio::buffer(aDirection->block),
    [this, aDirection](const ErrorCode& aError, std::size_t aSize) {
      if (aError) {
        ErrorCode ignored;
        aDirection->to->shutdown(Tcp::socket::shutdown_send, ignored);
        return;
      }
      this->bytes[static_cast<std::size_t>(aDirection->traffic)] += aSize;
      asio::async_write(*aDirection->to,
                        asio::buffer(aDirection->block.data(), aSize),
                        [this, aDirection](const ErrorCode& aWriteError, std::size_t /*aWritten*/) {
                          if (aWriteError) {
                            ErrorCode ignored;
                            aDirection->from->shutdown(Tcp::socket::shutdown_both, ignored);
                            return;
                          }
                          this->Read(aDirection);
                        });
    });
}

} // namespace jackdawwind::bench
