#include "standins/common/http_server.h"

#include <optional>
#include <sstream>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jackdawwind::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;

/// Connection of one client, which is also its current request.
class Session final
  : public ServedRequest
  , public std::enable_shared_from_this<Session>
{
public:
  Session(asio::ip::tcp::socket aSocket, const RequestHandler& aHandler)
    : socket(std::move(aSocket))
    , handler(aHandler)
  {
  }

  void Read()
  {
    this->answered = false;
    this->onAbandoned = nullptr;
    this->parser.emplace();
    this->parser->body_limit(kMaxBodyBytes);
    http::async_read(
      this->socket,
      this->buffer,
      *this->parser,
      [self = this->shared_from_this()](const error_code& aError, std::size_t /*aBytes*/) {
        if (aError) {
          self->Close();
          return;
        }
        self->WatchForDisconnect();
        self->handler(self);
      });
  }

  const HttpMessage& Message() const override { return this->parser->get(); }

  void Answer(unsigned aStatus, std::string aBody) override
  {
    ServedAnswer answer;
    answer.result(aStatus);
    answer.set(http::field::content_type, "application/json");
    answer.body() = std::move(aBody);
    this->AnswerMessage(std::move(answer));
  }

  void AnswerMessage(ServedAnswer aAnswer) override
  {
    if (std::exchange(this->answered, true)) {
      return;
    }
    error_code ignored;
    this->socket.cancel(ignored); // Cancels the wait of WatchForDisconnect.
    this->response = std::move(aAnswer);
    this->response.version(11);
    this->response.keep_alive(this->Message().keep_alive());
    this->response.prepare_payload();
    this->serializer.emplace(this->response);
    http::async_write(
      this->socket,
      *this->serializer,
      [self = this->shared_from_this()](const error_code& aError, std::size_t /*aBytes*/) {
        if (aError || self->response.need_eof()) {
          self->Close();
          return;
        }
        self->Read();
      });
  }

  void AnswerRaw(std::string aBytes) override
  {
    if (std::exchange(this->answered, true)) {
      return;
    }
    error_code ignored;
    this->socket.cancel(ignored);
    this->rawAnswer = std::move(aBytes);
    asio::async_write(this->socket,
                      asio::buffer(this->rawAnswer),
                      [self = this->shared_from_this()](const error_code& /*aError*/,
                                                        std::size_t /*aBytes*/) { self->Close(); });
  }

  void Close() override
  {
    this->answered = true;
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
  }

  void OnAbandoned(std::function<void()> aHandler) override
  {
    this->onAbandoned = std::move(aHandler);
  }

private:
  /// Waits until the socket becomes readable while a request is handled. Without available bytes
  /// the client has closed the connection; otherwise it has pipelined a request, which is read
  /// later.
  void WatchForDisconnect()
  {
    this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                            [self = this->shared_from_this()](const error_code& aError) {
                              error_code ignored;
                              if (aError || self->answered || self->socket.available(ignored) > 0) {
                                return;
                              }
                              self->Close();
                              const std::function<void()> notify =
                                std::exchange(self->onAbandoned, nullptr);
                              if (notify) {
                                notify();
                              }
                            });
  }

  asio::ip::tcp::socket socket;
  const RequestHandler& handler;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::optional<http::response_serializer<http::string_body>> serializer;
  std::string rawAnswer;
  std::function<void()> onAbandoned;
  bool answered = false;
};

} // namespace

std::string
ServedRequest::Path() const
{
  const std::string target(this->Message().target());
  return target.substr(0, target.find('?'));
}

std::map<std::string, std::string>
ServedRequest::Query() const
{
  std::map<std::string, std::string> parameters;
  const std::string target(this->Message().target());
  const std::size_t queryStart = target.find('?');
  if (queryStart == std::string::npos) {
    return parameters;
  }
  std::istringstream query(target.substr(queryStart + 1));
  std::string parameter;
  while (std::getline(query, parameter, '&')) {
    const std::size_t equals = parameter.find('=');
    if (equals != std::string::npos) {
      parameters[parameter.substr(0, equals)] = parameter.substr(equals + 1);
    }
  }
  return parameters;
}

HttpServer::HttpServer(asio::io_context& aContext, std::uint16_t aPort, RequestHandler aHandler)
  : context(aContext)
  , acceptor(aContext, { asio::ip::address_v4::loopback(), aPort })
  , handler(std::move(aHandler))
  , port(this->acceptor.local_endpoint().port())
{
  this->Accept();
}

void
HttpServer::Accept()
{
  this->acceptor.async_accept([this](const error_code& aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      error_code ignored;
      aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(aSocket), this->handler)->Read();
    }
    this->Accept();
  });
}

} // namespace jackdawwind::standins
