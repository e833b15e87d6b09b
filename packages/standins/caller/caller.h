// Stand-in of a caller: sends requests to a node and sums up the results.
//
//   Caller caller(context, options);
//   caller.Start([&] { std::cout << caller.Report() << std::endl; });
//
// With a rate, requests start at fixed times whatever the answers; otherwise `concurrency` requests
// run at once.
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
    std::string key;
    /// X-Request-Tag; "-N" is appended with the number of the request.
    std::string tag = "t";
    /// Idempotency-Key; "-N" is appended as well; empty for none.
    std::string idempotencyKey;
    std::uint64_t count = 1;
    /// Requests per second; 0 to send by concurrency.
    double rate = 0;
    std::uint32_t concurrency = 1;
    /// Re-sends per request by the caller itself, after any answer but 2xx.
    std::uint32_t retries = 0;
    std::chrono::milliseconds timeout{ 10000 };
    /// X-Timeout-Ms; 0 for none.
    std::uint64_t timeoutHeaderMs = 0;
    std::size_t bodyBytes = 0;
  };

  Caller(boost::asio::io_context& aContext, Options aOptions);

  void Start(std::function<void()> aFinished);
  /// Counts per result and latency percentiles as one line of JSON.
  std::string Report() const;

private:
  struct Job
  {
    std::uint64_t number = 0;
    std::uint32_t tries = 0;
    Time started;
  };

  void StartNext();
  void StartByRate();
  void Send(Job aJob);
  void OnReply(const std::shared_ptr<HttpClient>& aClient,
               Job aJob,
               const std::optional<HttpReply>& aReply);
  HttpClient::Message Request(const Job& aJob) const;

  boost::asio::io_context& context;
  Options options;
  boost::asio::basic_waitable_timer<Clock> timer;
  std::function<void()> finished;
  std::vector<std::shared_ptr<HttpClient>> idle;
  Time begun;
  std::uint64_t nextNumber = 0;
  std::uint64_t ended = 0;
  std::uint64_t resent = 0;
  std::map<std::string, std::uint64_t> results;
  std::map<std::string, std::uint64_t> runStates;
  std::map<unsigned, std::uint64_t> statuses;
  std::vector<Duration> latencies;
};

} // namespace jackdawwind::standins
