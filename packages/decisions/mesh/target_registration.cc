#include "decisions/mesh/target_registration.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

bool
TargetRegistration::HasSignedOff(const TargetHeartbeat& aBeat, Time aNow) const
{
  const std::map<std::string, SignOff>::const_iterator found =
    this->signOffs.find(aBeat.Instance());
  return found != this->signOffs.end() && aBeat.StartedAtMs() <= found->second.startedByMs &&
         aNow < found->second.receivedAt + kSignOffLifetime;
}

bool
TargetRegistration::IsStale(const TargetHeartbeat& aBeat, Time aNow) const
{
  if (this->HasSignedOff(aBeat, aNow)) {
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
  if (this->IsStale(aBeat, aNow)) {
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
TargetRegistration::Receive(const TargetDeregistered& aGone, Time aNow)
{
  const bool known = this->current && this->current->Instance() == aGone.Instance();
  if (!known) {
    // Without a stated start, no start before the receipt can be told from the one that ended.
    this->Remember(aGone.Instance(), { aGone.StartedAtMs().value_or(aGone.ReceivedAtMs()), aNow });
    return false;
  }
  const std::optional<std::uint64_t> currentStart = this->current->StartedAtMs();
  const std::optional<std::uint64_t> startedByMs =
    aGone.StartedAtMs() ? aGone.StartedAtMs() : currentStart;
  this->Remember(aGone.Instance(), { startedByMs, aNow });
  if (startedByMs < currentStart) {
    return false;
  }
  TargetHeartbeat::Fields fields = this->current->ToFields();
  fields.state = TargetState::kDraining;
  this->current = TargetHeartbeat(std::move(fields));
  return true;
}

void
TargetRegistration::Remember(const std::string& aInstance, const SignOff& aSignOff)
{
  const std::map<std::string, SignOff>::iterator entry =
    this->signOffs.try_emplace(aInstance, aSignOff).first;
  entry->second = { std::max(entry->second.startedByMs, aSignOff.startedByMs),
                    aSignOff.receivedAt };
  if (this->signOffs.size() > kMaxSignOffs) {
    this->signOffs.erase(
      std::min_element(this->signOffs.begin(),
                       this->signOffs.end(),
                       [](const std::map<std::string, SignOff>::value_type& aLeft,
                          const std::map<std::string, SignOff>::value_type& aRight) {
                         return aLeft.second.receivedAt < aRight.second.receivedAt;
                       }));
  }
}

bool
TargetRegistration::Expire(Time aNow)
{
  if (!this->current || aNow < this->leaseEnd) {
    return false;
  }
  if (this->current->StartedAtMs()) {
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
