// Configuration in force, from what has been read of the control stream.
//
//   ControlReplay replay;
//   replay.Receive(read);                     // again and again, from replay.Next()
//   if (replay.State() != nullptr) { ... }
//
// Begins with the empty configuration when the stream's first record is retained, otherwise with
// the first snapshot whose later records have all been read. When records expire before they are
// read, it begins anew. No I/O.
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
  /// Takes an answer to a read from Next().
  void Receive(const LogRead& aRead);

  /// Offset to read from next.
  std::uint64_t Next() const { return this->next; }
  /// Configuration after the records read; null while no starting point has been read.
  const ControlState* State() const { return this->state ? &*this->state : nullptr; }

  /// Sets the revision whose verdict is wanted.
  void Watch(std::string aRevision) { this->watched = std::move(aRevision); }
  /// Verdict on the watched revision; NoChange until it is known.
  const ApplyResult& Verdict() const { return this->verdict; }

private:
  void Begin(ControlState aState);
  void Apply(const LogRecord& aRecord);

  std::uint64_t next = 0;
  /// Offset from which all records have been read.
  std::uint64_t readFrom = 0;
  std::optional<ControlState> state;
  /// Records read before there is a state.
  std::vector<LogRecord> early;
  std::string watched;
  ApplyResult verdict;
};

} // namespace jackdawwind::control
