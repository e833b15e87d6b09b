// Writes numbered log events to standard output with easylogging++, one line of key=value pairs per
// event.
//
//   LogWriter writer(LogLevel::kInfo, "node-1");
//   writer.Write(LogEvent::kNodeStarted, "callers=8080");
//   writer.Flush();
//   // time=... level=info event=100 name=node_started node=node-1 callers=8080
//
// Lines are collected until Flush or until they exceed kMaxBufferedBytes, so that many of them cost
// one system call.
//
// A process may hold only one object of this class at a time, since the library has global state.
#pragma once

#include <cstddef>
#include <string>

#include "values/generated/log_events.h"
#include "values/generated/settings.h"

namespace jackdawwind::node {

class LogWriter
{
public:
  LogWriter(LogLevel aMinLevel, std::string aNode);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Adds the line of an event whose level is at least the minimum level. Control characters in
  /// aDetail are replaced by spaces, so that an event is always one line.
  void Write(LogEvent aEvent, const std::string& aDetail);
  /// Writes the collected lines.
  void Flush();

private:
  static constexpr std::size_t kMaxBufferedBytes = 16384;

  LogLevel minLevel;
  std::string node;
  /// Collected lines, without the last line's end.
  std::string lines;
};

} // namespace jackdawwind::node
