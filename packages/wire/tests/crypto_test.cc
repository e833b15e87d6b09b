// Guards against seals that verify for a different text or secret, and against repeated ids.
#include "wire/crypto.h"

#include <gtest/gtest.h>

namespace jackdawwind::wire {
namespace {

TEST(Crypto, SealVerifiesOnlyForItsTextAndSecret)
{
  const std::string seal = Seal("secret", "text");
  EXPECT_TRUE(SealMatches("secret", "text", seal));
  EXPECT_FALSE(SealMatches("other", "text", seal));
  EXPECT_FALSE(SealMatches("secret", "text2", seal));
  EXPECT_FALSE(SealMatches("secret", "text", seal.substr(1)));
  EXPECT_FALSE(SealMatches("secret", "text", ""));
}

TEST(Crypto, HashesAndKeysHaveFixedLengthAndIdsDiffer)
{
  EXPECT_EQ(HashHex("").size(), 64U);
  EXPECT_EQ(ShortHashHex("a"), HashHex("a").substr(0, 32));
  EXPECT_EQ(RandomKey().size(), 64U);
  EXPECT_NE(RandomId(), RandomId());
}

} // namespace
} // namespace jackdawwind::wire
