#include "node/net.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jackdawwind::node {

namespace {

void
SetOption(Tcp::socket& aSocket, int aLevel, int aOption, int aValue)
{
  // An error is ignored: the timeout of the exchange still detects an unresponsive peer.
  static_cast<void>(
    ::setsockopt(aSocket.native_handle(), aLevel, aOption, &aValue, sizeof(aValue)));
}

} // namespace

void
EnableDeadPeerDetection(Tcp::socket& aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUserTimeout.count()));
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(kKeepaliveIdleTime.count()));
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kKeepaliveInterval.count()));
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
}

} // namespace jackdawwind::node
