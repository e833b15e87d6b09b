#include "standins/common/program.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace jackdawwind::standins {

int
RunProgram(const char* aName, const std::function<int()>& aBody)
{
  try {
    return aBody();
  } catch (const std::exception& exception) {
    std::cerr << aName << ": " << exception.what() << "\n";
    return EXIT_FAILURE;
  }
}

void
RunUntilSignal(boost::asio::io_context& aContext)
{
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait(
    [&aContext](const boost::system::error_code& /*aError*/, int /*aSignal*/) { aContext.stop(); });
  aContext.run();
}

} // namespace jackdawwind::standins
