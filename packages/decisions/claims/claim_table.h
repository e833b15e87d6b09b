// The claim that holds each idempotency key, as a pure function of a claim stream.
//
// Every reader of the stream computes the same holders: the first claim in log order holds a key
// until its owner releases it or until it is older than the claim window, by the wall times in the
// records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "util/clock.h"
#include "values/generated/records.h"

namespace jackdawwind {

/// Identifies a claim in the whole fleet: the owner is a node incarnation, the number unique at it.
struct ClaimId
{
  std::string owner;
  std::uint64_t number = 0;
  friend bool operator==(const ClaimId&, const ClaimId&) = default;
  friend std::strong_ordering operator<=>(const ClaimId&, const ClaimId&) = default;
};

/// The claim that holds a key.
struct ClaimHolder
{
  ClaimId id;
  std::string fingerprint;
  /// Wall time of the claim.
  std::chrono::microseconds at{};
  /// HTTP status of the answer; nothing until the call is known to have been answered.
  std::optional<std::uint32_t> status;
};

class ClaimTable
{
public:
  /// aWindow is the time for which a claim holds its key.
  explicit ClaimTable(Duration aWindow)
    : window(aWindow)
  {
  }

  /// Applies the next record of the stream; records of other types are ignored.
  void Apply(const Record& aRecord);

  /// Holder of the key at the wall time aAt; null when there is none or it has expired by then.
  const ClaimHolder* Find(const std::string& aOrganisation,
                          const std::string& aKey,
                          std::chrono::microseconds aAt) const;

  /// Number of keys in the table, including expired holders that are not yet dropped.
  std::size_t Size() const { return this->holders.size(); }

private:
  /// Organisation and key.
  using Key = std::pair<std::string, std::string>;

  void ApplyClaim(const Claim& aClaim);
  void ApplyRelease(const ClaimRelease& aRelease);
  void ApplyOutcome(const ClaimOutcome& aOutcome);
  void DropExpired();

  Duration window;
  std::map<Key, ClaimHolder> holders;
  /// Keys by wall time of their claim, for dropping expired holders.
  std::multimap<std::chrono::microseconds, Key> byTime;
  /// Latest wall time of any claim.
  std::chrono::microseconds newest{};
};

} // namespace jackdawwind
