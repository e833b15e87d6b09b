#include "operator/control_replay.h"

#include <utility>
#include <variant>

namespace jackdawwind::control {

void
ControlReplay::Receive(const LogRead& aRead)
{
  if (aRead.FirstRetained() > this->next) {
    this->state.reset();
    this->recordsBeforeState.clear();
    this->contiguousFrom = aRead.FirstRetained();
  }
  if (!this->state && this->contiguousFrom == 0) {
    this->StartFrom(ControlState());
  }
  for (const LogRecord& record : aRead.Records()) {
    if (this->state) {
      this->Apply(record);
      continue;
    }
    this->recordsBeforeState.push_back(record);
    const ConfigSnapshot* snapshot = std::get_if<ConfigSnapshot>(&record.GetRecord());
    if (snapshot != nullptr && snapshot->AsOf() >= this->contiguousFrom) {
      this->StartFrom(ControlState(*snapshot));
    }
  }
  this->next = aRead.Next();
}

void
ControlReplay::StartFrom(ControlState aState)
{
  if (!this->awaitedRevision.empty() && aState.Revision() == this->awaitedRevision) {
    this->awaitedResult = ChangeAccepted{ this->awaitedRevision };
  }
  this->state = std::move(aState);
  for (const LogRecord& record : std::exchange(this->recordsBeforeState, {})) {
    this->Apply(record);
  }
}

void
ControlReplay::Apply(const LogRecord& aRecord)
{
  this->state->SkipTo(aRecord.Offset());
  const ApplyResult result = this->state->Apply(aRecord);
  const ConfigChange* change = std::get_if<ConfigChange>(&aRecord.GetRecord());
  const bool isAwaited = change != nullptr && !this->awaitedRevision.empty() &&
                         change->Revision() == this->awaitedRevision &&
                         std::holds_alternative<NoChange>(this->awaitedResult);
  if (isAwaited) {
    this->awaitedResult = result;
  }
}

} // namespace jackdawwind::control
