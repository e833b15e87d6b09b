// Sends and receives UDP datagrams on one address.
//
//   DatagramSocket::OpenResult opened = DatagramSocket::Open(io, address);
//   DatagramSocket& socket = *std::get<std::unique_ptr<DatagramSocket>>(opened);
//   socket.Start([](std::string_view aContent, const asio::ip::address& aSender) { ... });
//   socket.Send(endpoint, content);
//
// Delivery is not guaranteed: a datagram may be lost, duplicated or overtaken by a later one. Costs
// one system call to send and one to receive, and no state for each peer. Not safe for more than
// one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "node/listener.h"
#include "node/net.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

using Udp = asio::ip::udp;

class DatagramSocket
{
public:
  /// Called with the content of a datagram, which is valid during the call, and its sender.
  using Handler = std::function<void(std::string_view, const asio::ip::address&)>;
  using OpenResult = std::variant<std::unique_ptr<DatagramSocket>, ListenError>;

  /// Largest content that is sent: with the headers it fits into one Ethernet frame, so that no
  /// datagram is lost for one of its fragments.
  static constexpr std::size_t kMaxContentBytes = 1400;

  static OpenResult Open(asio::io_context& aIo, const ListenAddress& aAddress);

  explicit DatagramSocket(asio::io_context& aIo);

  void Start(Handler aOnDatagram);
  /// Sends a datagram without blocking; returns false if the system refuses it.
  bool Send(const Udp::endpoint& aTo, std::string_view aContent);

private:
  /// A longer datagram comes from no node; its content is cut off.
  static constexpr std::size_t kReceiveBytes = 2048;
  /// Delay after a failed receive.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

  void Receive();

  Udp::socket socket;
  ClockTimer retryTimer;
  Udp::endpoint sender;
  std::vector<char> buffer;
  Handler onDatagram;
};

} // namespace jackdawwind::node
