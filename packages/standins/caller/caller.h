// Stand-in for a caller: sends requests to a node and summarises the results.
//
//   Caller caller(context, options);
//   caller.Start([&] { std::cout << caller.Report() << std::endl; });
//
// With a rate, the load is open-loop: requests start at fixed times regardless of the answers.
// Otherwise it is closed-loop with `concurrency` requests in flight.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standins/common/http_client.h"
#include "util/clock.h"

namespace jackdawwind::standins {

class Caller
{
public:
  struct Options
  {
    boost::asio::ip::tcp::endpoint node;
    std::string method = "GET";
    std::string path = "/";
    /// X-Tenant-Key; empty for none.
    std::string key;
    /// X-Request-Tag; "-" and the number of the request are appended.
    std::string tag = "t";
    /// Idempotency-Key, with the same suffix as the tag; empty for none.
    std::string idempotencyKey;
    /// Number of requests, re-sends not included.
    std::uint64_t count = 1;
    /// Requests per second; 0 for closed-loop load.
    double rate = 0;
    std::uint32_t concurrency = 1;
    /// Maximum re-sends per request, after a failed exchange or an answer other than 2xx.
    std::uint32_t retries = 0;
    /// Timeout of each attempt.
    std::chrono::milliseconds timeout{ 10000 };
    /// X-Timeout-Ms; 0 for none.
    std::uint64_t timeoutHeaderMs = 0;
    std::size_t bodyBytes = 0;
  };

  Caller(boost::asio::io_context& aContext, Options aOptions);

  /// Starts sending; aFinished runs after the last request.
  void Start(std::function<void()> aFinished);
  /// Counts per result and latency percentiles as one line of JSON.
  std::string Report() const;

private:
  /// A request without a final answer.
  struct PendingRequest
  {
    std::uint64_t number = 0;
    std::uint32_t attempts = 0;
    Time started;
  };

  void SendNext();
  void SendAtRate();
  void Send(PendingRequest aPending);
  void OnReply(const std::shared_ptr<HttpClient>& aClient,
               PendingRequest aPending,
               const std::optional<HttpReply>& aReply);
  HttpClient::Message BuildRequest(const PendingRequest& aPending) const;

  boost::asio::io_context& context;
  Options options;
  boost::asio::basic_waitable_timer<Clock> timer;
  std::function<void()> onFinished;
  /// Connections without a request in flight.
  std::vector<std::shared_ptr<HttpClient>> idle;
  Time runStarted;
  std::uint64_t nextNumber = 0;
  std::uint64_t completed = 0;
  std::uint64_t resent = 0;
  std::map<std::string, std::uint64_t> results;
  std::map<std::string, std::uint64_t> runStates;
  std::map<unsigned, std::uint64_t> statuses;
  std::vector<Duration> latencies;
};

} // namespace jackdawwind::standins
