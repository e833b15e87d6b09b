#include "standins/relay/relay.h"

#include <array>
#include <cstddef>
#include <utility>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/write.hpp>

#include "util/clock.h"

namespace jackdawwind::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBlockBytes = 16384;

} // namespace

/// One relayed connection with two directions, each of which copies one block at a time.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
  RelayedConnection(asio::io_context& aContext, tcp::socket aClient, const RelayControl& aControl)
    : client(std::move(aClient))
    , server(aContext)
    , control(aControl)
    , upstream(aContext)
    , downstream(aContext)
  {
  }

  void Start(const tcp::endpoint& aDestination)
  {
    this->server.async_connect(aDestination,
                               [self = this->shared_from_this()](const error_code& aError) {
                                 if (aError) {
                                   self->Close();
                                   return;
                                 }
                                 error_code ignored;
                                 self->client.set_option(tcp::no_delay(true), ignored);
                                 self->server.set_option(tcp::no_delay(true), ignored);
                                 self->Read(self->client, self->server, self->upstream);
                                 self->Read(self->server, self->client, self->downstream);
                               });
  }

  /// Stops forwarding and leaves both sockets open.
  void Silence()
  {
    // Owns itself, so that the sockets stay open while no operation is pending.
    this->silentSelf = this->shared_from_this();
    error_code ignored;
    this->client.cancel(ignored);
    this->server.cancel(ignored);
  }

  /// Closes both sockets with RST instead of FIN.
  void Reset()
  {
    error_code ignored;
    this->client.set_option(asio::socket_base::linger(true, 0), ignored);
    this->server.set_option(asio::socket_base::linger(true, 0), ignored);
    this->Close();
  }

  void Close()
  {
    error_code ignored;
    this->client.close(ignored);
    this->server.close(ignored);
    this->silentSelf.reset();
  }

private:
  struct Direction
  {
    explicit Direction(asio::io_context& aContext)
      : timer(aContext)
    {
    }

    std::array<char, kBlockBytes> block{};
    asio::basic_waitable_timer<Clock> timer;
  };

  void Read(tcp::socket& aFrom, tcp::socket& aTo, Direction& aDirection)
  {
    aFrom.async_read_some(
      asio::buffer(aDirection.block),
      [self = this->shared_from_this(), &aFrom, &aTo, &aDirection](const error_code& aError,
                                                                   std::size_t aBytes) {
        if (self->silentSelf) {
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        aDirection.timer.expires_after(self->control.DelayMs());
        aDirection.timer.async_wait([self, &aFrom, &aTo, &aDirection, aBytes](const error_code&) {
          self->Write(aFrom, aTo, aDirection, aBytes);
        });
      });
  }

  void Write(tcp::socket& aFrom, tcp::socket& aTo, Direction& aDirection, std::size_t aBytes)
  {
    if (this->silentSelf) {
      return;
    }
    if (this->control.Mode() == RelayMode::kOneWay && &aTo == &this->client) {
      this->Read(aFrom, aTo, aDirection);
      return;
    }
    asio::async_write(aTo,
                      asio::buffer(aDirection.block.data(), aBytes),
                      [self = this->shared_from_this(), &aFrom, &aTo, &aDirection](
                        const error_code& aError, std::size_t) {
                        if (self->silentSelf) {
                          return;
                        }
                        if (aError) {
                          self->Close();
                          return;
                        }
                        self->Read(aFrom, aTo, aDirection);
                      });
  }

  tcp::socket client;
  tcp::socket server;
  const RelayControl& control;
  Direction upstream;
  Direction downstream;
  /// Owning reference to this connection while it is silent; null otherwise.
  std::shared_ptr<RelayedConnection> silentSelf;
};

Relay::Relay(asio::io_context& aContext, const tcp::endpoint& aListen, tcp::endpoint aDestination)
  : context(aContext)
  , acceptor(aContext, aListen)
  , destination(std::move(aDestination))
{
  this->Accept();
}

void
Relay::Control(const RelayControl& aControl)
{
  this->control = aControl;
  for (const std::weak_ptr<RelayedConnection>& weak : this->connections) {
    const std::shared_ptr<RelayedConnection> connection = weak.lock();
    if (connection && aControl.Mode() == RelayMode::kCut) {
      connection->Close();
    } else if (connection && aControl.Mode() == RelayMode::kReset) {
      connection->Reset();
    } else if (connection && aControl.Mode() == RelayMode::kSilent) {
      connection->Silence();
    }
  }
}

void
Relay::Accept()
{
  this->acceptor.async_accept([this](const error_code& aError, tcp::socket aSocket) {
    if (!aError && this->control.Mode() != RelayMode::kCut) {
      const std::shared_ptr<RelayedConnection> connection =
        std::make_shared<RelayedConnection>(this->context, std::move(aSocket), this->control);
      std::erase_if(this->connections,
                    [](const std::weak_ptr<RelayedConnection>& aOld) { return aOld.expired(); });
      this->connections.push_back(connection);
      connection->Start(this->destination);
    }
    this->Accept();
  });
}

} // namespace jackdawwind::standins
