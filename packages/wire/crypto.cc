#include "wire/crypto.h"

#include <array>
#include <cstddef>
#include <cstdlib>

#include <sodium.h>

namespace jackdawwind::wire {

namespace {

constexpr std::size_t kIdBytes = 16;
constexpr std::size_t kKeyBytes = 32;
using Digest = std::array<unsigned char, crypto_generichash_BYTES>;

void
EnsureInitialised()
{
  static const int result = sodium_init();
  if (result < 0) {
    // libsodium has no source of randomness, so ids and keys would be guessable.
    std::abort();
  }
}

const unsigned char*
Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

std::string
ToHex(const unsigned char* aData, std::size_t aSize)
{
  std::string hex(aSize * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), aData, aSize);
  hex.pop_back();
  return hex;
}

Digest
Hash(std::string_view aText, std::string_view aSecret)
{
  EnsureInitialised();
  Digest digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     Bytes(aText),
                     aText.size(),
                     aSecret.empty() ? nullptr : Bytes(aSecret),
                     aSecret.size());
  return digest;
}

Digest
KeyedHash(std::string_view aSecret, std::string_view aText)
{
  // The secret may have any length; hashing it gives a key of the length that the keyed hash
  // accepts.
  const Digest key = Hash(aSecret, "");
  return Hash(aText, std::string_view(reinterpret_cast<const char*>(key.data()), key.size()));
}

std::string
RandomHex(std::size_t aBytes)
{
  EnsureInitialised();
  std::string bytes(aBytes, '\0');
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(Bytes(bytes), bytes.size());
}

} // namespace

std::string
HashHex(std::string_view aText)
{
  const Digest digest = Hash(aText, "");
  return ToHex(digest.data(), digest.size());
}

std::string
ShortHashHex(std::string_view aText)
{
  const Digest digest = Hash(aText, "");
  return ToHex(digest.data(), kIdBytes);
}

std::string
Seal(std::string_view aSecret, std::string_view aText)
{
  const Digest digest = KeyedHash(aSecret, aText);
  return ToHex(digest.data(), digest.size());
}

bool
SealMatches(std::string_view aSecret, std::string_view aText, std::string_view aSeal)
{
  const std::string expected = Seal(aSecret, aText);
  return expected.size() == aSeal.size() &&
         sodium_memcmp(expected.data(), aSeal.data(), expected.size()) == 0;
}

std::string
ShortSeal(std::string_view aSecret, std::string_view aText)
{
  const Digest digest = KeyedHash(aSecret, aText);
  return std::string(reinterpret_cast<const char*>(digest.data()), kShortSealBytes);
}

bool
ShortSealMatches(std::string_view aSecret, std::string_view aText, std::string_view aSeal)
{
  const std::string expected = ShortSeal(aSecret, aText);
  return expected.size() == aSeal.size() &&
         sodium_memcmp(expected.data(), aSeal.data(), expected.size()) == 0;
}

std::string
RandomId()
{
  return RandomHex(kIdBytes);
}

std::string
RandomKey()
{
  return RandomHex(kKeyBytes);
}

} // namespace jackdawwind::wire
