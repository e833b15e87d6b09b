// Hash function whose results are the same in every process and build, for values that nodes
// compare or use for sharding. Not cryptographic: not for secrets and not resistant to chosen
// input.
#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawwind {

/// 64-bit FNV-1a.
class StableHash
{
public:
  void Add(unsigned char aByte)
  {
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    this->state = (this->state ^ aByte) * kPrime;
  }

  void Add(std::string_view aText)
  {
    for (const char character : aText) {
      this->Add(static_cast<unsigned char>(character));
    }
  }

  /// Hash of all bytes added so far.
  std::uint64_t Value() const { return this->state; }

private:
  std::uint64_t state = 14695981039346656037ULL;
};

} // namespace jackdawwind
