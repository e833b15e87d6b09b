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
Milliseconds(Duration aTime)
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
  this->finished = std::move(aFinished);
  this->begun = Clock::now();
  if (this->options.rate > 0) {
    this->StartByRate();
    return;
  }
  for (std::uint32_t index = 0; index < this->options.concurrency; ++index) {
    this->StartNext();
  }
}

void
Caller::StartNext()
{
  if (this->nextNumber < this->options.count) {
    this->Send(Job{ .number = this->nextNumber++, .tries = 0, .started = Clock::now() });
  }
}

void
Caller::StartByRate()
{
  if (this->nextNumber >= this->options.count) {
    return;
  }
  this->StartNext();
  const std::chrono::duration<double> offset(static_cast<double>(this->nextNumber) /
                                             this->options.rate);
  this->timer.expires_at(this->begun + std::chrono::duration_cast<Duration>(offset));
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->StartByRate();
    }
  });
}

HttpClient::Message
Caller::Request(const Job& aJob) const
{
  const std::string suffix = "-" + std::to_string(aJob.number);
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
Caller::Send(Job aJob)
{
  std::shared_ptr<HttpClient> client;
  if (this->idle.empty()) {
    client = std::make_shared<HttpClient>(this->context, this->options.node);
  } else {
    client = this->idle.back();
    this->idle.pop_back();
  }
  ++aJob.tries;
  client->Send(this->Request(aJob),
               this->options.timeout,
               [this, client, aJob](const std::optional<HttpReply>& aReply) {
                 this->OnReply(client, aJob, aReply);
               });
}

void
Caller::OnReply(const std::shared_ptr<HttpClient>& aClient,
                Job aJob,
                const std::optional<HttpReply>& aReply)
{
  this->idle.push_back(aClient);
  const bool good =
    aReply && http::to_status_class(aReply->result()) == http::status_class::successful;
  if (!good && aJob.tries <= this->options.retries) {
    ++this->resent;
    this->Send(aJob);
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
  this->latencies.push_back(Clock::now() - aJob.started);
  ++this->ended;
  if (this->ended == this->options.count) {
    this->finished();
  } else if (this->options.rate <= 0) {
    this->StartNext();
  }
}

std::string
Caller::Report() const
{
  constexpr std::array<unsigned, 4> kPercentiles{ 50, 90, 99, 100 };
  constexpr std::size_t kWhole = 100;
  std::vector<Duration> sorted = this->latencies;
  std::sort(sorted.begin(), sorted.end());
  Json::Value report(Json::objectValue);
  report["requests"] = static_cast<Json::UInt64>(this->ended);
  report["resent"] = static_cast<Json::UInt64>(this->resent);
  report["results"] = ToJson(this->results);
  report["run_states"] = ToJson(this->runStates);
  report["statuses"] = Json::Value(Json::objectValue);
  for (const std::pair<const unsigned, std::uint64_t>& entry : this->statuses) {
    report["statuses"][std::to_string(entry.first)] = static_cast<Json::UInt64>(entry.second);
  }
  report["seconds"] = std::chrono::duration<double>(Clock::now() - this->begun).count();
  report["latency_ms"] = Json::Value(Json::objectValue);
  for (const unsigned percentile : kPercentiles) {
    if (!sorted.empty()) {
      const std::size_t index = std::min(sorted.size() - 1, sorted.size() * percentile / kWhole);
      report["latency_ms"]["p" + std::to_string(percentile)] = Milliseconds(sorted[index]);
    }
  }
  return wire::ToJsonText(report);
}

} // namespace jackdawwind::standins
