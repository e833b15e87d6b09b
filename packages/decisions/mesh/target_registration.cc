#include "decisions/mesh/target_registration.h"

#include <utility>

namespace jackdawwind {

bool
TargetRegistration::IsStale(const TargetHeartbeat& aBeat) const
{
  if (aBeat.Instance() == this->endedInstance && aBeat.StartedAtMs() <= this->endedBorn) {
    return true;
  }
  if (!this->current) {
    return false;
  }
  if (aBeat.StartedAtMs() != this->current->StartedAtMs()) {
    return aBeat.StartedAtMs() < this->current->StartedAtMs();
  }
  return aBeat.Instance() == this->current->Instance() &&
         aBeat.Sequence() <= this->current->Sequence();
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
