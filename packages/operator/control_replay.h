// Rebuilds the current configuration from the records of the control stream.
//
//   ControlReplay replay;
//   replay.Receive(read);                     // for each read, which starts at replay.Next()
//   if (replay.State() != nullptr) { ... }
//
// Starts from the empty configuration if the stream's first record is retained, otherwise from the
// first snapshot for which all later records have been read. Starts over if records expire before
// they are read. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decisions/config/control_state.h"
#include "values/generated/calls.h"

namespace jackdawwind::control {

class ControlReplay
{
public:
  /// Processes the records of a read that started at Next().
  void Receive(const LogRead& aRead);

  /// Offset to read from next.
  std::uint64_t Next() const { return this->next; }
  /// Configuration after the records read; null until a starting point has been read.
  const ControlState* State() const { return this->state ? &*this->state : nullptr; }

  /// Sets the revision that AwaitedResult() reports on.
  void AwaitRevision(std::string aRevision) { this->awaitedRevision = std::move(aRevision); }
  /// Result of the awaited revision, accepted or rejected; NoChange until it is known.
  const ApplyResult& AwaitedResult() const { return this->awaitedResult; }

private:
  void StartFrom(ControlState aState);
  void Apply(const LogRecord& aRecord);

  std::uint64_t next = 0;
  /// All records from this offset to `next` have been read.
  std::uint64_t contiguousFrom = 0;
  std::optional<ControlState> state;
  /// Records read while there is no state; applied once there is one.
  std::vector<LogRecord> recordsBeforeState;
  std::string awaitedRevision;
  ApplyResult awaitedResult;
};

} // namespace jackdawwind::control
