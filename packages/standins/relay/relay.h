// TCP relay that tests put between two processes to break their connections.
//
//   Relay relay(context, { loopback, 0 }, destination);
//   relay.Control(RelayControl({ .mode = RelayMode::kSilent }));
//
// Silent keeps the connections of that moment open and forwards nothing on them any more, while
// connections that are opened later work. One-way passes requests on and drops the answers.
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
  /// Port 0 of aListen lets the system choose. Throws boost::system::system_error.
  Relay(boost::asio::io_context& aContext,
        const boost::asio::ip::tcp::endpoint& aListen,
        boost::asio::ip::tcp::endpoint aDestination);

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
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
