// Which claim holds each idempotency key, as a pure function of a claim stream.
//
// Every reader of the stream comes to the same holders: the first claim in log order holds a key
// until its owner releases it or it is older than the window, by the wall times in the records.
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

/// Names a claim over the whole fleet.
struct ClaimId
{
  std::string owner;
  std::uint64_t number = 0;
  friend bool operator==(const ClaimId&, const ClaimId&) = default;
  friend std::strong_ordering operator<=>(const ClaimId&, const ClaimId&) = default;
};

/// Holder of a key.
struct ClaimHolder
{
  ClaimId id;
  std::string fingerprint;
  std::chrono::microseconds at{};
  /// HTTP status of the answer, once the call was answered.
  std::optional<std::uint32_t> status;
};

class ClaimTable
{
public:
  explicit ClaimTable(Duration aWindow)
    : window(aWindow)
  {
  }

  /// Applies the next record of the stream; records of other types are ignored.
  void Apply(const Record& aRecord);

  /// Holder of a key for a claim made at aAt; null when there is none or it has expired.
  const ClaimHolder* Find(const std::string& aOrganisation,
                          const std::string& aKey,
                          std::chrono::microseconds aAt) const;

  std::size_t Size() const { return this->holders.size(); }

private:
  using Key = std::pair<std::string, std::string>;

  void ApplyClaim(const Claim& aClaim);
  void ApplyRelease(const ClaimRelease& aRelease);
  void ApplyOutcome(const ClaimOutcome& aOutcome);
  void DropExpired();

  Duration window;
  std::map<Key, ClaimHolder> holders;
  /// Keys by the time of their claim, to drop the expired ones.
  std::multimap<std::chrono::microseconds, Key> byTime;
  std::chrono::microseconds newest{};
};

} // namespace jackdawwind
