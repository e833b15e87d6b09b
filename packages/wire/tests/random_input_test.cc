// Guards against decoders that crash, throw or take a changed document for something else. Valid
// documents are changed at random; what still decodes must survive another round trip.
#include <chrono>
#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include "util/random.h"
#include "wire/generated/calls_codec.h"
#include "wire/generated/peer_codec.h"
#include "wire/generated/records_codec.h"
#include "wire/yaml.h"

namespace jackdawwind::wire {
namespace {

constexpr int kRounds = 4000;

std::uint64_t
Seed()
{
  const char* given = std::getenv("JACKDAW_SEED");
  const std::uint64_t seed = given == nullptr ? 1 : std::stoull(given);
  std::cout << "JACKDAW_SEED=" << seed << '\n';
  return seed;
}

/// Changes, removes, repeats or inserts a few bytes.
std::string
Changed(const std::string& aText, Random& aRandom)
{
  constexpr const char* kPieces[] = {
    "{",       "}",  "[",  "]",    "\"", ":", ",", "-1", "1e999", "null", "99999999999999999999",
    "\\u0000", "\n", "  ", "\xff", "&a", "*a"
  };
  std::string text = aText;
  const std::uint64_t changes = 1 + aRandom.Below(4);
  for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t at = aRandom.Below(text.size());
    switch (aRandom.Below(4)) {
      case 0:
        text[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        text.erase(at, 1 + aRandom.Below(8));
        break;
      case 2:
        text.insert(at, text.substr(at, 1 + aRandom.Below(16)));
        break;
      default:
        text.insert(at, kPieces[aRandom.Below(std::size(kPieces))]);
    }
  }
  return text;
}

template<typename T>
void
CheckDecoder(const T& aValue)
{
  Random random(Seed());
  const std::string text = EncodeText(aValue);
  for (int round = 0; round < kRounds; ++round) {
    const std::string changed = Changed(text, random);
    const Decoded<T> decoded = DecodeText<T>(changed);
    if (const T* value = std::get_if<T>(&decoded)) {
      const Decoded<T> again = DecodeText<T>(EncodeText(*value));
      ASSERT_TRUE(std::holds_alternative<T>(again)) << changed;
      ASSERT_EQ(std::get<T>(again), *value) << changed;
    }
  }
}

TEST(RandomInput, PeerMessages)
{
  const Member member(
    { .address = PeerAddress({ .node = "n", .host = "127.0.0.1", .callPort = 80 }),
      .incarnation = 7,
      .domain = "ikeja",
      .region = "lagos" });
  CheckDecoder<PeerMessage>(Probe({ .sequence = 1, .changes = { member, member } }));
  CheckDecoder<PeerMessage>(StewardGrant(
    { .sender = "n",
      .mark = 5,
      .grants = { TokenGrant(
        { .organisation = "north", .tokens = 3, .life = std::chrono::microseconds(7) }) } }));
}

TEST(RandomInput, Records)
{
  const Organisation organisation({ .name = "north", .rate = 1.5, .burst = 10 });
  CheckDecoder<Record>(ConfigChange(
    { .revision = "r",
      .puts = { ConfigItem({ .path = "organisations/north", .body = organisation }) } }));
  CheckDecoder<Record>(Claim({ .organisation = "north", .key = "k", .owner = "n/1", .number = 3 }));
}

TEST(RandomInput, CallContexts)
{
  CheckDecoder(CallContext({ .rootId = "r",
                             .organisation = "north",
                             .service = "hires",
                             .allowance = 3,
                             .depth = 1,
                             .attempt = 1 }));
}

TEST(RandomInput, YamlFiles)
{
  const std::string settings =
    "node: a\ndomain: d\nregion: r\ncallers: {port: 1}\ntarget: {port: 2}\n"
    "peer_calls: {port: 3}\npeer_control: {port: 4}\nadmin: {port: 5}\n"
    "admin_token: t\nfleet_secret: s\nlog: {host: h, port: 6}\n";
  const std::string configuration = "organisations:\n  - {name: north, rate: 1, burst: 2}\n"
                                    "services:\n  - name: hires\n    slots: 1\n    connections: 1\n"
                                    "    routes: [{method: GET, prefix: /, importance: high, "
                                    "idempotent: true}]\n";
  ASSERT_TRUE(std::holds_alternative<NodeSettings>(ParseNodeSettings(settings, "f")));
  ASSERT_TRUE(
    std::holds_alternative<ConfigurationFile>(ParseConfigurationFile(configuration, "f")));
  Random random(Seed());
  for (int round = 0; round < kRounds; ++round) {
    ParseNodeSettings(Changed(settings, random), "f");
    ParseConfigurationFile(Changed(configuration, random), "f");
  }
}

} // namespace
} // namespace jackdawwind::wire
