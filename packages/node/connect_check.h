// Checks whether an endpoint accepts TCP connections, without a request on the connection.
//
//   ConnectCheck check(io, endpoint);
//   check.Start([](bool aConnected) { ... });
//
// Shows within kTimeout that the path to a server is interrupted, which an idle connection does
// not. The connection is closed as soon as it is open. One check at a time; the handler runs
// exactly once per Start, on the thread of the io_context. Must outlive neither the io_context nor
// its handlers.
#pragma once

#include <functional>
#include <memory>

#include "node/net.h"

namespace jackdawwind::node {

class ConnectCheck
{
public:
  using Done = std::function<void(bool aConnected)>;

  /// A lost packet of the handshake is sent again after a second, so a longer time would only help
  /// the check that follows.
  static constexpr Duration kTimeout = std::chrono::milliseconds(400);

  ConnectCheck(asio::io_context& aIo, Tcp::endpoint aEndpoint);

  void Start(Done aDone);

private:
  void Finish(bool aConnected);

  Tcp::endpoint endpoint;
  Tcp::socket socket;
  OperationTimer timer;
  Done done;
};

} // namespace jackdawwind::node
