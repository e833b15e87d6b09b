#include "node/outgoing_exchange.h"

#include <cstddef>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "node/body_growth.h"

namespace jackdawwind::node {

namespace {

/// Buffer space for body bytes that arrive together with the header section.
constexpr std::size_t kReadAheadBytes = 65536;

/// Whether a request with this method states its length even if it has no body (RFC 9110, 8.6).
bool
StatesEmptyLength(http::verb aMethod)
{
  return aMethod == http::verb::options || aMethod == http::verb::put ||
         aMethod == http::verb::post;
}

/// Whether a status may stand in an answer: in the range of RFC 9110, 15, and not 101, which no
/// request of a node asks for.
bool
IsValidStatus(unsigned aStatus)
{
  constexpr unsigned kFirstStatus = 100;
  constexpr unsigned kLastStatus = 599;
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != static_cast<unsigned>(http::status::switching_protocols);
}

} // namespace

std::shared_ptr<OutgoingExchange>
OutgoingExchange::Start(const OutgoingNetwork& aNetwork, OutgoingRequest aRequest, Done aDone)
{
  std::shared_ptr<OutgoingExchange> exchange =
    std::make_shared<OutgoingExchange>(aNetwork, std::move(aRequest), std::move(aDone));
  asio::post(aNetwork.io, [exchange] { exchange->Begin(); });
  return exchange;
}

OutgoingExchange::OutgoingExchange(const OutgoingNetwork& aNetwork,
                                   OutgoingRequest aRequest,
                                   Done aDone)
  : network(aNetwork)
  , request(std::move(aRequest))
  , done(std::move(aDone))
  , deadline(Clock::now() + this->request.timeout)
  , message(request.header)
  , buffer(aNetwork.maxHeaderBytes + kReadAheadBytes)
  , reservation(aNetwork.budget)
  , totalTimer(aNetwork.io)
  , stepTimer(aNetwork.io)
{
  const std::string& body = *this->request.body;
  this->message.body() = Body::value_type(body.data(), body.size());
  // Not prepare_payload(), which throws for a body that the method should not have (TRACE).
  if (!body.empty() || StatesEmptyLength(this->message.method())) {
    this->message.content_length(body.size());
  } else {
    this->message.chunked(false);
  }
  this->message.keep_alive(true);
}

void
OutgoingExchange::Cancel()
{
  this->done = nullptr;
  this->Close();
}

void
OutgoingExchange::Begin()
{
  if (!this->done) {
    return;
  }
  const Time now = Clock::now();
  if (now >= this->deadline) {
    this->Finish(NothingSent{});
    return;
  }
  this->totalTimer.Arm(this->deadline - now,
                       [self = this->shared_from_this()] { self->OnTimeout(); });
  this->connection = this->network.pool.Take(this->request.endpoint, this->request.reuse);
  if (this->connection) {
    this->reused = true;
    this->BeginWrite();
    return;
  }
  this->Connect();
}

void
OutgoingExchange::Connect()
{
  this->reused = false;
  this->connection.emplace(PooledConnection{ Tcp::socket(this->network.io), Clock::now(), Time{} });
  this->stepTimer.Arm(kConnectTimeout,
                      [self = this->shared_from_this()] { self->Finish(NothingSent{}); });
  this->connection->socket.async_connect(
    this->request.endpoint,
    [self = this->shared_from_this()](const ErrorCode& aError) { self->OnConnected(aError); });
}

void
OutgoingExchange::OnConnected(const ErrorCode& aError)
{
  if (!this->done) {
    return;
  }
  if (aError) {
    this->Finish(NothingSent{});
    return;
  }
  ErrorCode ignored;
  this->connection->socket.set_option(Tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(this->connection->socket);
  this->connection->opened = Clock::now();
  this->stepTimer.Disarm();
  this->BeginWrite();
}

void
OutgoingExchange::BeginWrite()
{
  // When a suspended process resumes, the connection may be open although the time is over.
  if (Clock::now() >= this->deadline) {
    this->Finish(NothingSent{});
    return;
  }
  this->serializer.emplace(this->message);
  this->ArmSilenceTimer();
  this->WriteSome();
}

void
OutgoingExchange::WriteSome()
{
  this->writing = true;
  http::async_write_some(
    this->connection->socket,
    *this->serializer,
    [self = this->shared_from_this()](const ErrorCode& aError, std::size_t aBytes) {
      self->OnWritten(aError, aBytes);
    });
}

void
OutgoingExchange::OnWritten(const ErrorCode& aError, std::size_t aBytes)
{
  if (!this->done) {
    return;
  }
  this->writing = false;
  this->anyWritten = this->anyWritten || aBytes > 0;
  if (aError && !this->anyWritten) {
    if (this->reused) {
      // The other side closed the idle connection before any byte was sent, so that the request
      // cannot have run and may be sent on a new connection.
      this->Connect();
      return;
    }
    this->Finish(NothingSent{});
    return;
  }
  if (!aError && !this->serializer->is_done()) {
    this->ArmSilenceTimer();
    this->WriteSome();
    return;
  }
  // After a failed write the receive buffer may still hold a refusal with a length.
  this->ArmSilenceTimer();
  this->ReadAnswer();
}

void
OutgoingExchange::ReadAnswer()
{
  this->parser.emplace();
  this->parser->header_limit(this->network.maxHeaderBytes);
  this->parser->body_limit(this->network.maxBodyBytes);
  if (this->message.method() == http::verb::head) {
    this->parser->skip(true);
  }
  this->ReadSome();
}

void
OutgoingExchange::ReadSome()
{
  http::async_read_some(this->connection->socket,
                        this->buffer,
                        *this->parser,
                        [self = this->shared_from_this()](const ErrorCode& aError, std::size_t) {
                          self->OnRead(aError);
                        });
}

void
OutgoingExchange::OnRead(const ErrorCode& aError)
{
  if (!this->done) {
    return;
  }
  if (aError || this->HasInvalidHeader() || !this->ReserveBody()) {
    this->Finish(ConnectionBroken{});
    return;
  }
  this->ArmSilenceTimer();
  if (!this->parser->is_done()) {
    this->ReadSome();
    return;
  }
  this->OnComplete();
}

bool
OutgoingExchange::HasInvalidHeader()
{
  if (!this->parser->is_header_done()) {
    return false;
  }
  if (!IsValidStatus(this->parser->get().result_int())) {
    return true;
  }
  // A failed write takes the socket's error, so that a read after it ends like a clean end of the
  // connection even if the other side reset it.
  return this->parser->need_eof() &&
         (!this->request.allowCloseDelimited || !this->serializer->is_done());
}

bool
OutgoingExchange::ReserveBody()
{
  if (!this->parser->is_header_done()) {
    return true;
  }
  std::optional<std::uint64_t> length;
  if (this->parser->content_length() && this->message.method() != http::verb::head) {
    length = *this->parser->content_length();
  }
  const std::size_t more = this->parser->is_done() ? 0 : this->buffer.max_size();
  return ReserveBodyMemory(this->parser->get().body(), length, more, this->reservation);
}

void
OutgoingExchange::OnComplete()
{
  const unsigned status = this->parser->get().result_int();
  if (http::to_status_class(status) == http::status_class::informational) {
    ++this->interimAnswers;
    if (this->interimAnswers > kMaxInterimAnswers) {
      this->Finish(ConnectionBroken{});
    } else {
      this->ReadAnswer();
    }
    return;
  }
  if (this->request.matchesRequest &&
      !this->request.matchesRequest(this->parser->get(), !this->reused)) {
    ++this->strayAnswers;
    if (this->strayAnswers > kMaxStrayAnswers || !this->parser->get().keep_alive()) {
      this->Finish(ConnectionBroken{});
    } else {
      this->ReadAnswer();
    }
    return;
  }
  CompleteAnswer answer{ this->parser->release(), std::move(this->reservation) };
  if (answer.response.keep_alive() && this->strayAnswers == 0 && this->serializer->is_done() &&
      this->buffer.size() == 0) {
    this->network.pool.Return(this->request.endpoint, std::move(*this->connection));
    this->connection.reset();
  }
  this->Finish(std::move(answer));
}

void
OutgoingExchange::ArmSilenceTimer()
{
  if (this->request.silenceLimit) {
    this->stepTimer.Arm(*this->request.silenceLimit,
                        [self = this->shared_from_this()] { self->OnSilence(); });
  }
}

void
OutgoingExchange::OnSilence()
{
  if (!this->done) {
    return;
  }
  this->network.pool.DiscardOpenedBefore(this->request.endpoint, Clock::now());
  if (this->MayHaveSent()) {
    this->Finish(ConnectionBroken{ .silent = true });
  } else {
    this->Finish(NothingSent{});
  }
}

void
OutgoingExchange::OnTimeout()
{
  if (!this->done) {
    return;
  }
  if (this->MayHaveSent()) {
    this->Finish(DeadlineExceeded{});
  } else {
    this->Finish(NothingSent{});
  }
}

void
OutgoingExchange::Finish(OutgoingResult aResult)
{
  Done handler;
  handler.swap(this->done);
  this->Close();
  if (handler) {
    handler(std::move(aResult));
  }
}

void
OutgoingExchange::Close()
{
  this->totalTimer.Disarm();
  this->stepTimer.Disarm();
  if (this->connection) {
    ErrorCode ignored;
    this->connection->socket.close(ignored);
  }
}

} // namespace jackdawwind::node
