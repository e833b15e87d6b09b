// Accepts connections on one address.
//
//   std::variant<std::unique_ptr<Listener>, ListenError> opened = Listener::Open(io, address,
//   accept);
//
// Not safe for more than one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "node/net.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

struct ListenError
{
  std::string address;
  std::string reason;
};

class Listener
{
public:
  using Accepted = std::function<void(Tcp::socket)>;
  using OpenResult = std::variant<std::unique_ptr<Listener>, ListenError>;

  /// Binds and listens; connections are accepted after Start.
  static OpenResult Open(asio::io_context& aIo, const ListenAddress& aAddress);

  explicit Listener(asio::io_context& aIo)
    : io(aIo)
    , acceptor(aIo)
    , retryTimer(aIo)
  {
  }

  void Start(Accepted aAccepted);
  void Stop();
  std::uint16_t Port() const { return this->port; }

private:
  /// Time to wait after a failed accept; the usual cause is a lack of file descriptors.
  static constexpr Duration kRetryTime = std::chrono::milliseconds(100);

  void Accept();

  asio::io_context& io;
  Tcp::acceptor acceptor;
  ClockTimer retryTimer;
  Accepted accepted;
  std::uint16_t port = 0;
};

} // namespace jackdawwind::node
