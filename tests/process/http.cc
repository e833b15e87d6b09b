#include "process/http.h"

#include <cctype>
#include <cstdlib>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jackdawwind::tests {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

} // namespace

int
HttpAnswer::ResultCode() const
{
  const std::map<std::string, std::string>::const_iterator found =
    this->headers.find("x-jackdaw-result");
  return found == this->headers.end() ? 0 : std::atoi(found->second.c_str());
}

std::string
HttpAnswer::RunState() const
{
  const std::map<std::string, std::string>::const_iterator found =
    this->headers.find("x-jackdaw-run");
  return found == this->headers.end() ? "" : found->second;
}

struct HttpConnection::Impl
{
  asio::io_context io;
  beast::tcp_stream stream{ io };
  beast::flat_buffer buffer;
  std::chrono::milliseconds timeout;
  bool open = false;

  explicit Impl(std::chrono::milliseconds aTimeout)
    : timeout(aTimeout)
  {
  }

  /// Runs one asynchronous operation to completion; Beast's blocking calls do not support timeouts.
  template<typename Start>
  bool Complete(Start aStart)
  {
    std::optional<beast::error_code> result;
    this->stream.expires_after(this->timeout);
    aStart([&result](beast::error_code aError, const auto&...) { result = aError; });
    this->io.restart();
    this->io.run();
    return result && !*result;
  }
};

HttpConnection::HttpConnection(std::uint16_t aPort, std::chrono::milliseconds aTimeout)
  : impl(std::make_unique<Impl>(aTimeout))
{
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aPort);
  this->impl->open = this->impl->Complete(
    [this, &endpoint](auto aDone) { this->impl->stream.async_connect(endpoint, aDone); });
}

HttpConnection::~HttpConnection() = default;

HttpAnswer
HttpConnection::Send(const HttpRequest& aRequest)
{
  http::request<http::string_body> request;
  request.method_string(aRequest.method);
  request.target(aRequest.path);
  request.version(11);
  request.set(http::field::host, "127.0.0.1");
  for (const std::pair<const std::string, std::string>& header : aRequest.headers) {
    request.set(header.first, header.second);
  }
  request.body() = aRequest.body;
  request.prepare_payload();
  if (this->impl->open) {
    // A failed write is ignored: the server may reject a request before it has read all of it, and
    // the answer can still be read.
    this->impl->Complete(
      [this, &request](auto aDone) { http::async_write(this->impl->stream, request, aDone); });
  }
  return this->ReadAnswer();
}

bool
HttpConnection::IsOpen() const
{
  return this->impl->open;
}

HttpAnswer
HttpConnection::SendRaw(const std::string& aBytes)
{
  if (this->impl->open) {
    this->impl->Complete([this, &aBytes](auto aDone) {
      asio::async_write(this->impl->stream, asio::buffer(aBytes), aDone);
    });
  }
  return this->ReadAnswer();
}

HttpAnswer
HttpConnection::ReadAnswer()
{
  HttpAnswer answer;
  http::response_parser<http::string_body> parser;
  this->impl->open = this->impl->open && this->impl->Complete([this, &parser](auto aDone) {
    http::async_read(this->impl->stream, this->impl->buffer, parser, aDone);
  });
  if (!this->impl->open) {
    return answer;
  }
  const http::response<http::string_body>& response = parser.get();
  answer.status = response.result_int();
  for (const http::fields::value_type& field : response) {
    std::string name(field.name_string());
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    answer.headers[name] = std::string(field.value());
  }
  answer.body = response.body();
  this->impl->open = response.keep_alive();
  return answer;
}

HttpAnswer
Send(std::uint16_t aPort, const HttpRequest& aRequest)
{
  HttpConnection connection(aPort);
  return connection.Send(aRequest);
}

HttpAnswer
SendRaw(std::uint16_t aPort, const std::string& aBytes)
{
  HttpConnection connection(aPort);
  return connection.SendRaw(aBytes);
}

} // namespace jackdawwind::tests
