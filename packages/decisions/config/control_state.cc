#include "decisions/config/control_state.h"

#include <set>
#include <utility>

namespace jackdawwind {

namespace {

constexpr const char* kOrganisationsPath = "organisations/";
constexpr const char* kServicesPath = "services/";
constexpr const char* kDomainsPath = "domains/";
constexpr const char* kKeysPath = "keys/";
constexpr const char* kPolicyPath = "policy";

/// Tolerance for rounding errors in the sum of the shares, which are decimal fractions.
constexpr double kShareTolerance = 1e-9;

template<typename T>
const T*
Find(const std::map<std::string, T>& aMap, const std::string& aName)
{
  const typename std::map<std::string, T>::const_iterator found = aMap.find(aName);
  return found == aMap.end() ? nullptr : &found->second;
}

template<typename T>
void
AppendItems(const std::map<std::string, T>& aMap, std::vector<ConfigItem>& aItems)
{
  for (const std::pair<const std::string, T>& entry : aMap) {
    aItems.push_back(ConfigItem({ .path = PathOf(entry.second), .body = entry.second }));
  }
}

/// Removes the item at aPath if aPrefix is the path prefix of this map.
template<typename T>
void
RemoveByPath(std::map<std::string, T>& aMap, const std::string& aPath, const std::string& aPrefix)
{
  if (aPath.starts_with(aPrefix)) {
    aMap.erase(aPath.substr(aPrefix.size()));
  }
}

std::string
ValidateService(const Service& aService)
{
  if (aService.Name().find('/') != std::string::npos) {
    return "service " + aService.Name() + ": the name must not contain a slash";
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (const Route& route : aService.Routes()) {
    if (!route.Prefix().starts_with('/')) {
      return "service " + aService.Name() + ": route prefix " + route.Prefix() +
             " must begin with a slash";
    }
    if (!seen.emplace(route.Method(), route.Prefix()).second) {
      return "service " + aService.Name() + ": route " + route.Method() + " " + route.Prefix() +
             " occurs more than once";
    }
  }
  return "";
}

std::string
ValidateShares(const std::map<std::string, Domain>& aDomains)
{
  double sum = 0;
  for (const std::pair<const std::string, Domain>& entry : aDomains) {
    sum += entry.second.Share();
  }
  if (sum > 1 + kShareTolerance) {
    return "the shares of all domains sum to more than 1";
  }
  return "";
}

} // namespace

std::string
PathOf(const ItemBody& aBody)
{
  struct Visitor
  {
    std::string operator()(const Organisation& aItem) const
    {
      return kOrganisationsPath + aItem.Name();
    }
    std::string operator()(const Service& aItem) const { return kServicesPath + aItem.Name(); }
    std::string operator()(const Domain& aItem) const { return kDomainsPath + aItem.Name(); }
    std::string operator()(const KeyRecord& aItem) const { return kKeysPath + aItem.Hash(); }
    std::string operator()(const Policy& /*aItem*/) const { return kPolicyPath; }
  };
  return std::visit(Visitor{}, aBody);
}

ControlState::ControlState(const ConfigSnapshot& aSnapshot)
  : offset(aSnapshot.AsOf())
  , revision(aSnapshot.Revision())
{
  for (const ConfigItem& item : aSnapshot.Items()) {
    this->Put(item);
  }
}

ApplyResult
ControlState::Apply(const LogRecord& aRecord)
{
  if (aRecord.Offset() < this->offset) {
    return NoChange{};
  }
  this->offset = aRecord.Offset() + 1;
  if (const ConfigChange* change = std::get_if<ConfigChange>(&aRecord.GetRecord())) {
    return this->ApplyChange(*change);
  }
  return NoChange{};
}

void
ControlState::SkipTo(std::uint64_t aOffset)
{
  if (aOffset > this->offset) {
    this->offset = aOffset;
  }
}

ConfigSnapshot
ControlState::ToSnapshot() const
{
  std::vector<ConfigItem> items;
  AppendItems(this->organisations, items);
  AppendItems(this->services, items);
  AppendItems(this->domains, items);
  AppendItems(this->keys, items);
  items.push_back(ConfigItem({ .path = kPolicyPath, .body = this->policy }));
  return ConfigSnapshot(
    { .asOf = this->offset, .revision = this->revision, .items = std::move(items) });
}

const Organisation*
ControlState::FindOrganisation(const std::string& aName) const
{
  return Find(this->organisations, aName);
}

const Service*
ControlState::FindService(const std::string& aName) const
{
  return Find(this->services, aName);
}

const Domain*
ControlState::FindDomain(const std::string& aName) const
{
  return Find(this->domains, aName);
}

const KeyRecord*
ControlState::FindKey(const std::string& aHash) const
{
  return Find(this->keys, aHash);
}

std::string
ControlState::Validate() const
{
  for (const std::pair<const std::string, Service>& entry : this->services) {
    std::string problem = ValidateService(entry.second);
    if (!problem.empty()) {
      return problem;
    }
  }
  for (const std::pair<const std::string, KeyRecord>& entry : this->keys) {
    if (this->FindOrganisation(entry.second.GetOrganisation()) == nullptr) {
      return "key " + entry.first + ": no organisation named " + entry.second.GetOrganisation();
    }
  }
  return ValidateShares(this->domains);
}

void
ControlState::Put(const ConfigItem& aItem)
{
  struct Visitor
  {
    ControlState& state;

    void operator()(const Organisation& aBody) const
    {
      this->state.organisations.insert_or_assign(aBody.Name(), aBody);
    }
    void operator()(const Service& aBody) const
    {
      this->state.services.insert_or_assign(aBody.Name(), aBody);
    }
    void operator()(const Domain& aBody) const
    {
      this->state.domains.insert_or_assign(aBody.Name(), aBody);
    }
    void operator()(const KeyRecord& aBody) const
    {
      this->state.keys.insert_or_assign(aBody.Hash(), aBody);
    }
    void operator()(const Policy& aBody) const { this->state.policy = aBody; }
  };
  std::visit(Visitor{ *this }, aItem.Body());
}

void
ControlState::Remove(const std::string& aPath)
{
  RemoveByPath(this->organisations, aPath, kOrganisationsPath);
  RemoveByPath(this->services, aPath, kServicesPath);
  RemoveByPath(this->domains, aPath, kDomainsPath);
  RemoveByPath(this->keys, aPath, kKeysPath);
  if (aPath == kPolicyPath) {
    this->policy = Policy();
  }
}

ApplyResult
ControlState::ApplyChange(const ConfigChange& aChange)
{
  if (aChange.BasedOn() != this->revision) {
    return ChangeRejected{ aChange.Revision(),
                           ResultCode::kConfigConflict,
                           "based on revision " + aChange.BasedOn() +
                             ", but the revision in force is " + this->revision };
  }
  ControlState candidate = *this;
  for (const std::string& path : aChange.Removes()) {
    candidate.Remove(path);
  }
  for (const ConfigItem& item : aChange.Puts()) {
    if (item.Path() != PathOf(item.Body())) {
      return ChangeRejected{ aChange.Revision(),
                             ResultCode::kConfigInvalid,
                             "item path " + item.Path() + " does not match the path of its body, " +
                               PathOf(item.Body()) };
    }
    candidate.Put(item);
  }
  const std::string problem = candidate.Validate();
  if (!problem.empty()) {
    return ChangeRejected{ aChange.Revision(), ResultCode::kConfigInvalid, problem };
  }
  candidate.revision = aChange.Revision();
  *this = std::move(candidate);
  return ChangeAccepted{ this->revision };
}

std::string
ValidateItems(const std::vector<ConfigItem>& aItems)
{
  std::set<std::string> paths;
  for (const ConfigItem& item : aItems) {
    if (item.Path() != PathOf(item.Body())) {
      return "item path " + item.Path() + " does not match the path of its body, " +
             PathOf(item.Body());
    }
    if (!paths.insert(item.Path()).second) {
      return "item " + item.Path() + " occurs more than once";
    }
  }
  return ControlState(ConfigSnapshot({ .items = aItems })).Validate();
}

} // namespace jackdawwind
