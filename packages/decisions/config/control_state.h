// Configuration of the fleet: a deterministic state machine over the log's "control" stream.
//
//   ControlState state;
//   ApplyResult result = state.Apply(logRecord);
//   const Organisation* found = state.FindOrganisation("north-farm");
//
// Every node applies the same records in the order of their offsets and accepts or rejects each
// change by the same rules, so two states at the same offset are equal, and of two states the one
// with the higher offset is newer. A change is rejected if it is not based on the revision in
// force, so of concurrent changes only the first is accepted. Look-ups cost one tree access;
// applying a change copies and validates the whole configuration.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "values/generated/peer.h"
#include "values/generated/records.h"
#include "values/generated/results.h"

namespace jackdawwind {

/// Log stream that carries the configuration and node announcements.
inline constexpr const char* kControlStream = "control";

/// Organisation to which calls on open routes are attributed.
inline constexpr const char* kPublicOrganisation = "public";

/// The record was a configuration change, which is now in force.
struct ChangeAccepted
{
  std::string revision;
  friend bool operator==(const ChangeAccepted&, const ChangeAccepted&) = default;
};

/// The record was a configuration change, which was rejected; the configuration is unchanged.
struct ChangeRejected
{
  std::string revision;
  ResultCode code = ResultCode::kConfigConflict;
  std::string reason;
  friend bool operator==(const ChangeRejected&, const ChangeRejected&) = default;
};

/// The record does not change the configuration.
struct NoChange
{
  friend bool operator==(const NoChange&, const NoChange&) = default;
};

using ApplyResult = std::variant<NoChange, ChangeAccepted, ChangeRejected>;

class ControlState
{
public:
  ControlState() = default;
  explicit ControlState(const ConfigSnapshot& aSnapshot);

  /// Applies a record and sets Offset() to the offset after it. Records before Offset() are
  /// ignored; the caller must not leave out any.
  ApplyResult Apply(const LogRecord& aRecord);

  /// Offset of the next record to apply.
  std::uint64_t Offset() const { return this->offset; }
  /// Advances over offsets that the log does not use; never goes back.
  void SkipTo(std::uint64_t aOffset);
  /// Revision in force; empty before the first accepted change.
  const std::string& Revision() const { return this->revision; }
  ConfigSnapshot ToSnapshot() const;

  /// Each returns null when the item does not exist.
  const Organisation* FindOrganisation(const std::string& aName) const;
  const Service* FindService(const std::string& aName) const;
  const Domain* FindDomain(const std::string& aName) const;
  const KeyRecord* FindKey(const std::string& aHash) const;

  const std::map<std::string, Organisation>& Organisations() const { return this->organisations; }
  const std::map<std::string, Domain>& Domains() const { return this->domains; }
  const Policy& GetPolicy() const { return this->policy; }

  /// Returns the first violated rule (route prefixes, organisations of keys, sum of the domain
  /// shares), or an empty string when the configuration is valid.
  std::string Validate() const;

private:
  void Put(const ConfigItem& aItem);
  void Remove(const std::string& aPath);
  ApplyResult ApplyChange(const ConfigChange& aChange);

  std::uint64_t offset = 0;
  std::string revision;
  std::map<std::string, Organisation> organisations;
  std::map<std::string, Service> services;
  std::map<std::string, Domain> domains;
  std::map<std::string, KeyRecord> keys;
  Policy policy;
};

/// Path of an item, for example "services/fleet"; "policy" for the policy.
std::string PathOf(const ItemBody& aBody);

/// Returns why a set of items is not a valid configuration (a path that occurs more than once or
/// does not match its item, or a rule of ControlState::Validate), or an empty string.
std::string ValidateItems(const std::vector<ConfigItem>& aItems);

} // namespace jackdawwind
