// Forwards TCP connections from 127.0.1.1 to the same port of 127.0.0.1 and counts the bytes.
//
//   CountingRelay relay;
//   relay.Forward(4711, CountingRelay::Traffic::kPeers);
//   std::uint64_t before = relay.Bytes(CountingRelay::Traffic::kPeers);
//
// Nodes listen on 127.0.0.1 and advertise 127.0.1.1, so that their traffic passes through the
// relay. Forwards the bytes unchanged and counts the TCP payload of both directions, without TCP
// and IP headers. Runs on its own thread.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace jackdawwind::bench {

class CountingRelay
{
public:
  /// Counter to which the bytes of a port are added.
  enum class Traffic : std::size_t
  {
    kPeers,
    kLog,
  };
  static constexpr const char* kAddress = "127.0.1.1";

  CountingRelay();
  ~CountingRelay();
  CountingRelay(const CountingRelay&) = delete;
  CountingRelay& operator=(const CountingRelay&) = delete;

  /// Starts to accept connections to this port of 127.0.1.1. Aborts the program if it cannot
  /// listen.
  void Forward(std::uint16_t aPort, Traffic aTraffic);
  /// Bytes received so far from either side of the forwarded connections.
  std::uint64_t Bytes(Traffic aTraffic) const;

private:
  using Tcp = boost::asio::ip::tcp;
  struct Direction;
  using Socket = std::shared_ptr<Tcp::socket>;

  void Accept(const std::shared_ptr<Tcp::acceptor>& aAcceptor, Traffic aTraffic);
  void Connect(const Socket& aAccepted, std::uint16_t aPort, Traffic aTraffic);
  void Read(const std::shared_ptr<Direction>& aDirection);

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::array<std::atomic<std::uint64_t>, 2> bytes{};
  std::thread thread;
};

} // namespace jackdawwind::bench
