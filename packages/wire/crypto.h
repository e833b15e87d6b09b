// Hashes, seals and random ids, by libsodium. All results are hexadecimal text.
#pragma once

#include <string>
#include <string_view>

namespace jackdawwind::wire {

/// BLAKE2b-256 of a text as 64 hexadecimal digits. Keys are random, so a plain hash hides them.
/// them.
std::string HashHex(std::string_view aText);

/// First 16 bytes of HashHex, for fingerprints: 32 hexadecimal digits.
std::string ShortHashHex(std::string_view aText);

/// Authenticates a text under a secret (keyed BLAKE2b-256): 64 hexadecimal digits.
std::string Seal(std::string_view aSecret, std::string_view aText);

/// Checks a seal in constant time.
bool SealMatches(std::string_view aSecret, std::string_view aText, std::string_view aSeal);

/// Unguessable id of 128 bits: 32 hexadecimal digits.
std::string RandomId();

/// New tenant key of 256 bits: 64 hexadecimal digits.
std::string RandomKey();

} // namespace jackdawwind::wire
