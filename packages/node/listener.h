// Accepts TCP connections on one address.
//
//   Listener::OpenResult opened = Listener::Open(io, address);
//   Listener& listener = *std::get<std::unique_ptr<Listener>>(opened);
//   listener.Start([](Tcp::socket aSocket) { ... });
//   listener.Stop();
//
// After a failed accept the listener tries again. Not safe for more than one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "node/net.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

/// Error of a listener that could not be opened.
struct ListenError
{
  /// Host and port, joined by a colon.
  std::string address;
  std::string reason;
};

class Listener
{
public:
  using AcceptHandler = std::function<void(Tcp::socket)>;
  using OpenResult = std::variant<std::unique_ptr<Listener>, ListenError>;

  /// Binds and listens; connections are accepted after Start.
  static OpenResult Open(asio::io_context& aIo, const ListenAddress& aAddress);

  explicit Listener(asio::io_context& aIo)
    : io(aIo)
    , acceptor(aIo)
    , retryTimer(aIo)
  {
  }

  void Start(AcceptHandler aOnAccept);
  void Stop();
  /// The bound port; chosen by the system when the address has port 0.
  std::uint16_t Port() const { return this->port; }

private:
  /// Delay after a failed accept; the usual cause is a lack of file descriptors.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

  void Accept();

  asio::io_context& io;
  Tcp::acceptor acceptor;
  ClockTimer retryTimer;
  AcceptHandler onAccept;
  std::uint16_t port = 0;
};

} // namespace jackdawwind::node
