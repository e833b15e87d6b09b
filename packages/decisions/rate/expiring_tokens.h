// Whole tokens with an expiry time, as a node or a borrowing steward holds them.
//
//   stock.Add(10, askedAt + life);
//   if (stock.TakeOne(now)) { ... }   // the token that expires first
//
// Expired tokens are never handed out. Every operation costs O(batches).
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
  /// Takes up to aTokens that live longer than aMinimumLife.
  std::vector<TokenBatch> Take(std::uint32_t aTokens, Duration aMinimumLife, Time aNow);
  /// Tokens that are still valid.
  std::uint32_t Count(Time aNow) const;

private:
  void DropExpired(Time aNow);

  std::map<Time, std::uint32_t> batches;
};

} // namespace jackdawwind
