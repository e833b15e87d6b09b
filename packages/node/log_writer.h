// Writes numbered log events to standard output with easylogging++, one line of key=value pairs per
// event.
//
//   LogWriter writer(LogLevel::kInfo, "node-1");
//   writer.Write(LogEvent::kNodeStarted, "callers=8080");
//   // time=... level=info event=100 name=node_started node=node-1 callers=8080
//
// A process may hold only one object of this class at a time, since the library has global state.
#pragma once

#include <string>

#include "values/generated/log_events.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class LogWriter
{
public:
  LogWriter(LogLevel aMinLevel, std::string aNode);

  /// Writes an event whose level is at least the minimum level. Control characters in aDetail are
  /// replaced by spaces, so that an event is always one line.
  void Write(LogEvent aEvent, const std::string& aDetail) const;

private:
  LogLevel minLevel;
  std::string node;
};

} // namespace jackdawwind::node
