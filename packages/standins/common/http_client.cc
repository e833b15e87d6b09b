#include "standins/common/http_client.h"

#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace jackdawwind::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;

} // namespace

HttpClient::HttpClient(asio::io_context& aContext, asio::ip::tcp::endpoint aEndpoint)
  : context(aContext)
  , endpoint(std::move(aEndpoint))
  , socket(aContext)
  , timer(aContext)
{
}

template<typename Next>
auto
HttpClient::ForCurrentExchange(Next aNext)
{
  return [self = this->shared_from_this(),
          startedExchange = this->exchangeId,
          next = std::move(aNext)](const error_code& aError, std::size_t /*aBytes*/ = 0) {
    if (startedExchange != self->exchangeId) {
      return;
    }
    if (aError) {
      self->Finish(std::nullopt);
    } else {
      next(*self);
    }
  };
}

void
HttpClient::Send(Message aMessage, Duration aTimeout, Done aDone)
{
  ++this->exchangeId;
  this->message = std::move(aMessage);
  this->done = std::move(aDone);
  this->timer.expires_after(aTimeout);
  this->timer.async_wait([self = this->shared_from_this(),
                          startedExchange = this->exchangeId](const error_code& aError) {
    if (!aError && startedExchange == self->exchangeId) {
      self->Finish(std::nullopt);
    }
  });
  if (this->socket.is_open()) {
    this->Write();
    return;
  }
  this->buffer.clear();
  this->socket = asio::ip::tcp::socket(this->context);
  this->socket.async_connect(this->endpoint, this->ForCurrentExchange([](HttpClient& aClient) {
    error_code ignored;
    aClient.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    aClient.Write();
  }));
}

void
HttpClient::Write()
{
  http::async_write(this->socket, this->message, this->ForCurrentExchange([](HttpClient& aClient) {
    aClient.Read();
  }));
}

void
HttpClient::Read()
{
  this->parser.emplace();
  this->parser->body_limit(kMaxBodyBytes);
  this->parser->skip(this->message.method() == http::verb::head);
  http::async_read(
    this->socket, this->buffer, *this->parser, this->ForCurrentExchange([](HttpClient& aClient) {
      const http::status_class statusClass = http::to_status_class(aClient.parser->get().result());
      if (statusClass == http::status_class::informational) {
        aClient.Read();
      } else {
        aClient.Finish(aClient.parser->release());
      }
    }));
}

void
HttpClient::Finish(std::optional<HttpReply> aReply)
{
  if (!aReply || !aReply->keep_alive()) {
    error_code ignored;
    this->socket.close(ignored);
  }
  if (!this->done) {
    return;
  }
  ++this->exchangeId;
  this->timer.cancel();
  const Done handler = std::exchange(this->done, nullptr);
  handler(std::move(aReply));
}

void
HttpClient::Close()
{
  this->Finish(std::nullopt);
}

} // namespace jackdawwind::standins
