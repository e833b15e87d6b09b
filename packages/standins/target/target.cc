#include "standins/target/target.h"

#include <json/value.h>

#include "wire/codec.h"
#include "wire/generated/calls_codec.h"
#include "wire/generated/standins_codec.h"

namespace jackdawwind::standins {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr const char* kCallIdHeader = "X-Call-Id";
constexpr const char* kKeyHeader = "X-Tenant-Key";
constexpr const char* kTagHeader = "X-Request-Tag";
constexpr const char* kTimeoutHeader = "X-Timeout-Ms";
constexpr const char* kDeadlineHeader = "X-Deadline-Ms";
/// The node removes a target whose announcement has not been renewed for 3 s.
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(900);
constexpr Duration kChildTimeout = std::chrono::seconds(30);
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

std::string
HeaderOf(const HttpMessage& aMessage, const char* aName)
{
  return std::string(aMessage[aName]);
}

} // namespace

Target::Target(boost::asio::io_context& aContext, Options aOptions)
  : context(aContext)
  , options(std::move(aOptions))
  , behaviour(this->options.behaviour)
  , started(Clock::now())
  , announceTimer(aContext)
  , server(aContext, this->options.port, [this](const Request& aRequest) {
    this->OnRequest(aRequest);
  })
{
  this->Announce();
}

void
Target::OnRequest(const Request& aRequest)
{
  const HttpMessage& message = aRequest->Message();
  const std::string path = aRequest->Path();
  if (message.method() == http::verb::get && path == "/counts") {
    aRequest->Answer(kOk, this->Counts());
  } else if (message.method() == http::verb::put && path == "/faults") {
    this->SetFaults(aRequest);
  } else if (message.method() == http::verb::post && path == "/drain") {
    this->draining = true;
    this->Announce();
    aRequest->Answer(kOk, "{}");
  } else {
    this->OnCall(aRequest);
  }
}

void
Target::OnCall(const Request& aRequest)
{
  const HttpMessage& message = aRequest->Message();
  this->sawKey = this->sawKey || message.find(kKeyHeader) != message.end();
  const bool atSlotLimit = this->behaviour.Slots() != 0 && this->running >= this->behaviour.Slots();
  if (atSlotLimit) {
    ++this->refused;
    aRequest->Answer(kUnavailable, "{}");
    return;
  }
  ++this->running;
  ++this->executions[{ aRequest->Path(), HeaderOf(message, kTagHeader) }];
  const CallPointer call = std::make_shared<Call>(Call{ aRequest });
  aRequest->OnAbandoned([this, call] {
    if (this->FinishCall(call)) {
      ++this->abandoned;
    }
  });
  if (this->options.childPath.empty()) {
    this->Execute(call);
  } else {
    this->CallChild(call);
  }
}

void
Target::CallChild(const CallPointer& aCall)
{
  const HttpMessage& message = aCall->request->Message();
  HttpClient::Message child(http::verb::get, this->options.childPath, 11);
  child.set(http::field::host, "node");
  child.set(kCallIdHeader, HeaderOf(message, kCallIdHeader));
  child.set(kTagHeader, HeaderOf(message, kTagHeader));
  child.set(kTimeoutHeader, HeaderOf(message, kDeadlineHeader));
  const std::shared_ptr<HttpClient> client =
    std::make_shared<HttpClient>(this->context, this->options.node);
  client->Send(
    std::move(child), kChildTimeout, [this, client, aCall](const std::optional<HttpReply>& aReply) {
      if (aReply && aReply->result() == http::status::ok) {
        this->Execute(aCall);
      } else {
        this->AnswerComplete(aCall, kBadGateway);
      }
    });
}

void
Target::Execute(const CallPointer& aCall)
{
  if (this->behaviour.ServiceMs() <= std::chrono::milliseconds(0)) {
    this->Answer(aCall);
    return;
  }
  const std::shared_ptr<Timer> timer = std::make_shared<Timer>(this->context);
  timer->expires_after(this->behaviour.ServiceMs());
  timer->async_wait([this, timer, aCall](const error_code& aError) {
    if (!aError) {
      this->Answer(aCall);
    }
  });
}

void
Target::Answer(const CallPointer& aCall)
{
  const std::string body(this->options.answerBytes, 'x');
  const unsigned status = this->behaviour.Status();
  switch (this->behaviour.Answer()) {
    case TargetAnswerMode::kWhole:
      this->AnswerComplete(aCall, status);
      return;
    case TargetAnswerMode::kTruncated:
      aCall->request->AnswerRaw("HTTP/1.1 " + std::to_string(status) + " Cut\r\nContent-Length: " +
                                std::to_string(body.size() + 1) + "\r\n\r\n" + body);
      break;
    case TargetAnswerMode::kGarbled:
      aCall->request->AnswerRaw("\x01\x02 this is not HTTP\r\n\r\n");
      break;
    case TargetAnswerMode::kDropped:
      aCall->request->Close();
      break;
  }
  this->FinishCall(aCall);
}

void
Target::AnswerComplete(const CallPointer& aCall, unsigned aStatus)
{
  if (!this->FinishCall(aCall)) {
    return;
  }
  Json::Value body(Json::objectValue);
  body["path"] = aCall->request->Path();
  body["tag"] = HeaderOf(aCall->request->Message(), kTagHeader);
  body["filler"] = std::string(this->options.answerBytes, 'x');
  aCall->request->Answer(aStatus, wire::ToJsonText(body));
}

bool
Target::FinishCall(const CallPointer& aCall)
{
  if (aCall->ended) {
    return false;
  }
  aCall->ended = true;
  --this->running;
  return true;
}

void
Target::SetFaults(const Request& aRequest)
{
  const wire::Decoded<TargetFaults> faults =
    wire::DecodeText<TargetFaults>(aRequest->Message().body());
  if (std::holds_alternative<wire::DecodeError>(faults)) {
    aRequest->Answer(kBadRequest, "{}");
    return;
  }
  this->behaviour = std::get<TargetFaults>(faults);
  aRequest->Answer(kOk, "{}");
}

std::string
Target::Counts() const
{
  Json::Value counts(Json::objectValue);
  counts["saw_key"] = this->sawKey;
  counts["running"] = this->running;
  counts["refused"] = static_cast<Json::UInt64>(this->refused);
  counts["abandoned"] = static_cast<Json::UInt64>(this->abandoned);
  counts["executions"] = Json::Value(Json::arrayValue);
  for (const std::pair<const std::pair<std::string, std::string>, std::uint64_t>& entry :
       this->executions) {
    Json::Value execution(Json::objectValue);
    execution["path"] = entry.first.first;
    execution["tag"] = entry.first.second;
    execution["count"] = static_cast<Json::UInt64>(entry.second);
    counts["executions"].append(execution);
  }
  return wire::ToJsonText(counts);
}

TargetState
Target::State() const
{
  if (this->draining) {
    return TargetState::kDraining;
  }
  const bool coldStarting = Clock::now() - this->started < this->options.coldStart;
  return coldStarting ? TargetState::kStarting : TargetState::kReady;
}

void
Target::Announce()
{
  const TargetAnnounced announced({ .service = this->options.service,
                                    .host = "127.0.0.1",
                                    .port = this->server.Port(),
                                    .state = this->State() });
  HttpClient::Message message(http::verb::put, "/target", 11);
  message.set(http::field::host, "node");
  message.body() = wire::EncodeText(announced);
  message.prepare_payload();
  std::make_shared<HttpClient>(this->context, this->options.node)
    ->Send(std::move(message), kAnnounceTimeout, [](const std::optional<HttpReply>&) {});
  this->announceTimer.expires_after(kAnnounceInterval);
  this->announceTimer.async_wait([this](const error_code& aError) {
    if (!aError) {
      this->Announce();
    }
  });
}

} // namespace jackdawwind::standins
