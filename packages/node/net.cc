#include "node/net.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jackdawwind::node {

namespace {

void
SetOption(Tcp::socket& aSocket, int aLevel, int aOption, int aValue)
{
  // Without the option a silent connection is noticed by the time limit of its exchange.
  static_cast<void>(
    ::setsockopt(aSocket.native_handle(), aLevel, aOption, &aValue, sizeof(aValue)));
}

} // namespace

void
EnableDeadPeerDetection(Tcp::socket& aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kAcknowledgeLimit.count()));
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(kProbeAfter.count()));
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kProbeInterval.count()));
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

} // namespace jackdawwind::node
