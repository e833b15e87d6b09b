// Hand-written fake of the platform's log service.
//
//   FakeLog log;
//   log.Append("control", records);
//   LogRead read = log.Read("control", 0);
//
// Append and Read act immediately; a test decides which results it delivers to a node.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "values/generated/calls.h"

namespace jackdawwind {

class FakeLog
{
public:
  /// Appends the records and returns the offset of the first.
  std::uint64_t Append(const std::string& aStream, const std::vector<Record>& aRecords)
  {
    std::vector<Record>& stream = this->streams[aStream];
    const std::uint64_t first = stream.size();
    stream.insert(stream.end(), aRecords.begin(), aRecords.end());
    return first;
  }

  /// Reads at most aLimit retained records from aFrom on.
  LogRead Read(const std::string& aStream, std::uint64_t aFrom, std::uint64_t aLimit = 1000)
  {
    const std::vector<Record>& stream = this->streams[aStream];
    const std::uint64_t first = this->firstRetained[aStream];
    const std::uint64_t begin = std::max(aFrom, first);
    const std::uint64_t end = std::min<std::uint64_t>(stream.size(), begin + aLimit);
    std::vector<LogRecord> records;
    for (std::uint64_t offset = begin; offset < end; ++offset) {
      records.push_back(LogRecord({ .offset = offset, .record = stream[offset] }));
    }
    return LogRead({ .stream = aStream,
                     .firstRetained = first,
                     .records = records,
                     .next = std::max(begin, end),
                     .end = stream.size() });
  }

  /// Expires the records before an offset.
  void Expire(const std::string& aStream, std::uint64_t aBefore)
  {
    this->firstRetained[aStream] = aBefore;
  }

  /// Offset after the last record.
  std::uint64_t End(const std::string& aStream) { return this->streams[aStream].size(); }

private:
  std::map<std::string, std::vector<Record>> streams;
  std::map<std::string, std::uint64_t> firstRetained;
};

} // namespace jackdawwind
