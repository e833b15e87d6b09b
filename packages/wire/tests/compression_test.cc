// Guards against messages between nodes that don't survive compression, that grow instead of
// shrinking, and against input that makes a node use much memory.
#include "wire/compression.h"

#include <string>

#include <gtest/gtest.h>

#include "util/random.h"
#include "wire/codec.h"
#include "wire/generated/peer_codec.h"

namespace jackdawwind::wire {
namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;

std::string
RandomBytes(Random& aRandom, std::size_t aSize)
{
  std::string bytes;
  for (std::size_t index = 0; index < aSize; ++index) {
    bytes.push_back(static_cast<char>(aRandom.Below(256)));
  }
  return bytes;
}

TEST(Compression, RestoresAnyText)
{
  Random random(1);
  const std::string cases[] = {
    "",
    "x",
    R"({"jsonrpc":"2.0","method":"probe"})",
    std::string(100000, 'a'),
    RandomBytes(random, 5000),
  };
  for (const std::string& text : cases) {
    SCOPED_TRACE(text.substr(0, 40));
    EXPECT_EQ(Decompress(Compress(text), kMaxBytes), text);
  }
}

TEST(Compression, ProbeWithSixChangesFitsIntoOneDatagram)
{
  std::vector<Member> changes;
  for (int index = 0; index < 6; ++index) {
    const std::string number = std::to_string(index * 7919);
    changes.push_back(
      Member({ .address = PeerAddress({ .node = "sidecar-ikeja-" + number,
                                        .host = "10.1.0." + std::to_string(index * 37),
                                        .callPort = 8543,
                                        .controlPort = 7000 }),
               .incarnation = 1764920000000000ULL + static_cast<std::uint64_t>(index) * 104729,
               .version = 3,
               .domain = "ikeja",
               .region = "lagos",
               .service = "huvo11a",
               .targetState = TargetState::kReady,
               .state = NodeState::kAlive }));
  }
  const std::string text = EncodeText(Probe({ .sequence = 17,
                                              .sender = changes.front().Address(),
                                              .tableHash = 17446744073709551615ULL,
                                              .configOffset = 12,
                                              .changes = changes }));
  EXPECT_GT(text.size(), 1400U);
  EXPECT_LT(Compress(text).size(), 700U);
}

TEST(Compression, RejectsDamagedInput)
{
  const std::string packed = Compress("the quick brown fox jumps over the lazy dog");
  EXPECT_FALSE(Decompress(packed.substr(0, packed.size() - 1), kMaxBytes));
  EXPECT_FALSE(Decompress(packed + "x", kMaxBytes));
  Random random(2);
  for (int round = 0; round < 2000; ++round) {
    // Must return; whether random bytes happen to be valid does not matter.
    Decompress(RandomBytes(random, random.Below(200)), kMaxBytes);
  }
}

TEST(Compression, StopsAtTheLimitOfTheText)
{
  // Guards against a few kilobytes that expand to gigabytes.
  const std::string packed = Compress(std::string(kMaxBytes + 1, 'a'));
  EXPECT_LT(packed.size(), 20000U);
  EXPECT_FALSE(Decompress(packed, kMaxBytes));
}

} // namespace
} // namespace jackdawwind::wire
