// Program standin_caller: sends requests to a node and prints a summary as JSON.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include "standins/caller/caller.h"
#include "standins/common/program.h"

namespace jackdawwind::standins {

namespace {

cxxopts::ParseResult
Parse(int aCount, char** aArguments)
{
  cxxopts::Options options("standin_caller", "Stand-in for a caller, for tests");
  cxxopts::OptionAdder add = options.add_options();
  add("host", "IP address of the node", cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "port of the node's caller listener", cxxopts::value<std::uint16_t>());
  add("method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"));
  add("path", "request path, which starts with the service", cxxopts::value<std::string>());
  add("key", "tenant key", cxxopts::value<std::string>()->default_value(""));
  add("tag", "prefix of the request tags", cxxopts::value<std::string>()->default_value("t"));
  add("idempotency-key",
      "prefix of the idempotency keys; empty for none",
      cxxopts::value<std::string>()->default_value(""));
  add("count", "number of requests", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("rate",
      "requests per second; 0 for closed-loop load",
      cxxopts::value<double>()->default_value("0"));
  add("concurrency",
      "requests in flight without a rate",
      cxxopts::value<std::uint32_t>()->default_value("1"));
  add(
    "retries", "maximum re-sends per request", cxxopts::value<std::uint32_t>()->default_value("0"));
  add("timeout-ms",
      "timeout of each attempt, in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("10000"));
  add(
    "deadline-ms", "X-Timeout-Ms; 0 for none", cxxopts::value<std::uint64_t>()->default_value("0"));
  add("body-bytes",
      "size of each request body in bytes",
      cxxopts::value<std::size_t>()->default_value("0"));
  return options.parse(aCount, aArguments);
}

int
Run(int aCount, char** aArguments)
{
  const cxxopts::ParseResult parsed = Parse(aCount, aArguments);
  Caller::Options options;
  options.node =
    boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(parsed["host"].as<std::string>()),
                                   parsed["port"].as<std::uint16_t>());
  options.method = parsed["method"].as<std::string>();
  options.path = parsed["path"].as<std::string>();
  options.key = parsed["key"].as<std::string>();
  options.tag = parsed["tag"].as<std::string>();
  options.idempotencyKey = parsed["idempotency-key"].as<std::string>();
  options.count = parsed["count"].as<std::uint64_t>();
  options.rate = parsed["rate"].as<double>();
  options.concurrency = parsed["concurrency"].as<std::uint32_t>();
  options.retries = parsed["retries"].as<std::uint32_t>();
  options.timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::int64_t>());
  options.timeoutHeaderMs = parsed["deadline-ms"].as<std::uint64_t>();
  options.bodyBytes = parsed["body-bytes"].as<std::size_t>();
  boost::asio::io_context context;
  Caller caller(context, options);
  caller.Start([&context] { context.stop(); });
  context.run();
  std::cout << caller.Report() << std::endl;
  return EXIT_SUCCESS;
}

} // namespace

} // namespace jackdawwind::standins

int
main(int aCount, char** aArguments)
{
  return jackdawwind::standins::RunProgram("standin_caller", [aCount, aArguments] {
    return jackdawwind::standins::Run(aCount, aArguments);
  });
}
