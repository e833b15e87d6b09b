// Checks whether a server is reachable from end to end, without sending it a request.
//
//   ReachabilityCheck check(io, endpoint);
//   check.Start([](bool aReached) { ... });
//
// Opens a TCP connection, ends its own side and waits for the server to end the other one, as an
// HTTP server does when a client closes without a request (RFC 9112, 9.6). That a connection opens
// is no proof: a relay or load balancer on the way may accept it while its own path to the server
// is interrupted. One check at a time; the handler runs exactly once per Start, on the thread of
// the io_context. Must not be destroyed while the io_context runs.
#pragma once

#include <array>
#include <functional>

#include "node/net.h"

namespace jackdawwind::node {

class ReachabilityCheck
{
public:
  using Done = std::function<void(bool aReached)>;

  /// A lost packet is sent again after a good second, so a longer limit would only gain what the
  /// check that follows gains as well.
  static constexpr Duration kTimeout = std::chrono::milliseconds(400);

  ReachabilityCheck(asio::io_context& aIo, Tcp::endpoint aEndpoint);

  void Start(Done aDone);

private:
  void AwaitEnd();
  void Finish(bool aReached);

  Tcp::endpoint endpoint;
  Tcp::socket socket;
  OperationTimer timer;
  std::array<char, 1> received{};
  Done done;
};

} // namespace jackdawwind::node
