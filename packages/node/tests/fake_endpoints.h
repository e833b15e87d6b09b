// Fakes for tests of an I/O thread: the remote ends of its connections, and fixtures that receive
// its events in place of the decisions thread.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>

#include "node/proxy_io.h"
#include "util/ring.h"

namespace jackdawwind::node {

/// Connects to a server. A receive buffer of a few kilobytes makes the other end wait with a long
/// answer until it is read; by default the system buffers megabytes.
inline Tcp::socket
ConnectTo(asio::io_context& aIo, const Tcp::endpoint& aServer, std::optional<int> aBufferBytes)
{
  Tcp::socket socket(aIo);
  socket.open(aServer.protocol());
  if (aBufferBytes) {
    socket.set_option(asio::socket_base::receive_buffer_size(*aBufferBytes));
  }
  socket.connect(aServer);
  return socket;
}

/// Blocking connection that a test reads and writes.
class FakeConnection
{
public:
  explicit FakeConnection(Tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  void Write(const std::string& aBytes) { asio::write(this->socket, asio::buffer(aBytes)); }

  /// Writes the bytes again and again until the other end closes the connection; returns the number
  /// of bytes written, at most about aMaxBytes.
  std::size_t WriteUntilClosed(const std::string& aBytes, std::size_t aMaxBytes)
  {
    std::size_t written = 0;
    ErrorCode error;
    while (!error && written < aMaxBytes) {
      written += asio::write(this->socket, asio::buffer(aBytes), error);
    }
    return written;
  }

  HttpRequest ReadRequest()
  {
    HttpRequest request;
    http::read(this->socket, this->buffer, request);
    return request;
  }

  /// Next response, interim or final; nullopt when the connection ends.
  std::optional<HttpResponse> ReadResponse()
  {
    HttpResponse response;
    ErrorCode error;
    http::read(this->socket, this->buffer, response, error);
    if (error) {
      return std::nullopt;
    }
    return response;
  }

  /// Next final response; nullopt when the connection ends.
  std::optional<HttpResponse> ReadFinal()
  {
    std::optional<HttpResponse> response = this->ReadResponse();
    while (response && response->result_int() < 200) {
      response = this->ReadResponse();
    }
    return response;
  }

  /// All bytes until the other end closes the connection.
  std::string ReadAll()
  {
    std::string bytes;
    ErrorCode endOfStream;
    asio::read(this->socket, asio::dynamic_buffer(bytes), endOfStream);
    return bytes;
  }

  /// Ends the sending direction only, with FIN.
  void ShutdownSend()
  {
    ErrorCode ignored;
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  }

  void Close()
  {
    ErrorCode ignored;
    this->socket.close(ignored);
  }

  /// Closes the connection with RST.
  void Reset()
  {
    this->socket.set_option(asio::socket_base::linger(true, 0));
    this->Close();
  }

private:
  Tcp::socket socket;
  beast::flat_buffer buffer;
};

/// Loopback listener that stands for another node or a target; the test serves its connections.
class FakeServer
{
public:
  FakeServer()
    : acceptor(this->io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
  }

  std::uint16_t Port() const { return this->Endpoint().port(); }
  Tcp::endpoint Endpoint() const { return this->acceptor.local_endpoint(); }
  FakeConnection Accept() { return FakeConnection(this->acceptor.accept()); }
  /// Whether a connection waits to be accepted.
  bool HasConnection()
  {
    ErrorCode error;
    this->acceptor.non_blocking(true);
    this->acceptor.accept(error);
    this->acceptor.non_blocking(false);
    return !error;
  }

private:
  asio::io_context io;
  Tcp::acceptor acceptor;
};

/// Receives the events of an I/O thread in place of the decisions thread.
class EventFixture : public testing::Test
{
protected:
  /// Await fails after this time without an event.
  static constexpr Duration kEventTimeout = std::chrono::seconds(20);

  explicit EventFixture(std::size_t aEventRingCapacity = 64)
    : events(aEventRingCapacity)
  {
  }

  FakeConnection Connect(std::uint16_t aPort, std::optional<int> aReceiveBufferBytes = {})
  {
    return FakeConnection(ConnectTo(
      this->io, Tcp::endpoint(asio::ip::address_v4::loopback(), aPort), aReceiveBufferBytes));
  }

  /// Waits for the next event; fails the test when there is none or it has another type.
  template<typename T>
  T Await()
  {
    if (this->pending.empty()) {
      for (Event& event : this->events.PopAll(Clock::now() + kEventTimeout)) {
        this->pending.push_back(std::move(event));
      }
    }
    if (this->pending.empty() || !std::holds_alternative<T>(this->pending.front())) {
      ADD_FAILURE() << "no event, or an event of another type";
      return T();
    }
    const T event = std::get<T>(this->pending.front());
    this->pending.pop_front();
    return event;
  }

  Ring<Event> events;
  asio::io_context io;
  std::deque<Event> pending;
};

/// Runs a ProxyIo with small limits.
class ProxyFixture : public EventFixture
{
protected:
  explicit ProxyFixture(std::size_t aEventRingCapacity = 64)
    : EventFixture(aEventRingCapacity)
    , settings({ .node = "n",
                 .domain = "d",
                 .region = "r",
                 .adminToken = "t",
                 .fleetSecret = "secret",
                 .maxHeaderBytes = 1024,
                 .maxBodyBytes = 4096,
                 .bodyMemoryBytes = 8192 })
  {
    ProxyIo::OpenResult opened =
      ProxyIo::Open(this->settings, this->events, [](const ReportItem&) {});
    this->proxy = std::get<std::unique_ptr<ProxyIo>>(std::move(opened));
    this->proxy->Start();
  }

  FakeConnection ConnectCaller() { return this->Connect(this->proxy->ListenPorts().callers); }

  /// Context of a forwarded attempt.
  static CallContext Context(std::uint32_t aAttempt, bool aIdempotent)
  {
    return CallContext({ .rootId = "root",
                         .organisation = "o",
                         .service = "s",
                         .allowance = 1,
                         .depth = 1,
                         .attempt = aAttempt,
                         .idempotent = aIdempotent,
                         .remaining = std::chrono::seconds(10) });
  }

  /// Forwards the exchange to a fake peer that listens on aPort.
  void SendForward(std::uint64_t aExchange, std::uint32_t aAttempt, std::uint16_t aPort)
  {
    this->proxy->Submit(
      Forward({ .exchange = aExchange,
                .peer = PeerAddress({ .node = "p", .host = "127.0.0.1", .callPort = aPort }),
                .context = Context(aAttempt, true),
                .timeout = std::chrono::seconds(20) }));
  }

  NodeSettings settings;
  std::unique_ptr<ProxyIo> proxy;
};

} // namespace jackdawwind::node
