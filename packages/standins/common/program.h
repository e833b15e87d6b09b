// Shared by the main functions of the stand-in programs.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

namespace jackdawwind::standins {

/// Runs aBody and returns its exit status; prints an exception to stderr and returns EXIT_FAILURE.
int RunProgram(const char* aName, const std::function<int()>& aBody);

/// Runs the event loop until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& aContext);

} // namespace jackdawwind::standins
