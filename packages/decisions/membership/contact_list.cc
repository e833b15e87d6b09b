#include "decisions/membership/contact_list.h"

#include <utility>

namespace jackdawwind {

namespace {

/// Partitions between regions have lasted an hour.
constexpr Duration kLostContactLifetime = std::chrono::hours(3);

constexpr std::uint32_t kAnnouncedContactTries = 2;

/// Over twice the size of the largest planned fleet.
constexpr std::size_t kMaxContacts = 1024;

std::string
KeyOf(const PeerAddress& aAddress)
{
  return aAddress.Host() + ":" + std::to_string(aAddress.ControlPort());
}

} // namespace

ContactList::Contact*
ContactList::Insert(const PeerAddress& aAddress)
{
  const std::string key = KeyOf(aAddress);
  if (this->contacts.size() >= kMaxContacts && !this->contacts.contains(key)) {
    return nullptr;
  }
  Contact& contact = this->contacts[key];
  contact.address = aAddress;
  contact.reached = false;
  return &contact;
}

void
ContactList::AddSeed(const PeerAddress& aAddress)
{
  if (Contact* contact = this->Insert(aAddress)) {
    contact->seed = true;
  }
}

void
ContactList::AddAnnounced(const PeerAddress& aAddress, bool aNear)
{
  Contact* contact = this->Insert(aAddress);
  if (contact != nullptr) {
    contact->near = aNear;
  }
  if (contact != nullptr && !contact->seed && !contact->expiresAt) {
    contact->triesLeft = kAnnouncedContactTries;
  }
}

void
ContactList::AddLost(const PeerAddress& aAddress, Time aNow)
{
  Contact* contact = this->Insert(aAddress);
  if (contact != nullptr && !contact->seed) {
    contact->expiresAt = aNow + kLostContactLifetime;
    contact->triesLeft.reset();
  }
}

void
ContactList::MarkReached(const PeerAddress& aAddress)
{
  const std::map<std::string, Contact>::iterator seed = this->contacts.find(KeyOf(aAddress));
  if (seed != this->contacts.end() && seed->second.seed) {
    seed->second.reached = true;
  }
  // Match the node id too: a replaced node may return with another address.
  std::erase_if(this->contacts, [&aAddress](const std::pair<const std::string, Contact>& aEntry) {
    const Contact& contact = aEntry.second;
    return !contact.seed &&
           (contact.address.Node() == aAddress.Node() || aEntry.first == KeyOf(aAddress));
  });
}

void
ContactList::MarkUnreached(const PeerAddress& aAddress)
{
  const std::map<std::string, Contact>::iterator found = this->contacts.find(KeyOf(aAddress));
  if (found != this->contacts.end()) {
    found->second.reached = false;
  }
}

std::vector<PeerAddress>
ContactList::Take(std::size_t aCount, Time aNow, Random& aRandom)
{
  return this->Take(aCount, false, aNow, aRandom);
}

std::vector<PeerAddress>
ContactList::TakeNear(std::size_t aCount, Time aNow, Random& aRandom)
{
  return this->Take(aCount, true, aNow, aRandom);
}

std::vector<PeerAddress>
ContactList::Take(std::size_t aCount, bool aNearOnly, Time aNow, Random& aRandom)
{
  std::erase_if(this->contacts, [aNow](const std::pair<const std::string, Contact>& aEntry) {
    const Contact& contact = aEntry.second;
    return (contact.expiresAt && *contact.expiresAt <= aNow) ||
           (contact.triesLeft && *contact.triesLeft == 0);
  });
  std::vector<Contact*> unreached;
  for (auto& [key, contact] : this->contacts) {
    if (!contact.reached && (contact.near || !aNearOnly)) {
      unreached.push_back(&contact);
    }
  }
  std::vector<PeerAddress> taken;
  while (taken.size() < aCount && !unreached.empty()) {
    const std::size_t index = aRandom.Below(unreached.size());
    Contact* contact = unreached[index];
    unreached[index] = unreached.back();
    unreached.pop_back();
    taken.push_back(contact->address);
    if (contact->triesLeft) {
      --*contact->triesLeft;
    }
  }
  return taken;
}

std::size_t
ContactList::UnreachedCount() const
{
  std::size_t count = 0;
  for (const auto& [key, contact] : this->contacts) {
    count += contact.reached ? 0 : 1;
  }
  return count;
}

} // namespace jackdawwind
