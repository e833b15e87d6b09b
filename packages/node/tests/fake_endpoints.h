// Hand-written ends of the node's connections and a decisions' side of its rings, for tests.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

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

/// Blocking connection that a test reads and writes itself.
class FakeConnection
{
public:
  explicit FakeConnection(Tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  void Write(const std::string& aBytes) { asio::write(this->socket, asio::buffer(aBytes)); }

  HttpRequest ReadRequest()
  {
    HttpRequest request;
    http::read(this->socket, this->buffer, request);
    return request;
  }

  /// Next response, interim ones included; nothing when the connection ends.
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

  /// Next response that is not interim.
  std::optional<HttpResponse> ReadFinal()
  {
    std::optional<HttpResponse> response = this->ReadResponse();
    while (response && response->result_int() < 200) {
      response = this->ReadResponse();
    }
    return response;
  }

  void Close()
  {
    ErrorCode ignored;
    this->socket.close(ignored);
  }

private:
  Tcp::socket socket;
  beast::flat_buffer buffer;
};

/// Listener whose connections the test serves; stands for another node or a target.
class FakeServer
{
public:
  FakeServer()
    : acceptor(this->io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
  }

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  FakeConnection Accept() { return FakeConnection(this->acceptor.accept()); }

private:
  asio::io_context io;
  Tcp::acceptor acceptor;
};

/// The test in the place of the decisions: it takes the events of an I/O thread.
class EventFixture : public testing::Test
{
protected:
  static constexpr Duration kEventTimeout = std::chrono::seconds(20);

  explicit EventFixture(std::size_t aEventRing = 64)
    : events(aEventRing)
  {
  }

  FakeConnection Connect(std::uint16_t aPort)
  {
    Tcp::socket socket(this->io);
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), aPort));
    return FakeConnection(std::move(socket));
  }

  /// Next event, which must be of this type.
  template<typename T>
  T Await()
  {
    if (this->waiting.empty()) {
      for (Event& event : this->events.PopAll(Clock::now() + kEventTimeout)) {
        this->waiting.push_back(std::move(event));
      }
    }
    if (this->waiting.empty() || !std::holds_alternative<T>(this->waiting.front())) {
      ADD_FAILURE() << "no or another event";
      return T();
    }
    const T event = std::get<T>(this->waiting.front());
    this->waiting.pop_front();
    return event;
  }

  Ring<Event> events;
  asio::io_context io;
  std::deque<Event> waiting;
};

/// An I/O thread of the product's own interface.
class ProxyFixture : public EventFixture
{
protected:
  explicit ProxyFixture(std::size_t aEventRing = 64)
    : EventFixture(aEventRing)
    , settings({ .node = "n",
                 .domain = "d",
                 .region = "r",
                 .adminToken = "t",
                 .fleetSecret = "secret",
                 .maxHeaderBytes = 1024,
                 .maxBodyBytes = 4096,
                 .bodyMemoryBytes = 8192 })
  {
    ProxyIo::Opened opened = ProxyIo::Open(this->settings, this->events, [](const ReportItem&) {});
    this->proxy = std::get<std::unique_ptr<ProxyIo>>(std::move(opened));
    this->proxy->Start();
  }

  FakeConnection ConnectCaller() { return this->Connect(this->proxy->ListenPorts().callers); }

  /// Context of an attempt.
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
