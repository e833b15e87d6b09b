#include "node/server_connection.h"

#include <algorithm>
#include <cstddef>
#include <exception>
#include <string_view>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "node/body_growth.h"

namespace jackdawwind::node {

namespace {

constexpr std::string_view kInterim = "HTTP/1.1 102 Processing\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Buffer space for body bytes that arrive together with the header section.
constexpr std::size_t kReadAheadBytes = 65536;
constexpr std::size_t kReadChunkBytes = 4096;
/// Limit of the pipelined bytes buffered while an answer is awaited. Beyond it the connection is
/// not read, and a disconnect is noticed only when the answer is written.
constexpr std::size_t kMaxPipelinedBytes = 16384;
/// Limits for reading and dropping the rest of a request that was refused before its end. Closing
/// at once would reset the connection, and the client's system would discard the refusal.
constexpr std::size_t kMaxLingerBytes = 1U << 20U;
constexpr Duration kLingerTimeout = std::chrono::seconds(2);
constexpr unsigned kHttp10 = 10;
constexpr unsigned kHttp11 = 11;

} // namespace

ServerConnection::ServerConnection(Tcp::socket aSocket,
                                   asio::io_context& aIo,
                                   BodyBudget& aBudget,
                                   std::shared_ptr<std::size_t> aOpenCount,
                                   const Options& aOptions,
                                   Handlers aHandlers)
  : socket(std::move(aSocket))
  , budget(aBudget)
  , openCount(std::move(aOpenCount))
  , options(aOptions)
  , handlers(std::move(aHandlers))
  , buffer(aOptions.maxHeaderBytes + kReadAheadBytes)
  , reservation(aBudget)
  , timer(aIo)
  , interimTimer(aIo)
  , answerReservation(aBudget)
{
  ++*this->openCount;
}

ServerConnection::~ServerConnection()
{
  --*this->openCount;
}

void
ServerConnection::Start()
{
  ErrorCode ignored;
  this->socket.set_option(Tcp::no_delay(true), ignored);
  this->ReadHeader();
}

std::optional<asio::ip::address>
ServerConnection::RemoteAddress() const
{
  ErrorCode error;
  const Tcp::endpoint remote = this->socket.remote_endpoint(error);
  if (error) {
    return std::nullopt;
  }
  return remote.address();
}

void
ServerConnection::ReadHeader()
{
  this->requestComplete = false;
  this->parser.emplace();
  this->parser->header_limit(this->options.maxHeaderBytes);
  this->parser->body_limit(this->options.maxBodyBytes);
  this->timer.Arm(kHeaderTimeout, [self = this->shared_from_this()] { self->Close(); });
  http::async_read_header(this->socket,
                          this->buffer,
                          *this->parser,
                          [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                            self->OnHeader(aError);
                          });
}

void
ServerConnection::OnHeader(const ErrorCode& aError)
{
  if (!this->open) {
    return;
  }
  if (aError) {
    this->RejectError(aError);
    return;
  }
  const unsigned version = this->parser->get().version();
  if (version != kHttp10 && version != kHttp11) {
    this->Reject(ResultCode::kMalformedRequest, "the HTTP version is neither 1.0 nor 1.1");
    return;
  }
  this->keepAlive = this->parser->get().keep_alive();
  this->headRequest = this->parser->get().method() == http::verb::head;
  if (!this->ReserveBody()) {
    this->Reject(ResultCode::kNodeBusy, "no memory left for the body (body_memory_bytes)");
    return;
  }
  this->timer.Arm(kBodyTimeout, [self = this->shared_from_this()] { self->Close(); });
  if (beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
    this->writing = true;
    asio::async_write(this->socket,
                      asio::buffer(kContinue.data(), kContinue.size()),
                      [self = this->shared_from_this()](const ErrorCode& aFailure, std::size_t) {
                        self->writing = false;
                        if (aFailure) {
                          self->Close();
                        } else if (self->open) {
                          self->BeginBody();
                        }
                      });
    return;
  }
  this->BeginBody();
}

void
ServerConnection::BeginBody()
{
  this->ArmInterim();
  if (this->parser->is_done()) {
    this->OnBody(ErrorCode());
    return;
  }
  this->ReadBody();
}

void
ServerConnection::ReadBody()
{
  http::async_read_some(this->socket,
                        this->buffer,
                        *this->parser,
                        [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                          self->OnBody(aError);
                        });
}

void
ServerConnection::OnBody(const ErrorCode& aError)
{
  if (!this->open) {
    return;
  }
  if (aError) {
    this->RejectError(aError);
    return;
  }
  if (!this->ReserveBody()) {
    this->Reject(ResultCode::kNodeBusy, "no memory left for the body (body_memory_bytes)");
    return;
  }
  if (!this->parser->is_done()) {
    this->ReadBody();
    return;
  }
  this->requestComplete = true;
  this->timer.Disarm();
  this->HandleRequest();
}

void
ServerConnection::HandleRequest()
{
  try {
    this->handlers.request(
      this->shared_from_this(), this->parser->release(), std::move(this->reservation));
  } catch (const std::exception&) {
    // The handler has not taken the request, so that it cannot run. The event loop reports the
    // exception.
    this->Reject(ResultCode::kNodeBusy, "the request caused an exception");
    throw;
  }
}

bool
ServerConnection::ReserveBody()
{
  std::optional<std::uint64_t> length;
  if (this->parser->content_length()) {
    length = *this->parser->content_length();
  }
  const std::size_t more = this->parser->is_done() ? 0 : this->buffer.max_size();
  return ReserveBodyMemory(this->parser->get().body(), length, more, this->reservation);
}

void
ServerConnection::Reject(ResultCode aCode, const std::string& aReason)
{
  this->reservation.Release();
  this->Respond(this->handlers.reject(Rejection{ aCode, aReason }),
                BodyReservation(this->budget),
                AfterAnswer::kClose);
}

void
ServerConnection::RejectError(const ErrorCode& aError)
{
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    this->Reject(ResultCode::kHeaderTooLarge,
                 "the header section is over the limit max_header_bytes");
  } else if (aError == http::error::body_limit) {
    this->Reject(ResultCode::kBodyTooLarge, "the body is over the limit max_body_bytes");
  } else if (aError.category() == http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream && aError != http::error::partial_message) {
    this->Reject(ResultCode::kMalformedRequest, aError.message());
  } else {
    this->Close();
  }
}

void
ServerConnection::AwaitAnswer(std::uint64_t aExchange)
{
  this->exchange = aExchange;
  this->WatchForDisconnect();
}

void
ServerConnection::WatchForDisconnect()
{
  if (this->watching || this->buffer.size() >= kMaxPipelinedBytes) {
    return;
  }
  this->watching = true;
  this->socket.async_read_some(
    this->buffer.prepare(kReadChunkBytes),
    [self = this->shared_from_this()](const ErrorCode& aError, std::size_t aBytes) {
      self->OnWatchRead(aError, aBytes);
    });
}

void
ServerConnection::OnWatchRead(const ErrorCode& aError, std::size_t aBytes)
{
  this->watching = false;
  if (!this->open) {
    return;
  }
  if (aError && aError != asio::error::operation_aborted) {
    // A client that only shuts down its sending side looks the same as one that disconnected.
    this->Close();
    return;
  }
  this->buffer.commit(aBytes);
  if (this->exchange != 0) {
    this->WatchForDisconnect();
  } else if (!this->IsWriting()) {
    this->ReadHeader();
  }
}

void
ServerConnection::ArmInterim()
{
  if (this->options.interimInterval) {
    this->interimTimer.Arm(*this->options.interimInterval,
                           [self = this->shared_from_this()] { self->SendInterim(); });
  }
}

void
ServerConnection::SendInterim()
{
  if (!this->open || this->answer) {
    return;
  }
  this->ArmInterim();
  if (this->writing) {
    return;
  }
  this->writing = true;
  asio::async_write(this->socket,
                    asio::buffer(kInterim.data(), kInterim.size()),
                    [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                      self->writing = false;
                      if (aError) {
                        self->Close();
                      } else if (self->answer) {
                        self->WriteAnswer();
                      }
                    });
}

void
ServerConnection::Respond(HttpResponse aResponse, BodyReservation aReservation, AfterAnswer aAfter)
{
  if (!this->open || this->answer) {
    return;
  }
  this->exchange = 0;
  this->interimTimer.Disarm();
  this->keepAlive = this->keepAlive && aAfter == AfterAnswer::kKeepAlive;
  this->answer = std::move(aResponse);
  this->answer->version(kHttp11);
  this->answer->keep_alive(this->keepAlive);
  if (this->headRequest) {
    // An answer to HEAD has no body but keeps its Content-Length.
    this->answer->body().clear();
  }
  this->answerReservation = std::move(aReservation);
  if (!this->writing) {
    this->WriteAnswer();
  }
}

void
ServerConnection::WriteAnswer()
{
  this->writing = true;
  this->timer.Arm(kWriteTimeout, [self = this->shared_from_this()] { self->Close(); });
  http::async_write(this->socket,
                    *this->answer,
                    [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                      self->OnAnswerWritten(aError);
                    });
}

void
ServerConnection::OnAnswerWritten(const ErrorCode& aError)
{
  this->writing = false;
  this->answer.reset();
  this->answerReservation.Release();
  if (!this->open) {
    return;
  }
  if (aError) {
    this->Close();
  } else if (!this->keepAlive) {
    this->Linger();
  } else if (this->watching) {
    // The pending read receives the first bytes of the next request, unless they are in the buffer:
    // then it is cancelled, since no further byte may come.
    this->timer.Arm(kHeaderTimeout, [self = this->shared_from_this()] { self->Close(); });
    if (this->buffer.size() > 0) {
      ErrorCode ignored;
      this->socket.cancel(ignored);
    }
  } else {
    this->ReadHeader();
  }
}

void
ServerConnection::Linger()
{
  if (this->requestComplete) {
    this->Close();
    return;
  }
  ErrorCode ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  this->timer.Arm(kLingerTimeout, [self = this->shared_from_this()] { self->Close(); });
  this->ReadLinger(kMaxLingerBytes);
}

void
ServerConnection::ReadLinger(std::size_t aRemainingBytes)
{
  this->buffer.clear();
  this->socket.async_read_some(this->buffer.prepare(kReadChunkBytes),
                               [self = this->shared_from_this(),
                                aRemainingBytes](const ErrorCode& aError, std::size_t aBytes) {
                                 if (!self->open || aError || aBytes >= aRemainingBytes) {
                                   self->Close();
                                   return;
                                 }
                                 self->ReadLinger(aRemainingBytes - aBytes);
                               });
}

void
ServerConnection::Close()
{
  if (!this->open) {
    return;
  }
  this->open = false;
  this->timer.Disarm();
  this->interimTimer.Disarm();
  ErrorCode ignored;
  this->socket.close(ignored);
  if (this->exchange != 0) {
    this->handlers.disconnected(std::exchange(this->exchange, 0));
  }
}

} // namespace jackdawwind::node
