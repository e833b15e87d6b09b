#include "decisions/membership/contact_list.h"

#include <utility>

namespace jackdawwind {

namespace {

/// Regions have been partitioned for an hour.
constexpr Duration kLostFor = std::chrono::hours(3);

constexpr std::uint32_t kAnnouncedTries = 2;

/// Over twice the largest planned fleet.
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
  contact.found = false;
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
ContactList::AddAnnounced(const PeerAddress& aAddress)
{
  Contact* contact = this->Insert(aAddress);
  if (contact != nullptr && !contact->seed && !contact->until) {
    contact->triesLeft = kAnnouncedTries;
  }
}

void
ContactList::AddLost(const PeerAddress& aAddress, Time aNow)
{
  Contact* contact = this->Insert(aAddress);
  if (contact != nullptr && !contact->seed) {
    contact->until = aNow + kLostFor;
    contact->triesLeft.reset();
  }
}

void
ContactList::Found(const PeerAddress& aAddress)
{
  const std::map<std::string, Contact>::iterator seed = this->contacts.find(KeyOf(aAddress));
  if (seed != this->contacts.end() && seed->second.seed) {
    seed->second.found = true;
  }
  // By node id as well: a replaced node may come back under another address.
  std::erase_if(this->contacts, [&aAddress](const std::pair<const std::string, Contact>& aEntry) {
    const Contact& contact = aEntry.second;
    return !contact.seed &&
           (contact.address.Node() == aAddress.Node() || aEntry.first == KeyOf(aAddress));
  });
}

void
ContactList::Missing(const PeerAddress& aAddress)
{
  const std::map<std::string, Contact>::iterator found = this->contacts.find(KeyOf(aAddress));
  if (found != this->contacts.end()) {
    found->second.found = false;
  }
}

std::vector<PeerAddress>
ContactList::Take(std::size_t aCount, Time aNow, Random& aRandom)
{
  std::erase_if(this->contacts, [aNow](const std::pair<const std::string, Contact>& aEntry) {
    const Contact& contact = aEntry.second;
    return (contact.until && *contact.until <= aNow) ||
           (contact.triesLeft && *contact.triesLeft == 0);
  });
  std::vector<Contact*> missing;
  for (auto& [key, contact] : this->contacts) {
    if (!contact.found) {
      missing.push_back(&contact);
    }
  }
  std::vector<PeerAddress> taken;
  while (taken.size() < aCount && !missing.empty()) {
    const std::size_t index = aRandom.Below(missing.size());
    Contact* contact = missing[index];
    missing[index] = missing.back();
    missing.pop_back();
    taken.push_back(contact->address);
    if (contact->triesLeft) {
      --*contact->triesLeft;
    }
  }
  return taken;
}

std::size_t
ContactList::MissingCount() const
{
  std::size_t count = 0;
  for (const auto& [key, contact] : this->contacts) {
    count += contact.found ? 0 : 1;
  }
  return count;
}

} // namespace jackdawwind
