#include "logservice/http_exchange.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "logservice/post.h"

namespace jackdawwind::logservice {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Connects, writes the request, reads the response and reports the outcome, within one timeout.
class Exchange final
  : public HttpExchange
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(asio::io_context& aContext, HttpRequest aRequest, HttpHandler aHandler)
    : context(aContext)
    , socket(aContext)
    , timer(aContext)
    , request(std::move(aRequest))
    , handler(std::move(aHandler))
  {
  }

  void Start()
  {
    error_code error;
    const asio::ip::address address = asio::ip::make_address(this->request.host, error);
    if (error) {
      Post(this->context, [self = this->shared_from_this()] {
        self->Finish(HttpNotSent({ .reason = self->request.host + " is not an IP address" }));
      });
      return;
    }
    this->timer.expires_after(this->request.timeout);
    this->timer.async_wait([self = this->shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->Fail("no complete response within " + std::to_string(self->request.timeout.count()) +
                   " ms");
      }
    });
    const asio::ip::tcp::endpoint endpoint(address, static_cast<std::uint16_t>(this->request.port));
    this->socket.async_connect(endpoint,
                               [self = this->shared_from_this()](const error_code& aError) {
                                 if (aError) {
                                   self->Fail(aError.message());
                                   return;
                                 }
                                 self->Write();
                               });
  }

  void Cancel() override
  {
    this->handler = nullptr;
    this->Close();
  }

private:
  void Write()
  {
    if (!this->handler) {
      return;
    }
    error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->writeStarted = true;
    this->message.method(this->request.method);
    this->message.target(this->request.target);
    this->message.version(11);
    this->message.set(http::field::host,
                      this->request.host + ":" + std::to_string(this->request.port));
    this->message.set(http::field::connection, "close");
    if (!this->request.body.empty()) {
      this->message.set(http::field::content_type, "application/json");
    }
    if (!this->request.token.empty()) {
      this->message.set(http::field::authorization, "Bearer " + this->request.token);
    }
    this->message.body() = std::move(this->request.body);
    this->message.prepare_payload();
    http::async_write(
      this->socket,
      this->serializer,
      [self = this->shared_from_this()](const error_code& aError, std::size_t /*aBytes*/) {
        if (aError) {
          self->Fail(aError.message());
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    if (!this->handler) {
      return;
    }
    this->parser.body_limit(this->request.maxBodyBytes);
    http::async_read(
      this->socket,
      this->buffer,
      this->parser,
      [self = this->shared_from_this()](const error_code& aError, std::size_t /*aBytes*/) {
        if (aError == http::error::body_limit) {
          self->Finish(HttpTooLarge({ .limit = self->request.maxBodyBytes }));
        } else if (aError) {
          self->Fail(aError.message());
        } else {
          self->Finish(HttpAnswer({ .status = self->parser.get().result_int(),
                                    .body = std::move(self->parser.get().body()) }));
        }
      });
  }

  void Fail(const std::string& aReason)
  {
    if (this->writeStarted) {
      this->Finish(HttpNoAnswer({ .reason = aReason }));
    } else {
      this->Finish(HttpNotSent({ .reason = aReason }));
    }
  }

  void Finish(HttpOutcome aOutcome)
  {
    this->Close();
    const HttpHandler onFinished = std::exchange(this->handler, nullptr);
    if (onFinished) {
      onFinished(std::move(aOutcome));
    }
  }

  void Close()
  {
    error_code ignored;
    this->timer.cancel(ignored);
    this->socket.close(ignored);
  }

  asio::io_context& context;
  asio::ip::tcp::socket socket;
  ClockTimer timer;
  HttpRequest request;
  HttpHandler handler;
  http::request<http::string_body> message;
  http::request_serializer<http::string_body> serializer{ this->message };
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
  // Set before the first byte is written; from then on the server may have received the request.
  bool writeStarted = false;
};

} // namespace

std::weak_ptr<HttpExchange>
StartHttpExchange(asio::io_context& aContext, HttpRequest aRequest, HttpHandler aHandler)
{
  const std::shared_ptr<Exchange> exchange =
    std::make_shared<Exchange>(aContext, std::move(aRequest), std::move(aHandler));
  exchange->Start();
  return exchange;
}

} // namespace jackdawwind::logservice
