// Hashes, seals (message authentication codes) and random ids, based on libsodium. All results are
// lower-case hexadecimal text.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdawwind::wire {

/// Returns the BLAKE2b-256 hash of a text: 64 hexadecimal digits. An unsalted hash is sufficient
/// for API keys because they are random.
std::string HashHex(std::string_view aText);

/// Returns the first 16 bytes of the hash, for fingerprints: 32 hexadecimal digits.
std::string ShortHashHex(std::string_view aText);

/// Returns the keyed BLAKE2b-256 hash of a text under a secret: 64 hexadecimal digits.
std::string Seal(std::string_view aSecret, std::string_view aText);

/// Verifies a seal in constant time.
bool SealMatches(std::string_view aSecret, std::string_view aText, std::string_view aSeal);

/// Length of a short seal in bytes.
constexpr std::size_t kShortSealBytes = 16;

/// Returns the first kShortSealBytes of the keyed BLAKE2b-256 hash of a text under a secret, as raw
/// bytes.
std::string ShortSeal(std::string_view aSecret, std::string_view aText);

/// Verifies a short seal in constant time.
bool ShortSealMatches(std::string_view aSecret, std::string_view aText, std::string_view aSeal);

/// Returns an unguessable 128-bit id: 32 hexadecimal digits.
std::string RandomId();

/// Returns a new 256-bit API key for an organisation: 64 hexadecimal digits.
std::string RandomKey();

} // namespace jackdawwind::wire
