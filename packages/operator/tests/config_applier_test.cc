// Guards against a change that is appended twice, lost without being reported, or applied over a
// concurrent change of another operator.
#include "operator/config_applier.h"

#include <future>

#include <gtest/gtest.h>

#include "standins/log_service/log_service_thread.h"
#include "wire/codec.h"
#include "wire/generated/records_codec.h"

namespace jackdawwind::control {
namespace {

using standins::LogService;
using standins::LogServiceThread;

std::vector<ConfigItem>
ItemsWithRate(double aRate)
{
  const Organisation organisation({ .name = "o", .rate = aRate, .burst = 1 });
  return { ConfigItem({ .path = PathOf(organisation), .body = organisation }) };
}

class ConfigApplierTest : public testing::Test
{
protected:
  ConfigApplier NewApplier(std::chrono::milliseconds aTimeout = std::chrono::seconds(10)) const
  {
    return ConfigApplier(
      { .log = LogServiceSettings({ .host = "127.0.0.1",
                                    .port = this->service.Port(),
                                    .timeoutMs = std::chrono::milliseconds(300) }),
        .author = "test",
        .timeout = aTimeout });
  }

  ApplyOutcome Apply(double aRate,
                     std::chrono::milliseconds aTimeout = std::chrono::seconds(10)) const
  {
    return this->NewApplier(aTimeout).Apply(ItemsWithRate(aRate));
  }

  void SetFaults(LogFaultMode aMode, std::uint32_t aCount)
  {
    this->service.Call([aMode, aCount](LogService& aService) {
      aService.SetFaults(LogFaults({ .mode = aMode, .count = aCount }));
    });
  }

  std::size_t RecordCount()
  {
    return this->service.Call(
      [](LogService& aService) { return aService.Records(kControlStream).size(); });
  }

  LogServiceThread service;
};

TEST_F(ConfigApplierTest, AppendsOnlyDifferences)
{
  const ApplyOutcome first = this->Apply(1);
  ASSERT_TRUE(std::holds_alternative<ApplyAccepted>(first));
  EXPECT_EQ(std::get<ApplyAccepted>(first).Puts(), 1U);
  EXPECT_EQ(
    this->Apply(1),
    ApplyOutcome(ApplyUnchanged({ .revision = std::get<ApplyAccepted>(first).Revision() })));
  EXPECT_EQ(this->RecordCount(), 1U);
  const ApplyOutcome emptied = this->NewApplier().Apply({});
  ASSERT_TRUE(std::holds_alternative<ApplyAccepted>(emptied));
  EXPECT_EQ(std::get<ApplyAccepted>(emptied).Removes(), 1U);
}

TEST_F(ConfigApplierTest, AcceptsOneOfTwoConcurrentChanges)
{
  ConfigApplier first = this->NewApplier();
  ConfigApplier second = this->NewApplier();
  ASSERT_FALSE(first.ReadToEnd());
  ASSERT_FALSE(second.ReadToEnd());
  std::future<ApplyOutcome> firstOutcome =
    std::async(std::launch::async, [&first] { return first.AppendDifference(ItemsWithRate(1)); });
  const ApplyOutcome two = second.AppendDifference(ItemsWithRate(2));
  const ApplyOutcome one = firstOutcome.get();
  const bool oneWon = std::holds_alternative<ApplyAccepted>(one);
  const ApplyOutcome& winner = oneWon ? one : two;
  ASSERT_TRUE(std::holds_alternative<ApplyAccepted>(winner));
  EXPECT_EQ(
    oneWon ? two : one,
    ApplyOutcome(ApplyConflict({ .revision = std::get<ApplyAccepted>(winner).Revision() })));
  EXPECT_EQ(
    this->Apply(oneWon ? 1 : 2),
    ApplyOutcome(ApplyUnchanged({ .revision = std::get<ApplyAccepted>(winner).Revision() })));
}

TEST_F(ConfigApplierTest, ReportsOutcomeUnderLogFaults)
{
  struct Case
  {
    LogFaultMode mode;
    // Number of faulty requests, of which the append is the first; 0 for all.
    std::uint32_t count;
    std::size_t outcome;
    std::size_t records;
  };
  const ApplyOutcome accepted = ApplyAccepted();
  const ApplyOutcome notDone = ApplyNotDone();
  const ApplyOutcome unknown = ApplyUnknown();
  const Case cases[] = {
    { LogFaultMode::kLoseAppendAnswers, 1, accepted.index(), 1 },
    { LogFaultMode::kRefuse, 1, notDone.index(), 0 },
    { LogFaultMode::kStall, 1, unknown.index(), 0 },
    { LogFaultMode::kStall, 0, unknown.index(), 0 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(ToText(testCase.mode));
    LogServiceThread fresh;
    ConfigApplier applier(
      { .log = LogServiceSettings({ .host = "127.0.0.1",
                                    .port = fresh.Port(),
                                    .timeoutMs = std::chrono::milliseconds(200) }),
        .author = "",
        .timeout = std::chrono::milliseconds(1500) });
    ASSERT_FALSE(applier.ReadToEnd());
    fresh.Call([&testCase](LogService& aService) {
      aService.SetFaults(LogFaults({ .mode = testCase.mode, .count = testCase.count }));
    });
    EXPECT_EQ(applier.AppendDifference(ItemsWithRate(1)).index(), testCase.outcome);
    EXPECT_EQ(
      fresh.Call([](LogService& aService) { return aService.Records(kControlStream).size(); }),
      testCase.records);
  }
}

TEST_F(ConfigApplierTest, RetriesReadsAfterFailure)
{
  this->SetFaults(LogFaultMode::kRefuse, 2);
  EXPECT_TRUE(std::holds_alternative<ApplyAccepted>(this->Apply(1)));
  this->SetFaults(LogFaultMode::kRefuse, 0);
  EXPECT_TRUE(std::holds_alternative<ApplyNotDone>(this->Apply(2, std::chrono::milliseconds(300))));
}

TEST_F(ConfigApplierTest, StartsFromSnapshotWhenRecordsHaveExpired)
{
  const ApplyOutcome first = this->Apply(1);
  ASSERT_TRUE(std::holds_alternative<ApplyAccepted>(first));
  this->service.Call([](LogService& aService) {
    aService.Expire(LogExpiry({ .stream = kControlStream, .expireBefore = 1 }));
  });
  EXPECT_TRUE(std::holds_alternative<ApplyNotDone>(this->Apply(1)));
  const ApplyAccepted accepted = std::get<ApplyAccepted>(first);
  this->service.Call([&accepted](LogService& aService) {
    Json::Value records(Json::arrayValue);
    records.append(wire::Encode<Record>(
      ConfigSnapshot({ .asOf = 1, .revision = accepted.Revision(), .items = ItemsWithRate(1) })));
    aService.Append(kControlStream, records);
  });
  EXPECT_EQ(this->Apply(1), ApplyOutcome(ApplyUnchanged({ .revision = accepted.Revision() })));
}

} // namespace
} // namespace jackdawwind::control
