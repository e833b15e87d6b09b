// Whole tokens with expiry times, as held by a node or a borrowing steward.
//
//   tokens.Add(10, requestedAt + life);
//   if (tokens.TakeOne(now)) { ... }   // the token that expires first
//
// Expired tokens are never returned. Every operation costs O(batches).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "util/clock.h"

namespace jackdawwind {

/// Tokens that expire at the same time.
struct TokenBatch
{
  std::uint32_t tokens = 0;
  Time expiry{};
  friend bool operator==(const TokenBatch&, const TokenBatch&) = default;
};

class ExpiringTokens
{
public:
  /// Adds tokens that may be used before aExpiry.
  void Add(std::uint32_t aTokens, Time aExpiry);
  /// Takes one token, the one that expires first; false when there is none.
  bool TakeOne(Time aNow);
  /// Takes up to aTokens tokens whose remaining life exceeds aMinimumLife.
  std::vector<TokenBatch> Take(std::uint32_t aTokens, Duration aMinimumLife, Time aNow);
  /// Number of tokens that have not expired.
  std::uint32_t Count(Time aNow) const;

private:
  void DropExpired(Time aNow);

  /// Tokens by expiry time.
  std::map<Time, std::uint32_t> batches;
};

} // namespace jackdawwind
