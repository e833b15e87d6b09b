// Writes numbered log events to standard output, one line of key=value pairs each, by
// easylogging++.
//
//   LogWriter writer(LogLevel::kInfo, "node-1");
//   writer.Write(LogEvent::kNodeStarted, "callers=8080");
//   // time=... level=info event=100 name=node_started node=node-1 callers=8080
//
// Only one object of the class may live in a process, since the library keeps global state.
#pragma once

#include <string>

#include "values/generated/log_events.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class LogWriter
{
public:
  LogWriter(LogLevel aLeastLevel, std::string aNode);

  /// Writes an event unless it is below the least level; aDetail is made safe for one line.
  void Write(LogEvent aEvent, const std::string& aDetail) const;

private:
  LogLevel leastLevel;
  std::string node;
};

} // namespace jackdawwind::node
