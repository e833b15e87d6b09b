// Guards the rules that the fleet-wide limit depends on: which tokens count against a burst, when
// votes and token lives begin, and how limits are split over the domains and increased. A broken
// rule admits more calls than rate and burst allow, or elects two stewards in one domain.
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/rate/share_limits.h"
#include "decisions/rate/steward_buckets.h"
#include "decisions/rate/steward_election.h"
#include "decisions/rate/token_bucket.h"
#include "decisions/rate/token_cache.h"
#include "decisions/rate/vote_promise.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMarkBase = 1000;

Time
At(Duration aTime)
{
  return Time(aTime);
}

TEST(ShareLimits, SplitsBurstIntoWholeTokensThatSumToTheBurst)
{
  struct Case
  {
    const char* name;
    double burst;
    std::vector<double> shares;
    std::vector<std::uint32_t> bursts;
    std::vector<double> rates;
  };
  const Case cases[] = {
    { "even", 8, { 0.5, 0.5 }, { 4, 4 }, { 50, 50 } },
    { "remainder", 5, { 0.5, 0.5 }, { 3, 2 }, { 50, 50 } },
    { "less than one token each", 1, { 0.25, 0.25, 0.5 }, { 0, 0, 1 }, { 0, 0, 100 } },
    { "shares just below one", 1, { 0.333, 0.333, 0.333 }, { 1, 0, 0 }, { 99.9, 0, 0 } },
    { "domain without share", 4, { 1, 0 }, { 4, 0 }, { 100, 0 } },
    { "shares sum to less than one", 10, { 0.2, 0.2 }, { 2, 2 }, { 20, 20 } },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    std::map<std::string, Domain> domains;
    for (std::size_t index = 0; index < testCase.shares.size(); ++index) {
      const std::string name = "d" + std::to_string(index);
      domains.emplace(
        name, Domain({ .name = name, .region = "r", .hosts = 1, .share = testCase.shares[index] }));
    }
    const Organisation organisation({ .name = "o", .rate = 100, .burst = testCase.burst });
    for (std::size_t index = 0; index < testCase.shares.size(); ++index) {
      const BucketLimit limit = LimitOf(organisation, domains, "d" + std::to_string(index));
      EXPECT_EQ(limit.burst, testCase.bursts[index]) << index;
      EXPECT_NEAR(limit.perSecond, testCase.rates[index], 1e-6) << index;
    }
  }
}

TEST(DelayedLimit, DelaysIncreasesButNotDecreases)
{
  DelayedLimit limit;
  limit.Set({ 10, 10 }, At(seconds(0)));
  EXPECT_EQ(limit.InForce(At(milliseconds(9999))), BucketLimit{})
    << "the first value is an increase from zero";
  EXPECT_EQ(limit.InForce(At(seconds(10))), (BucketLimit{ 10, 10 }));
  limit.Set({ 4, 20 }, At(seconds(20)));
  EXPECT_EQ(limit.InForce(At(seconds(20))), (BucketLimit{ 4, 10 }));
  limit.Set({ 30, 5 }, At(seconds(25)));
  EXPECT_EQ(limit.InForce(At(seconds(31))), (BucketLimit{ 4, 5 })) << "the rate increases at 35 s";
  EXPECT_EQ(limit.InForce(At(seconds(35))), (BucketLimit{ 30, 5 }));
}

TEST(TokenBucket, HandedOutTokensCountAgainstBurstUntilExpiry)
{
  TokenBucket bucket(At(seconds(0)));
  bucket.SetLimit({ 10, 10 }, At(seconds(0)));
  EXPECT_EQ(bucket.Available(At(milliseconds(99))), 0U) << "starts empty";
  EXPECT_EQ(bucket.HandOut(20, seconds(2), At(seconds(5))), 10U);
  EXPECT_EQ(bucket.Available(At(milliseconds(6999))), 0U) << "ten tokens are outstanding";
  EXPECT_EQ(bucket.Available(At(seconds(7))), 0U)
    << "the tokens expire and the bucket starts to fill";
  EXPECT_EQ(bucket.Available(At(seconds(8))), 10U);
  bucket.SetLimit({ 10, 3 }, At(seconds(8)));
  EXPECT_EQ(bucket.Available(At(seconds(8))), 3U) << "a smaller burst takes effect at once";
}

TEST(TokenBucket, KeepsFractionsOfATokenBetweenGrants)
{
  TokenBucket bucket(At(seconds(0)));
  bucket.SetLimit({ 0.7, 2 }, At(seconds(0)));
  std::uint32_t granted = 0;
  for (int step = 1; step <= 10000; ++step) {
    granted += bucket.HandOut(1, milliseconds(100), At(milliseconds(100) * step));
  }
  EXPECT_NEAR(granted, 700, 1);
}

TEST(StewardElection, VoteDurationBeginsAtItsMark)
{
  struct Case
  {
    const char* name;
    Duration issued;
    Duration arrived;
    LeaseChange change;
  };
  const Case cases[] = {
    { "prompt", seconds(10), seconds(10), LeaseChange::kWon },
    { "late but not expired", seconds(10), milliseconds(12900), LeaseChange::kWon },
    { "older than a promise", seconds(10), seconds(13), LeaseChange::kNone },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    StewardElection election(kMarkBase, At(seconds(0)));
    election.SetHosts(1, At(seconds(0)));
    const std::uint64_t mark = election.IssueMark(At(testCase.issued));
    election.CountVote("v", mark, At(testCase.arrived));
    EXPECT_EQ(election.Update(At(testCase.arrived)), testCase.change);
    EXPECT_EQ(election.Update(At(testCase.issued + seconds(3))),
              testCase.change == LeaseChange::kWon ? LeaseChange::kLost : LeaseChange::kNone)
      << "the vote expires 3 s after its mark, whenever it arrived";
  }
}

TEST(StewardElection, RequiresMoreThanHalfOfTheHosts)
{
  StewardElection election(kMarkBase, At(seconds(0)));
  election.SetHosts(4, At(seconds(0)));
  for (const char* voter : { "a", "b", "b" }) {
    election.CountVote(voter, election.IssueMark(At(seconds(1))), At(seconds(1)));
  }
  EXPECT_EQ(election.Update(At(seconds(1))), LeaseChange::kNone);
  election.CountVote("c", kMarkBase - 1, At(seconds(1)));
  EXPECT_EQ(election.Update(At(seconds(1))), LeaseChange::kNone) << "mark of another incarnation";
  election.SetHosts(2, At(seconds(1)));
  EXPECT_EQ(election.Update(At(seconds(1))), LeaseChange::kNone)
    << "a smaller host count takes effect after 10 s";
}

TEST(VotePromise, AllowsNoOtherVoteForThreeSecondsAndAfterRestart)
{
  VotePromise promise(At(seconds(0)));
  EXPECT_FALSE(promise.MayVote("a", At(milliseconds(2999))))
    << "an earlier incarnation may have made a promise";
  EXPECT_TRUE(promise.MayVote("a", At(seconds(3))));
  promise.Make("a", kMarkBase, At(seconds(3)));
  EXPECT_TRUE(promise.MayVote("a", At(seconds(4))));
  EXPECT_FALSE(promise.MayVote("b", At(milliseconds(5999))));
  promise.Release("a", kMarkBase - 1);
  EXPECT_FALSE(promise.MayVote("b", At(seconds(4)))) << "late release of an earlier incarnation";
  promise.Release("a", kMarkBase + 5);
  EXPECT_TRUE(promise.MayVote("b", At(seconds(4))));
}

TEST(StewardBuckets, NewTermGrantsNothingForOneTokenLife)
{
  StewardBuckets buckets;
  buckets.SetLimits({ { "o", { 100, 100 } } }, At(seconds(0)));
  buckets.BeginTerm(At(seconds(20)));
  EXPECT_EQ(buckets.Grant("o", 1, At(seconds(22))).Tokens(), 0U);
  buckets.Refresh(At(milliseconds(22020)));
  EXPECT_EQ(buckets.Grant("o", 10, At(milliseconds(22020))).Tokens(), 0U) << "starts empty";
  EXPECT_EQ(buckets.Grant("o", 10, At(milliseconds(22070))).Tokens(), 5U);
  buckets.EndTerm();
  EXPECT_EQ(buckets.Grant("o", 10, At(seconds(30))).Tokens(), 0U);
}

TEST(StewardBuckets, LenderReservesTokensForItsOwnDomain)
{
  StewardBuckets buckets;
  buckets.SetLimits({ { "o", { 100, 100 } } }, At(seconds(0)));
  buckets.BeginTerm(At(seconds(20)));
  buckets.Refresh(At(milliseconds(22020)));
  buckets.NoteDemand("o", 80, At(seconds(24)));
  EXPECT_EQ(buckets.Lend("o", 200, At(seconds(24))).Tokens(), 80U)
    << "reserves 250 ms of a demand of 80 per second";
  EXPECT_EQ(buckets.Grant("o", 200, At(seconds(24))).Tokens(), 20U);
}

TEST(TokenCache, TokenLifeBeginsAtReportAndDuplicateGrantsAreIgnored)
{
  TokenCache cache(true);
  cache.NoteDemand("o", At(seconds(0)));
  cache.NoteSent(7, "s", { TokenDemand({ .organisation = "o", .want = 2 }) }, At(seconds(0)));
  const StewardGrant::Fields fields{
    .sender = "s",
    .sequence = 7,
    .mark = 1,
    .elected = true,
    .grants = { TokenGrant({ .organisation = "o", .tokens = 2, .life = seconds(1) }) }
  };
  StewardGrant::Fields other = fields;
  other.sender = "t";
  EXPECT_FALSE(cache.Receive(StewardGrant(other), At(milliseconds(900))))
    << "the report went to another node";
  EXPECT_TRUE(cache.Receive(StewardGrant(fields), At(milliseconds(900))));
  EXPECT_FALSE(cache.Receive(StewardGrant(fields), At(milliseconds(900)))) << "duplicate grant";
  EXPECT_EQ(cache.Count("o", At(milliseconds(999))), 2U);
  EXPECT_FALSE(cache.Take("o", At(seconds(1))))
    << "the life of 1 s begins at the report, not at the grant";
}

} // namespace
} // namespace jackdawwind
