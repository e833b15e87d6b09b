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

/// Whether requests with this method change nothing at the server (RFC 9110, 9.2.1).
bool
IsSafe(http::verb aMethod)
{
  return aMethod == http::verb::get || aMethod == http::verb::head;
}

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
  , writeTimer(aIo)
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
ServerConnection::ArmIdleTimer()
{
  this->timer.Arm(kHeaderTimeout, [self = this->shared_from_this()] { self->Close(); });
}

void
ServerConnection::ReadHeader()
{
  this->parsing = true;
  this->parser.emplace();
  this->parser->header_limit(this->options.maxHeaderBytes);
  this->parser->body_limit(this->options.maxBodyBytes);
  if (this->pending.empty()) {
    this->ArmIdleTimer();
  }
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
  if (this->lingering) {
    this->ReadLinger(kMaxLingerBytes);
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
  if (!this->ReserveBody()) {
    this->Reject(ResultCode::kNodeBusy, "no memory left for the body (body_memory_bytes)");
    return;
  }
  this->timer.Arm(kBodyTimeout, [self = this->shared_from_this()] { self->Close(); });
  if (beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
    this->SendContinue();
    return;
  }
  this->BeginBody();
}

void
ServerConnection::SendContinue()
{
  // It would stand before the answers to earlier requests.
  this->continueHeld = !this->pending.empty();
  if (this->continueHeld) {
    this->timer.Disarm();
    return;
  }
  this->writing = true;
  asio::async_write(this->socket,
                    asio::buffer(kContinue.data(), kContinue.size()),
                    [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                      self->writing = false;
                      if (aError) {
                        self->Close();
                      } else if (self->open) {
                        self->BeginBody();
                      }
                    });
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
  if (this->lingering) {
    this->ReadLinger(kMaxLingerBytes);
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
  this->parsing = false;
  this->timer.Disarm();
  if (this->MayHandleNow()) {
    this->HandleRequest();
  } else {
    this->held = true;
    this->WatchForDisconnect();
  }
}

bool
ServerConnection::MayHandleNow() const
{
  return this->pending.empty() ||
         (this->pending.size() < this->options.maxPipelined && this->pending.back().isSafe &&
          IsSafe(this->parser->get().method()));
}

ServerConnection::PendingAnswer&
ServerConnection::AddPending(bool aComplete)
{
  const http::request<http::string_body>& request = this->parser->get();
  this->pending.push_back(PendingAnswer{ .keepAlive = request.keep_alive(),
                                         .isHead = request.method() == http::verb::head,
                                         .isSafe = IsSafe(request.method()),
                                         .complete = aComplete,
                                         .response = std::nullopt,
                                         .reservation = BodyReservation(this->budget) });
  this->readingEnded = !aComplete || !request.keep_alive();
  return this->pending.back();
}

void
ServerConnection::HandleRequest()
{
  this->held = false;
  this->AddPending(true);
  try {
    this->handlers.request(
      this->shared_from_this(), this->parser->release(), std::move(this->reservation));
  } catch (const std::exception&) {
    // The handler has not taken the request, so that it cannot run. The event loop reports the
    // exception.
    this->readingEnded = true;
    this->Respond(
      this->handlers.reject({ ResultCode::kNodeBusy, "the request caused an exception" }),
      BodyReservation(this->budget),
      AfterAnswer::kClose);
    throw;
  }
  if (this->pending.size() > 1) {
    // The handler may have answered at once, which does not end the wait for the earlier answers.
    this->ContinueReading();
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
  this->parsing = false;
  this->timer.Disarm();
  this->SetAnswer(this->AddPending(false),
                  this->handlers.reject(Rejection{ aCode, aReason }),
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
  this->pending.back().exchange = aExchange;
  this->ContinueReading();
}

void
ServerConnection::ContinueReading()
{
  if (!this->open || this->parsing || this->watching || this->held) {
    return;
  }
  const bool mayParse = !this->readingEnded && this->pending.size() < this->options.maxPipelined;
  if (mayParse) {
    this->ReadHeader();
  } else {
    this->WatchForDisconnect();
  }
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
  // Cancelled by OnAnswerWritten, since bytes of a request are buffered.
  const bool cancelled = aError == asio::error::operation_aborted;
  if (aError && !cancelled) {
    // A client that only shuts down its sending side looks the same as one that disconnected.
    this->Close();
    return;
  }
  this->buffer.commit(cancelled ? 0 : aBytes);
  if (this->lingering) {
    this->ReadLinger(kMaxLingerBytes);
  } else if (this->held) {
    this->WatchForDisconnect();
  } else {
    this->ContinueReading();
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
  if (!this->open || (!this->pending.empty() && this->pending.front().response)) {
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
                      } else {
                        self->WriteAnswer();
                      }
                    });
}

bool
ServerConnection::IsWriting() const
{
  return this->writing ||
         std::any_of(this->pending.begin(), this->pending.end(), [](const PendingAnswer& aPending) {
           return aPending.response.has_value();
         });
}

void
ServerConnection::Respond(HttpResponse aResponse, BodyReservation aReservation, AfterAnswer aAfter)
{
  if (this->open && !this->pending.empty()) {
    this->SetAnswer(this->pending.back(), std::move(aResponse), std::move(aReservation), aAfter);
  }
}

void
ServerConnection::RespondTo(std::uint64_t aExchange,
                            HttpResponse aResponse,
                            BodyReservation aReservation,
                            AfterAnswer aAfter)
{
  const PendingAnswers::iterator found =
    std::find_if(this->pending.begin(), this->pending.end(), [aExchange](const auto& aPending) {
      return aPending.exchange == aExchange;
    });
  if (this->open && found != this->pending.end()) {
    this->SetAnswer(*found, std::move(aResponse), std::move(aReservation), aAfter);
  }
}

void
ServerConnection::SetAnswer(PendingAnswer& aPending,
                            HttpResponse aResponse,
                            BodyReservation aReservation,
                            AfterAnswer aAfter)
{
  if (aPending.response) {
    return;
  }
  aPending.exchange = 0;
  aPending.keepAlive = aPending.keepAlive && aAfter == AfterAnswer::kKeepAlive;
  aPending.response = std::move(aResponse);
  aPending.response->version(kHttp11);
  if (aPending.isHead) {
    // An answer to HEAD has no body but keeps its Content-Length.
    aPending.response->body().clear();
  }
  aPending.reservation = std::move(aReservation);
  if (!this->writing) {
    this->WriteAnswer();
  }
}

void
ServerConnection::WriteAnswer()
{
  if (!this->open || this->pending.empty() || !this->pending.front().response) {
    return;
  }
  PendingAnswer& next = this->pending.front();
  this->interimTimer.Disarm();
  // What was passed on behind this request has to be answered on this connection.
  next.keepAlive = next.keepAlive || this->pending.size() > 1;
  next.response->keep_alive(next.keepAlive);
  this->writing = true;
  this->writeTimer.Arm(kWriteTimeout, [self = this->shared_from_this()] { self->Close(); });
  http::async_write(this->socket,
                    *next.response,
                    [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                      self->OnAnswerWritten(aError);
                    });
}

void
ServerConnection::OnAnswerWritten(const ErrorCode& aError)
{
  this->writing = false;
  this->writeTimer.Disarm();
  const bool keepAlive = this->pending.front().keepAlive;
  const bool complete = this->pending.front().complete;
  this->pending.pop_front();
  if (!this->open) {
    return;
  }
  if (aError) {
    this->Close();
    return;
  }
  if (!keepAlive) {
    this->Linger(complete);
    return;
  }
  if (this->watching && this->buffer.size() > 0) {
    // Nothing is being written now, so that this ends the read only. Without it the buffered
    // request would wait for further bytes of the client.
    ErrorCode ignored;
    this->socket.cancel(ignored);
  }
  if (!this->pending.empty()) {
    this->WriteAnswer();
    this->ContinueReading();
    return;
  }
  if (this->held) {
    this->HandleRequest();
  } else if (this->continueHeld) {
    this->timer.Arm(kBodyTimeout, [self = this->shared_from_this()] { self->Close(); });
    this->SendContinue();
  } else if (this->parsing || this->watching) {
    // The pending read receives the first bytes of the next request.
    this->ArmIdleTimer();
  } else {
    this->ReadHeader();
  }
}

void
ServerConnection::Linger(bool aRequestComplete)
{
  if (aRequestComplete && !this->parsing && !this->held && this->buffer.size() == 0) {
    this->Close();
    return;
  }
  this->lingering = true;
  ErrorCode ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  this->timer.Arm(kLingerTimeout, [self = this->shared_from_this()] { self->Close(); });
  // A read that is in progress goes on as the first one of the lingering.
  if (!this->parsing && !this->watching) {
    this->ReadLinger(kMaxLingerBytes);
  }
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
  this->writeTimer.Disarm();
  ErrorCode ignored;
  this->socket.close(ignored);
  for (PendingAnswer& answer : this->pending) {
    if (answer.exchange != 0) {
      this->handlers.disconnected(std::exchange(answer.exchange, 0));
    }
  }
}

} // namespace jackdawwind::node
