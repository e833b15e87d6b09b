// Compression of messages between nodes: raw deflate (RFC 1951) with a preset dictionary.
//
//   const std::string packed = Compress(text);
//   std::optional<std::string> text = Decompress(packed, kMaxMessageBytes);
//
// Control messages are short JSON texts that consist mostly of field names. The dictionary holds
// these names, so that even a message of a few hundred bytes shrinks to a third. Both sides must
// use the same dictionary: a change of it is a change of the protocol between nodes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawwind::wire {

/// Compresses a text; never fails, but a text without repetitions grows by a few bytes.
std::string Compress(std::string_view aText);

/// Returns the text of Compress(); nothing if aBytes is not such an output or if the text is longer
/// than aMaxBytes. Uses no more memory than aMaxBytes and a constant.
std::optional<std::string> Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace jackdawwind::wire
