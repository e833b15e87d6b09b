// Program standin_log: the platform's log service for tests that run whole processes.
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "standins/log_service/log_service.h"

int
main(int aCount, char** aArguments)
{
  try {
    cxxopts::Options options("standin_log", "Stand-in of the platform's log service, for tests");
    options.add_options()("port",
                          "TCP port on 127.0.0.1; 0 lets the system choose",
                          cxxopts::value<std::uint16_t>()->default_value("0"))(
      "retention-ms",
      "how long records are kept",
      cxxopts::value<std::int64_t>()->default_value("86400000"))("help", "prints this text");
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
      [&context](const boost::system::error_code& /*aError*/, int /*aSignal*/) { context.stop(); });
    const jackdawwind::standins::LogService service(
      context,
      { .port = parsed["port"].as<std::uint16_t>(),
        .retention = std::chrono::milliseconds(parsed["retention-ms"].as<std::int64_t>()) });
    std::cout << "listening " << service.Port() << std::endl;
    context.run();
    return EXIT_SUCCESS;
  } catch (const std::exception& exception) {
    std::cerr << "standin_log: " << exception.what() << "\n";
    return EXIT_FAILURE;
  }
}
