// Short names of the network library, and the timer that limits every socket operation.
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

/// Time after which unacknowledged bytes break a connection. Retransmissions on a lossy link take
/// a few hundred milliseconds; a silent connection must be noticed within a caller's patience.
constexpr std::chrono::milliseconds kAcknowledgeLimit{ 800 };
/// Idle time before a connection is probed, time between probes, and probes until it is broken.
constexpr std::chrono::seconds kProbeAfter{ 1 };
constexpr std::chrono::seconds kProbeInterval{ 1 };
constexpr int kProbes = 2;

/// Makes the system break a connection whose other side went silent, idle or not. A system that
/// refuses an option only notices later.
void EnableDeadPeerDetection(Tcp::socket& aSocket);

/// Limits the time of one operation of an object that lives in shared_ptr.
///
///   this->timer.Arm(kConnectTimeout, [self = shared_from_this()] { self->OnConnectTimeout(); });
///
/// The handler must hold the owner of the timer; it does not run after Disarm or another Arm, not
/// even when the time had passed before that call.
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
    this->timer.async_wait([this, armed = this->generation, expired = std::move(aExpired)](
                             const ErrorCode& aError) mutable {
      if (!aError && armed == this->generation) {
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
