// Program standin_log: stand-in for the platform's log service in multi-process tests.
#include <cstdint>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "standins/common/program.h"
#include "standins/log_service/log_service.h"

namespace jackdawwind::standins {

namespace {

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options("standin_log", "Stand-in for the platform's log service, for tests");
  cxxopts::OptionAdder add = options.add_options();
  add("port",
      "TCP port on 127.0.0.1; 0 selects an ephemeral port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("retention-ms",
      "age in milliseconds at which records expire",
      cxxopts::value<std::int64_t>()->default_value("86400000"));
  add("help", "prints this help");
  const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  boost::asio::io_context context;
  const LogService service(
    context,
    { .port = parsed["port"].as<std::uint16_t>(),
      .retention = std::chrono::milliseconds(parsed["retention-ms"].as<std::int64_t>()) });
  std::cout << "listening " << service.Port() << std::endl;
  RunUntilSignal(context);
  return EXIT_SUCCESS;
}

} // namespace

} // namespace jackdawwind::standins

int
main(int aCount, char** aArguments)
{
  return jackdawwind::standins::RunProgram(
    "standin_log", [aCount, aArguments] { return jackdawwind::standins::Run(aCount, aArguments); });
}
