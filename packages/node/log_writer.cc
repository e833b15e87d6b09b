#include "node/log_writer.h"

#include <algorithm>
#include <utility>

#include <easylogging++.h>

#include "util/clock.h"
#include "values/text.h"

INITIALIZE_EASYLOGGINGPP

namespace jackdawwind::node {

namespace {

constexpr const char* kLoggerName = "jackdawwind";

std::string
ReplaceControlCharacters(std::string aText)
{
  std::replace_if(
    aText.begin(), aText.end(), [](unsigned char aCharacter) { return aCharacter < ' '; }, ' ');
  return aText;
}

} // namespace

LogWriter::LogWriter(LogLevel aMinLevel, std::string aNode)
  : minLevel(aMinLevel)
  , node(std::move(aNode))
{
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::getLogger(kLoggerName);
  el::Loggers::reconfigureLogger(kLoggerName, configuration);
}

LogWriter::~LogWriter()
{
  this->Flush();
}

void
LogWriter::Write(LogEvent aEvent, const std::string& aDetail)
{
  const LogLevel level = LevelOf(aEvent);
  if (level < this->minLevel) {
    return;
  }
  std::string line = "time=" + std::to_string(WallTime().count()) +
                     " level=" + std::string(ToText(level)) +
                     " event=" + std::to_string(static_cast<unsigned>(aEvent)) +
                     " name=" + std::string(ToText(aEvent)) + " node=" + this->node;
  if (!aDetail.empty()) {
    line += " " + ReplaceControlCharacters(aDetail);
  }
  this->lines += this->lines.empty() ? line : "\n" + line;
  if (this->lines.size() > kMaxBufferedBytes) {
    this->Flush();
  }
}

void
LogWriter::Flush()
{
  if (this->lines.empty()) {
    return;
  }
  // The library adds only the end of the last line; the level of each event is in its own line.
  CLOG(INFO, kLoggerName) << this->lines;
  this->lines.clear();
}

} // namespace jackdawwind::node
