// Guards against decoders that crash, throw or decode a document to a value that does not encode
// back to the same value. Mutates valid documents at random; whatever still decodes must survive
// another round trip.
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

constexpr int kIterations = 4000;

std::uint64_t
Seed()
{
  const char* configured = std::getenv("JACKDAW_SEED");
  const std::uint64_t seed = configured == nullptr ? 1 : std::stoull(configured);
  std::cout << "JACKDAW_SEED=" << seed << '\n';
  return seed;
}

/// Returns the text after a few random mutations: bytes overwritten, removed, duplicated or
/// inserted.
std::string
Mutated(const std::string& aText, Random& aRandom)
{
  constexpr const char* kInsertions[] = {
    "{",       "}",  "[",  "]",    "\"", ":", ",", "-1", "1e999", "null", "99999999999999999999",
    "\\u0000", "\n", "  ", "\xff", "&a", "*a"
  };
  std::string text = aText;
  const std::uint64_t mutations = 1 + aRandom.Below(4);
  for (std::uint64_t mutation = 0; mutation < mutations && !text.empty(); ++mutation) {
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
        text.insert(at, kInsertions[aRandom.Below(std::size(kInsertions))]);
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
  for (int round = 0; round < kIterations; ++round) {
    const std::string mutated = Mutated(text, random);
    const Decoded<T> decoded = DecodeText<T>(mutated);
    if (const T* value = std::get_if<T>(&decoded)) {
      const Decoded<T> again = DecodeText<T>(EncodeText(*value));
      ASSERT_TRUE(std::holds_alternative<T>(again)) << mutated;
      ASSERT_EQ(std::get<T>(again), *value) << mutated;
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
  for (int round = 0; round < kIterations; ++round) {
    ParseNodeSettings(Mutated(settings, random), "f");
    ParseConfigurationFile(Mutated(configuration, random), "f");
  }
}

} // namespace
} // namespace jackdawwind::wire
