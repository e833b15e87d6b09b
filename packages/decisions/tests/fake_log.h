// Hand-written stand-in for the platform's log service, for tests of decisions.
//
// Append and Read work on the spot; a test decides which answers a node gets to see.
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

  /// At most aLimit records from aFrom on that have not expired.
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

  /// Forgets the records before an offset.
  void Expire(const std::string& aStream, std::uint64_t aBefore)
  {
    this->firstRetained[aStream] = aBefore;
  }

  std::uint64_t End(const std::string& aStream) { return this->streams[aStream].size(); }

private:
  std::map<std::string, std::vector<Record>> streams;
  std::map<std::string, std::uint64_t> firstRetained;
};

} // namespace jackdawwind
