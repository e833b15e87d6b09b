// Program standin_target: stand-in for a target in multi-process tests.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include "standins/common/program.h"
#include "standins/target/target.h"

namespace jackdawwind::standins {

namespace {

cxxopts::ParseResult
Parse(int aCount, char** aArguments)
{
  cxxopts::Options options("standin_target", "Stand-in for a target, for tests");
  cxxopts::OptionAdder add = options.add_options();
  add("port",
      "TCP port; 0 selects an ephemeral port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("node-host",
      "IP address of the node",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("node-port", "port of the node's target listener", cxxopts::value<std::uint16_t>());
  add("service", "announced service", cxxopts::value<std::string>());
  add("service-ms",
      "execution time of a request, in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("slots",
      "maximum concurrent requests; 0 for no limit",
      cxxopts::value<std::uint32_t>()->default_value("0"));
  add("status", "HTTP status of answers", cxxopts::value<std::uint32_t>()->default_value("200"));
  add("cold-start-ms",
      "time in milliseconds announced as starting",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("child-path",
      "path of a child call per request; empty for none",
      cxxopts::value<std::string>()->default_value(""));
  add("answer-bytes",
      "size of the filler in an answer, in bytes",
      cxxopts::value<std::size_t>()->default_value("16"));
  return options.parse(aCount, aArguments);
}

int
Run(int aCount, char** aArguments)
{
  const cxxopts::ParseResult parsed = Parse(aCount, aArguments);
  Target::Options options;
  options.port = parsed["port"].as<std::uint16_t>();
  options.service = parsed["service"].as<std::string>();
  options.node = boost::asio::ip::tcp::endpoint(
    boost::asio::ip::make_address(parsed["node-host"].as<std::string>()),
    parsed["node-port"].as<std::uint16_t>());
  options.behaviour =
    TargetFaults({ .status = parsed["status"].as<std::uint32_t>(),
                   .serviceMs = std::chrono::milliseconds(parsed["service-ms"].as<std::int64_t>()),
                   .slots = parsed["slots"].as<std::uint32_t>() });
  options.coldStart = std::chrono::milliseconds(parsed["cold-start-ms"].as<std::int64_t>());
  options.childPath = parsed["child-path"].as<std::string>();
  options.answerBytes = parsed["answer-bytes"].as<std::size_t>();
  boost::asio::io_context context;
  const Target target(context, options);
  std::cout << "listening " << target.Port() << std::endl;
  RunUntilSignal(context);
  return EXIT_SUCCESS;
}

} // namespace

} // namespace jackdawwind::standins

int
main(int aCount, char** aArguments)
{
  return jackdawwind::standins::RunProgram("standin_target", [aCount, aArguments] {
    return jackdawwind::standins::Run(aCount, aArguments);
  });
}
