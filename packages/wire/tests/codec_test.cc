// Guards against accepting documents that do not match the schema, and against values that do not
// survive a round trip through JSON.
#include "wire/codec.h"

#include <optional>

#include <gtest/gtest.h>

#include "wire/generated/calls_codec.h"
#include "wire/generated/configuration_codec.h"
#include "wire/generated/peer_codec.h"

namespace jackdawwind::wire {
namespace {

TEST(Codec, ReportsPathAndExpectedValue)
{
  struct Case
  {
    const char* json;
    const char* path;
    const char* expected;
  };
  const Case cases[] = {
    { "[]", "", "an object" },
    { R"({"name":"a","rate":1})", "burst", "a value for this required field" },
    { R"({"name":"a","rate":"x","burst":1})", "rate", "a number" },
    { R"({"name":"a","rate":-1,"burst":1})", "rate", "a value from 0" },
    { R"({"name":"","rate":1,"burst":1})", "name", "a non-empty string" },
    { R"({"name":"a","rate":1,"burst":1,"brust":2})", "brust", "no field of this name" },
    { R"({"name":"a","rate":1,"burst":1} x)", "", "a JSON document" },
    { R"({"name":"a","name":"b","rate":1,"burst":1})", "", "a JSON document" },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.json);
    const Decoded<Organisation> decoded = DecodeText<Organisation>(testCase.json);
    const DecodeError* error = std::get_if<DecodeError>(&decoded);
    ASSERT_NE(error, nullptr);
    EXPECT_EQ(error->path, testCase.path);
    EXPECT_EQ(error->expected, testCase.expected);
  }
}

TEST(Codec, RoundTripsValuesThroughJson)
{
  const Member member(
    { .address = PeerAddress({ .node = "n1", .host = "127.0.0.1", .callPort = 1 }),
      .incarnation = 18446744073709551615ULL,
      .domain = "ikeja",
      .targetState = TargetState::kReady,
      .state = NodeState::kLeaving });
  const PeerMessage message = Probe({ .sequence = 7, .changes = { member } });
  const Decoded<PeerMessage> decoded = DecodeText<PeerMessage>(EncodeText(message));
  ASSERT_TRUE(std::holds_alternative<PeerMessage>(decoded));
  EXPECT_EQ(std::get<PeerMessage>(decoded), message);
}

// Guards against a first configuration version, 0, that peers can't tell from no configuration.
TEST(Codec, TellsVersionZeroFromNone)
{
  for (const std::optional<std::uint64_t>& version :
       { std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0) }) {
    SCOPED_TRACE(version ? "version 0" : "no configuration");
    const PeerMessage messages[] = { Probe({ .configOffset = version }),
                                     ProbeAck({ .configOffset = version }),
                                     MeshConfigWant({ .version = version }),
                                     StoreContact({ .version = version }) };
    for (const PeerMessage& message : messages) {
      const Decoded<PeerMessage> decoded = DecodeText<PeerMessage>(EncodeText(message));
      ASSERT_TRUE(std::holds_alternative<PeerMessage>(decoded)) << EncodeText(message);
      EXPECT_EQ(std::get<PeerMessage>(decoded), message);
    }
  }
}

TEST(Codec, RejectsUnknownUnionMembers)
{
  const Decoded<PeerMessage> decoded = DecodeText<PeerMessage>(R"({"type":"prope"})");
  EXPECT_TRUE(std::holds_alternative<DecodeError>(decoded));
}

} // namespace
} // namespace jackdawwind::wire
