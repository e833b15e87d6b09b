// Forwards TCP connections from 127.0.1.1 to the same port of 127.0.0.1 and counts the bytes.
//
//   CountingRelay relay;
//   relay.Forward(4711, CountingRelay::Kind::kPeers);
//   std::uint64_t before = relay.Bytes(CountingRelay::Kind::kPeers);
//
// Nodes advertise 127.0.1.1 and listen on 127.0.0.1, so that what they send each other passes the
// relay unchanged. Counts TCP payload in both directions, without TCP and IP headers. Runs on one
// thread of its own.
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
  enum class Kind : std::size_t
  {
    kPeers,
    kLog,
  };
  static constexpr const char* kAddress = "127.0.1.1";

  CountingRelay();
  ~CountingRelay();
  CountingRelay(const CountingRelay&) = delete;
  CountingRelay& operator=(const CountingRelay&) = delete;

  /// Begins to accept on 127.0.1.1. Ends the program when the port is taken there.
  void Forward(std::uint16_t aPort, Kind aKind);
  /// Bytes forwarded so far.
  std::uint64_t Bytes(Kind aKind) const;

private:
  using Tcp = boost::asio::ip::tcp;
  struct Direction;
  using Socket = std::shared_ptr<Tcp::socket>;

  void Accept(const std::shared_ptr<Tcp::acceptor>& aAcceptor, Kind aKind);
  void Connect(const Socket& aAccepted, std::uint16_t aPort, Kind aKind);
  void Read(const std::shared_ptr<Direction>& aDirection);

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::array<std::atomic<std::uint64_t>, 2> bytes{};
  std::thread thread;
};

} // namespace jackdawwind::bench
