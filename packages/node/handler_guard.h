// Boundary for exceptions on the threads that handle bytes from outside.
//
//   this->thread = std::thread([this] { RunEventLoop(this->io, this->report, "mesh_io"); });
//   if (!RunGuarded(this->report, "mesh_io", [&] { ... one step of a batch ... })) { ... }
//
// A library may throw for input that nobody foresaw. The exception then ends what one message
// began, with a log line and a counter, and not the process with the requests of all others. The
// decision thread has no such boundary: after an exception its state could not be trusted.
#pragma once

#include <exception>

#include "node/net.h"
#include "node/report_item.h"

namespace jackdawwind::node {

/// Counts and logs an exception that a handler on aThread has thrown.
void ReportException(const ReportSink& aReport, const char* aThread, const std::exception& aError);

/// Runs the event loop until it is stopped or out of work; a handler that throws is reported.
void RunEventLoop(asio::io_context& aIo, const ReportSink& aReport, const char* aThread);

/// Runs aStep; returns false if it threw, which is reported.
template<typename Step>
bool
RunGuarded(const ReportSink& aReport, const char* aThread, Step aStep)
{
  try {
    aStep();
    return true;
  } catch (const std::exception& error) {
    ReportException(aReport, aThread, error);
    return false;
  }
}

} // namespace jackdawwind::node
