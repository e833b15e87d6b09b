// TCP relay between two processes, for tests that inject connection faults.
//
//   Relay relay(context, { loopback, 0 }, destination);
//   relay.Control(RelayControl({ .mode = RelayMode::kSilent }));
//
// Mode silent leaves the existing connections open and stops forwarding on them; connections opened
// later are forwarded. Mode one_way forwards the data of clients and drops the data of the server.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "values/generated/standins.h"

namespace jackdawwind::standins {

class RelayedConnection;

class Relay
{
public:
  /// Port 0 of aListen selects an ephemeral port. Throws boost::system::system_error.
  Relay(boost::asio::io_context& aContext,
        const boost::asio::ip::tcp::endpoint& aListen,
        boost::asio::ip::tcp::endpoint aDestination);

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  /// Replaces the mode and applies it to the existing connections.
  void Control(const RelayControl& aControl);

private:
  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint destination;
  RelayControl control;
  std::vector<std::weak_ptr<RelayedConnection>> connections;
};

} // namespace jackdawwind::standins
