#include "decisions/claims/claim_table.h"

#include <algorithm>
#include <variant>

namespace jackdawwind {

void
ClaimTable::Apply(const Record& aRecord)
{
  if (const Claim* claim = std::get_if<Claim>(&aRecord)) {
    this->ApplyClaim(*claim);
  } else if (const ClaimRelease* release = std::get_if<ClaimRelease>(&aRecord)) {
    this->ApplyRelease(*release);
  } else if (const ClaimOutcome* outcome = std::get_if<ClaimOutcome>(&aRecord)) {
    this->ApplyOutcome(*outcome);
  }
}

const ClaimHolder*
ClaimTable::Find(const std::string& aOrganisation,
                 const std::string& aKey,
                 std::chrono::microseconds aAt) const
{
  const std::map<Key, ClaimHolder>::const_iterator found =
    this->holders.find(Key(aOrganisation, aKey));
  if (found == this->holders.end() || aAt - found->second.at > this->window) {
    return nullptr;
  }
  return &found->second;
}

void
ClaimTable::ApplyClaim(const Claim& aClaim)
{
  this->newest = std::max(this->newest, aClaim.At());
  if (this->Find(aClaim.GetOrganisation(), aClaim.Key(), aClaim.At()) != nullptr) {
    return;
  }
  const Key key(aClaim.GetOrganisation(), aClaim.Key());
  this->holders.insert_or_assign(key,
                                 ClaimHolder{ .id = { aClaim.Owner(), aClaim.Number() },
                                              .fingerprint = aClaim.Fingerprint(),
                                              .at = aClaim.At(),
                                              .status = std::nullopt });
  this->byTime.emplace(aClaim.At(), key);
  this->DropExpired();
}

void
ClaimTable::ApplyRelease(const ClaimRelease& aRelease)
{
  const std::map<Key, ClaimHolder>::iterator found =
    this->holders.find(Key(aRelease.GetOrganisation(), aRelease.Key()));
  const ClaimId id{ aRelease.Owner(), aRelease.Number() };
  if (found != this->holders.end() && found->second.id == id) {
    this->holders.erase(found);
  }
}

void
ClaimTable::ApplyOutcome(const ClaimOutcome& aOutcome)
{
  const std::map<Key, ClaimHolder>::iterator found =
    this->holders.find(Key(aOutcome.GetOrganisation(), aOutcome.Key()));
  const ClaimId id{ aOutcome.Owner(), aOutcome.Number() };
  if (found != this->holders.end() && found->second.id == id) {
    found->second.status = aOutcome.Status();
  }
}

void
ClaimTable::DropExpired()
{
  // Twice the window, because the wall clocks of nodes differ and a holder must stay in the table
  // as long as a claim that it wins against can arrive.
  const std::chrono::microseconds oldest = this->newest - 2 * this->window;
  while (!this->byTime.empty() && this->byTime.begin()->first < oldest) {
    const std::map<Key, ClaimHolder>::iterator found =
      this->holders.find(this->byTime.begin()->second);
    if (found != this->holders.end() && found->second.at == this->byTime.begin()->first) {
      this->holders.erase(found);
    }
    this->byTime.erase(this->byTime.begin());
  }
}

} // namespace jackdawwind
