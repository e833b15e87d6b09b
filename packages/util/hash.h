// Hash that is the same in every process and build, for values that nodes compare or shard by. Not
// for secrets, and not safe against chosen input.
#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawwind {

/// FNV-1a over bytes.
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
    for (const char letter : aText) {
      this->Add(static_cast<unsigned char>(letter));
    }
  }

  std::uint64_t Value() const { return this->state; }

private:
  std::uint64_t state = 14695981039346656037ULL;
};

} // namespace jackdawwind
