// What the main functions of all stand-in programs share.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

namespace jackdawwind::standins {

/// Runs a program's body and returns its exit status; an exception is printed and becomes a
/// failure.
int RunProgram(const char* aName, const std::function<int()>& aBody);

/// Runs the loop until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& aContext);

} // namespace jackdawwind::standins
