// Aliases for the network library, detection of dead peers, and the timeout of socket operations.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "util/clock.h"

namespace jackdawwind::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
using ClockTimer = asio::basic_waitable_timer<Clock>;

inline std::string_view
View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Time after which unacknowledged data breaks a connection (TCP_USER_TIMEOUT). Retransmissions on
/// a lossy link take a few hundred milliseconds, and a dead peer must be detected within a caller's
/// timeout.
constexpr std::chrono::milliseconds kUserTimeout{ 800 };
/// Idle time before the first keepalive probe, time between probes, and number of unanswered probes
/// that break a connection.
constexpr std::chrono::seconds kKeepaliveIdleTime{ 1 };
constexpr std::chrono::seconds kKeepaliveInterval{ 1 };
constexpr int kKeepaliveProbes = 2;

/// Makes the system break a connection whose peer has stopped responding, whether it is idle or
/// not. If the system refuses an option, the peer is detected later, by the timeout of the
/// exchange.
void EnableDeadPeerDetection(Tcp::socket& aSocket);

/// Timeout for one operation of an object that is owned by a shared_ptr.
///
///   this->timer.Arm(kConnectTimeout, [self = shared_from_this()] { self->OnConnectTimeout(); });
///
/// The handler must hold a reference to the owner of the timer. It does not run after Disarm or a
/// later Arm, even if the timer had already expired and the handler was queued.
class OperationTimer
{
public:
  explicit OperationTimer(asio::io_context& aIo)
    : timer(aIo)
  {
  }

  template<typename Handler>
  void Arm(Duration aTime, Handler aExpired)
  {
    ++this->generation;
    this->timer.expires_after(aTime);
    this->timer.async_wait([this,
                            armedGeneration = this->generation,
                            expired = std::move(aExpired)](const ErrorCode& aError) mutable {
      if (!aError && armedGeneration == this->generation) {
        expired();
      }
    });
  }

  void Disarm()
  {
    ++this->generation;
    this->timer.cancel();
  }

private:
  ClockTimer timer;
  std::uint64_t generation = 0;
};

} // namespace jackdawwind::node
