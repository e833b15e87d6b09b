#include "node/handler_guard.h"

#include <string>

namespace jackdawwind::node {

void
ReportException(const ReportSink& aReport, const char* aThread, const std::exception& aError)
{
  aReport(ItemDropped{ "handler_exceptions" });
  ReportEvent(aReport,
              LogEvent::kHandlerFailed,
              std::string("thread=") + aThread + " reason=\"" + aError.what() + "\"");
}

void
RunEventLoop(asio::io_context& aIo, const ReportSink& aReport, const char* aThread)
{
  // run() returns normally once the loop is stopped; after an exception it continues with the next
  // handler.
  while (!RunGuarded(aReport, aThread, [&aIo] { aIo.run(); })) {
  }
}

} // namespace jackdawwind::node
