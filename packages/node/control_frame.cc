#include "node/control_frame.h"

#include "wire/compression.h"
#include "wire/crypto.h"

namespace jackdawwind::node {

namespace {

constexpr char kVersion = 1;

} // namespace

std::string
EncodeFrame(std::string_view aFleetSecret, std::string_view aText)
{
  const std::string packed = wire::Compress(aText);
  return kVersion + wire::ShortSeal(aFleetSecret, packed) + packed;
}

std::optional<std::string>
DecodeFrame(std::string_view aFleetSecret, std::string_view aFrame, std::size_t aMaxBytes)
{
  if (aFrame.size() < 1 + wire::kShortSealBytes || aFrame.front() != kVersion) {
    return std::nullopt;
  }
  const std::string_view seal = aFrame.substr(1, wire::kShortSealBytes);
  const std::string_view packed = aFrame.substr(1 + wire::kShortSealBytes);
  if (!wire::ShortSealMatches(aFleetSecret, packed, seal)) {
    return std::nullopt;
  }
  return wire::Decompress(packed, aMaxBytes);
}

} // namespace jackdawwind::node
