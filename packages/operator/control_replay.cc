#include "operator/control_replay.h"

#include <utility>
#include <variant>

namespace jackdawwind::control {

void
ControlReplay::Receive(const LogRead& aRead)
{
  if (aRead.FirstRetained() > this->next) {
    this->state.reset();
    this->early.clear();
    this->readFrom = aRead.FirstRetained();
  }
  if (!this->state && this->readFrom == 0) {
    this->Begin(ControlState());
  }
  for (const LogRecord& record : aRead.Records()) {
    if (this->state) {
      this->Apply(record);
      continue;
    }
    this->early.push_back(record);
    const ConfigSnapshot* snapshot = std::get_if<ConfigSnapshot>(&record.GetRecord());
    if (snapshot != nullptr && snapshot->AsOf() >= this->readFrom) {
      this->Begin(ControlState(*snapshot));
    }
  }
  this->next = aRead.Next();
}

void
ControlReplay::Begin(ControlState aState)
{
  if (!this->watched.empty() && aState.Revision() == this->watched) {
    this->verdict = ChangeAccepted{ this->watched };
  }
  this->state = std::move(aState);
  for (const LogRecord& record : std::exchange(this->early, {})) {
    this->Apply(record);
  }
}

void
ControlReplay::Apply(const LogRecord& aRecord)
{
  this->state->SkipTo(aRecord.Offset());
  const ApplyResult result = this->state->Apply(aRecord);
  const ConfigChange* change = std::get_if<ConfigChange>(&aRecord.GetRecord());
  const bool wanted = change != nullptr && !this->watched.empty() &&
                      change->Revision() == this->watched &&
                      std::holds_alternative<NoChange>(this->verdict);
  if (wanted) {
    this->verdict = result;
  }
}

} // namespace jackdawwind::control
