#include "decisions/mesh/store_era.h"

namespace jackdawwind {

bool
StoreEra::NoteStore(std::uint64_t aEra)
{
  if (this->known && aEra <= *this->known) {
    return false;
  }
  this->known = aEra;
  return true;
}

StoreEra::Report
StoreEra::NotePeer(std::optional<std::uint64_t> aEra, Time aNow)
{
  if (aEra <= this->known) {
    return Report::kKnown;
  }
  if (*aEra - this->known.value_or(0) > kMaxJump) {
    if (aNow < this->logAgainAt) {
      return Report::kKnown;
    }
    this->logAgainAt = aNow + kRepeatInterval;
    return Report::kIgnored;
  }
  if (aEra <= this->asked && aNow < this->askAgainAt) {
    return Report::kKnown;
  }
  this->asked = aEra;
  this->askAgainAt = aNow + kRepeatInterval;
  return Report::kAsk;
}

} // namespace jackdawwind
