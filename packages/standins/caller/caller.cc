#include "standins/caller/caller.h"

#include <algorithm>
#include <array>
#include <utility>

#include <json/value.h>

#include "wire/codec.h"

namespace jackdawwind::standins {

namespace {

namespace http = boost::beast::http;

double
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

Json::Value
ToJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  Json::Value out(Json::objectValue);
  for (const std::pair<const std::string, std::uint64_t>& entry : aCounts) {
    out[entry.first] = static_cast<Json::UInt64>(entry.second);
  }
  return out;
}

} // namespace

Caller::Caller(boost::asio::io_context& aContext, Options aOptions)
  : context(aContext)
  , options(std::move(aOptions))
  , timer(aContext)
{
}

void
Caller::Start(std::function<void()> aFinished)
{
  this->onFinished = std::move(aFinished);
  this->runStarted = Clock::now();
  if (this->options.rate > 0) {
    this->SendAtRate();
    return;
  }
  for (std::uint32_t index = 0; index < this->options.concurrency; ++index) {
    this->SendNext();
  }
}

void
Caller::SendNext()
{
  if (this->nextNumber < this->options.count) {
    this->Send(
      PendingRequest{ .number = this->nextNumber++, .attempts = 0, .started = Clock::now() });
  }
}

void
Caller::SendAtRate()
{
  if (this->nextNumber >= this->options.count) {
    return;
  }
  this->SendNext();
  const std::chrono::duration<double> offset(static_cast<double>(this->nextNumber) /
                                             this->options.rate);
  this->timer.expires_at(this->runStarted + std::chrono::duration_cast<Duration>(offset));
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->SendAtRate();
    }
  });
}

HttpClient::Message
Caller::BuildRequest(const PendingRequest& aPending) const
{
  const std::string suffix = "-" + std::to_string(aPending.number);
  HttpClient::Message message;
  message.version(11);
  message.method_string(this->options.method);
  message.target(this->options.path);
  message.set(http::field::host, "node");
  message.set("X-Request-Tag", this->options.tag + suffix);
  if (!this->options.key.empty()) {
    message.set("X-Tenant-Key", this->options.key);
  }
  if (!this->options.idempotencyKey.empty()) {
    message.set("Idempotency-Key", this->options.idempotencyKey + suffix);
  }
  if (this->options.timeoutHeaderMs > 0) {
    message.set("X-Timeout-Ms", std::to_string(this->options.timeoutHeaderMs));
  }
  message.body() = std::string(this->options.bodyBytes, 'b');
  message.prepare_payload();
  return message;
}

void
Caller::Send(PendingRequest aPending)
{
  std::shared_ptr<HttpClient> client;
  if (this->idle.empty()) {
    client = std::make_shared<HttpClient>(this->context, this->options.node);
  } else {
    client = this->idle.back();
    this->idle.pop_back();
  }
  ++aPending.attempts;
  client->Send(this->BuildRequest(aPending),
               this->options.timeout,
               [this, client, aPending](const std::optional<HttpReply>& aReply) {
                 this->OnReply(client, aPending, aReply);
               });
}

void
Caller::OnReply(const std::shared_ptr<HttpClient>& aClient,
                PendingRequest aPending,
                const std::optional<HttpReply>& aReply)
{
  this->idle.push_back(aClient);
  const bool succeeded =
    aReply && http::to_status_class(aReply->result()) == http::status_class::successful;
  if (!succeeded && aPending.attempts <= this->options.retries) {
    ++this->resent;
    this->Send(aPending);
    return;
  }
  std::string result = "none";
  std::string run = "none";
  if (aReply) {
    result = std::string((*aReply)["X-Jackdaw-Result"]);
    run = std::string((*aReply)["X-Jackdaw-Run"]);
    ++this->statuses[aReply->result_int()];
  }
  ++this->results[result];
  ++this->runStates[run];
  this->latencies.push_back(Clock::now() - aPending.started);
  ++this->completed;
  if (this->completed == this->options.count) {
    this->onFinished();
  } else if (this->options.rate <= 0) {
    this->SendNext();
  }
}

std::string
Caller::Report() const
{
  constexpr std::array<unsigned, 4> kPercentiles{ 50, 90, 99, 100 };
  constexpr std::size_t kHundredPercent = 100;
  std::vector<Duration> sorted = this->latencies;
  std::sort(sorted.begin(), sorted.end());
  Json::Value report(Json::objectValue);
  report["requests"] = static_cast<Json::UInt64>(this->completed);
  report["resent"] = static_cast<Json::UInt64>(this->resent);
  report["results"] = ToJson(this->results);
  report["run_states"] = ToJson(this->runStates);
  report["statuses"] = Json::Value(Json::objectValue);
  for (const std::pair<const unsigned, std::uint64_t>& entry : this->statuses) {
    report["statuses"][std::to_string(entry.first)] = static_cast<Json::UInt64>(entry.second);
  }
  report["seconds"] = std::chrono::duration<double>(Clock::now() - this->runStarted).count();
  report["latency_ms"] = Json::Value(Json::objectValue);
  for (const unsigned percentile : kPercentiles) {
    if (!sorted.empty()) {
      const std::size_t index =
        std::min(sorted.size() - 1, sorted.size() * percentile / kHundredPercent);
      report["latency_ms"]["p" + std::to_string(percentile)] = ToMilliseconds(sorted[index]);
    }
  }
  return wire::ToJsonText(report);
}

} // namespace jackdawwind::standins
