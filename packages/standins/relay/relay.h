// TCP relay that tests put between two processes to break their connections.
//
//   Relay relay(context, 0, destination);
//   relay.Control(RelayControl({ .mode = RelayMode::kSilent }));
//
// Silent keeps the connections of that moment open and forwards nothing on them any more, while
// connections that are opened later work.
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
  Relay(boost::asio::io_context& aContext,
        std::uint16_t aPort,
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
