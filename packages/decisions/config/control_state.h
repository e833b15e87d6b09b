// Configuration of the fleet as a pure function of the log's "control" stream.
//
//   ControlState state;
//   state.Apply(logRecord);                       // accepted or rejected by the same rule
//   everywhere const Organisation* found = state.FindOrganisation("north-farm");
//
// State is ordered by log offset; of two states of the same stream the one with the higher offset
// is the newer. Look-ups cost one hash or tree access.
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

/// Stream of the configuration and of node announcements.
inline constexpr const char* kControlStream = "control";

/// Organisation that calls on open routes run for.
inline constexpr const char* kPublicOrganisation = "public";

/// A change came into force.
struct ChangeAccepted
{
  std::string revision;
  friend bool operator==(const ChangeAccepted&, const ChangeAccepted&) = default;
};

/// A change was rejected; the state is as before.
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

  /// Applies the record at Offset(); records before it are ignored, later ones must not be skipped.
  ApplyResult Apply(const LogRecord& aRecord);

  /// Offset after the last applied record.
  std::uint64_t Offset() const { return this->offset; }
  /// Moves over offsets that the log does not use.
  void SkipTo(std::uint64_t aOffset);
  /// Revision in force; empty before the first.
  const std::string& Revision() const { return this->revision; }
  ConfigSnapshot ToSnapshot() const;

  /// Each returns null when there is no such item.
  const Organisation* FindOrganisation(const std::string& aName) const;
  const Service* FindService(const std::string& aName) const;
  const Domain* FindDomain(const std::string& aName) const;
  const KeyRecord* FindKey(const std::string& aHash) const;

  const std::map<std::string, Organisation>& Organisations() const { return this->organisations; }
  const std::map<std::string, Domain>& Domains() const { return this->domains; }
  const Policy& GetPolicy() const { return this->policy; }

  /// Why the items do not fit together; empty when they do.
  std::string Problem() const;

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

/// Why a set of items is not a valid configuration (unknown organisation of a key, shares above
/// one, and the like); empty when it is valid.
std::string ValidateItems(const std::vector<ConfigItem>& aItems);

} // namespace jackdawwind
