#include "decisions/mesh/target_registration.h"

#include <utility>

namespace jackdawwind {

bool
TargetRegistration::IsStale(const TargetHeartbeat& aBeat) const
{
  if (aBeat.Instance() == this->endedInstance && aBeat.StartedAtMs() <= this->endedBorn) {
    return true;
  }
  const std::optional<TargetHeartbeat>& known = this->current ? this->current : this->lapsed;
  if (!known) {
    return false;
  }
  if (aBeat.StartedAtMs() != known->StartedAtMs()) {
    return aBeat.StartedAtMs() < known->StartedAtMs();
  }
  return aBeat.Instance() == known->Instance() && aBeat.Sequence() <= known->Sequence();
}

TargetRegistration::Verdict
TargetRegistration::Receive(const TargetHeartbeat& aBeat, Time aNow)
{
  if (this->IsStale(aBeat)) {
    return Verdict::kStale;
  }
  const bool unchanged = this->current && this->current->Instance() == aBeat.Instance() &&
                         this->current->StartedAtMs() == aBeat.StartedAtMs() &&
                         this->current->State() == aBeat.State() &&
                         this->current->GetService() == aBeat.GetService() &&
                         this->current->Slots() == aBeat.Slots();
  this->current = aBeat;
  this->lapsed.reset();
  this->leaseEnd = aNow + kLeaseDuration;
  return unchanged ? Verdict::kRenewed : Verdict::kChanged;
}

bool
TargetRegistration::Receive(const TargetDeregistered& aGone)
{
  if (!this->current || this->current->Instance() != aGone.Instance()) {
    return false;
  }
  this->endedInstance = aGone.Instance();
  this->endedBorn = this->current->StartedAtMs();
  TargetHeartbeat::Fields fields = this->current->ToFields();
  fields.state = TargetState::kDraining;
  this->current = TargetHeartbeat(std::move(fields));
  return true;
}

bool
TargetRegistration::Expire(Time aNow)
{
  if (!this->current || aNow < this->leaseEnd) {
    return false;
  }
  if (this->current->StartedAtMs() != 0) {
    // Without its start time a restarted instance, whose sequence begins anew, would look stale.
    this->lapsed = this->current;
  }
  this->current.reset();
  this->leaseEnd = Time::max();
  return true;
}

TargetState
TargetRegistration::State() const
{
  return this->current ? this->current->State() : TargetState::kNone;
}

std::string
TargetRegistration::Service() const
{
  return this->current ? this->current->GetService() : std::string();
}

} // namespace jackdawwind
