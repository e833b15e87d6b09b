// The form of a control message on the wire: a version byte, a seal, and the compressed text.
//
//   const std::string frame = EncodeFrame(secret, text);
//   std::optional<std::string> text = DecodeFrame(secret, frame, kMaxMessageBytes);
//
// A frame is the content of one datagram or the body of one HTTP request. The seal is a keyed hash
// of the compressed text under the secret of the fleet.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawwind::node {

std::string EncodeFrame(std::string_view aFleetSecret, std::string_view aText);

/// Returns nothing for another version, a wrong seal, or a text longer than aMaxBytes.
std::optional<std::string> DecodeFrame(std::string_view aFleetSecret,
                                       std::string_view aFrame,
                                       std::size_t aMaxBytes);

} // namespace jackdawwind::node
