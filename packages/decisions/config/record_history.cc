#include "decisions/config/record_history.h"

#include <variant>

namespace jackdawwind {

void
RecordHistory::Add(const LogRecord& aRecord)
{
  if (std::holds_alternative<ConfigSnapshot>(aRecord.GetRecord())) {
    return;
  }
  this->records.push_back(aRecord);
  if (this->records.size() > kMaxRecords) {
    this->firstOffset = this->records.front().Offset() + 1;
    this->records.pop_front();
  }
}

void
RecordHistory::Reset(std::uint64_t aOffset)
{
  this->records.clear();
  this->firstOffset = aOffset;
}

std::optional<std::vector<LogRecord>>
RecordHistory::RecordsFrom(std::uint64_t aOffset) const
{
  if (aOffset < this->firstOffset) {
    return std::nullopt;
  }
  std::vector<LogRecord> missing;
  for (const LogRecord& record : this->records) {
    if (record.Offset() >= aOffset) {
      missing.push_back(record);
    }
  }
  return missing;
}

} // namespace jackdawwind
