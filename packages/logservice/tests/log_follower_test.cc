// Guards against lost, duplicated or reordered events when the log service fails or the sink
// refuses events.
#include "logservice/log_follower.h"

#include <condition_variable>
#include <mutex>
#include <optional>

#include <gtest/gtest.h>

#include "standins/log_service/log_service_thread.h"
#include "wire/codec.h"
#include "wire/generated/records_codec.h"

namespace jackdawwind::logservice {
namespace {

using standins::LogService;
using standins::LogServiceThread;

/// Sink that records events and can be told to refuse some.
class FakeSink
{
public:
  bool Take(Event aEvent)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->refusals > 0) {
      --this->refusals;
      return false;
    }
    this->events.push_back(std::move(aEvent));
    this->changed.notify_all();
    return true;
  }

  /// Refuses the next aCount events.
  void Refuse(int aCount)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->refusals = aCount;
  }

  /// Returns the next event of a type and drops other events before it; waits for at most 10 s for
  /// each event.
  template<typename T>
  std::optional<T> Next()
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    for (;;) {
      while (!this->events.empty()) {
        const Event event = this->events.front();
        this->events.pop_front();
        if (const T* wanted = std::get_if<T>(&event)) {
          return *wanted;
        }
      }
      if (this->changed.wait_for(lock, std::chrono::seconds(10)) == std::cv_status::timeout) {
        return std::nullopt;
      }
    }
  }

  /// Returns the offsets of the next records read, at least aCount of them unless no more arrive.
  std::vector<std::uint64_t> NextOffsets(std::size_t aCount)
  {
    std::vector<std::uint64_t> offsets;
    while (offsets.size() < aCount) {
      const std::optional<LogRead> read = this->Next<LogRead>();
      if (!read) {
        break;
      }
      for (const LogRecord& record : read->Records()) {
        offsets.push_back(record.Offset());
      }
    }
    return offsets;
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Event> events;
  int refusals = 0;
};

class LogFollowerTest : public testing::Test
{
protected:
  LogFollowerTest()
    : follower(LogServiceSettings({ .host = "127.0.0.1",
                                    .port = this->service.Port(),
                                    .timeoutMs = std::chrono::milliseconds(300) }),
               [this](Event aEvent) { return this->sink.Take(std::move(aEvent)); })
  {
  }

  AppendLog Append(std::uint64_t aTicket) const
  {
    return AppendLog({ .ticket = aTicket,
                       .stream = "s",
                       .records = { ClaimRelease(
                         { .organisation = "o", .key = "k", .owner = "n", .number = aTicket }) } });
  }

  void SetFaults(LogFaultMode aMode, std::uint32_t aCount)
  {
    this->service.Call([aMode, aCount](LogService& aService) {
      aService.SetFaults(LogFaults({ .mode = aMode, .count = aCount }));
    });
  }

  LogServiceThread service;
  FakeSink sink;
  LogFollower follower;
};

TEST_F(LogFollowerTest, ResumesReadingAfterFailures)
{
  this->SetFaults(LogFaultMode::kRefuse, 2);
  EXPECT_TRUE(this->follower.Submit(FollowLog({ .stream = "s", .from = 0 })));
  EXPECT_TRUE(this->sink.Next<LogReadFailed>());
  EXPECT_TRUE(this->sink.Next<LogReadFailed>());
  EXPECT_TRUE(this->sink.Next<LogRead>());
  EXPECT_TRUE(this->follower.Submit(this->Append(1)));
  EXPECT_EQ(this->sink.NextOffsets(1), std::vector<std::uint64_t>({ 0 }));
}

TEST_F(LogFollowerTest, PreservesTheOrderOfAppends)
{
  for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
    EXPECT_TRUE(this->follower.Submit(this->Append(ticket)));
  }
  for (std::uint64_t ticket = 1; ticket <= 5; ++ticket) {
    EXPECT_EQ(this->sink.Next<LogAppended>(),
              LogAppended({ .ticket = ticket,
                            .outcome = jackdawwind::Appended({ .firstOffset = ticket - 1 }) }));
  }
}

TEST_F(LogFollowerTest, ReportsALostAppendResponseAsUnknownAndReadsTheRecord)
{
  this->SetFaults(LogFaultMode::kLoseAppendAnswers, 1);
  EXPECT_TRUE(this->follower.Submit(this->Append(1)));
  EXPECT_EQ(this->sink.Next<LogAppended>(),
            LogAppended({ .ticket = 1, .outcome = AppendUnknown() }));
  EXPECT_TRUE(this->follower.Submit(FollowLog({ .stream = "s", .from = 0 })));
  EXPECT_EQ(this->sink.NextOffsets(1), std::vector<std::uint64_t>({ 0 }));
  EXPECT_EQ(this->service.Call([](LogService& aService) { return aService.Records("s").size(); }),
            1U);
}

TEST_F(LogFollowerTest, DeliversInOrderAfterTheSinkRefused)
{
  this->sink.Refuse(5);
  EXPECT_TRUE(this->follower.Submit(FollowLog({ .stream = "s", .from = 0 })));
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    EXPECT_TRUE(this->follower.Submit(this->Append(ticket)));
  }
  EXPECT_EQ(this->sink.NextOffsets(3), std::vector<std::uint64_t>({ 0, 1, 2 }));
}

TEST_F(LogFollowerTest, HalvesTheBatchWhenAResponseIsTooLarge)
{
  constexpr std::size_t kRecordBytes = std::size_t{ 1 } << 20U;
  constexpr std::size_t kRecords = 12;
  static_assert(kRecordBytes * kRecords > kMaxReadBytes);
  this->service.Call([](LogService& aService) {
    Json::Value records(Json::arrayValue);
    for (std::size_t index = 0; index < kRecords; ++index) {
      records.append(
        wire::Encode<Record>(CorruptRecord({ .reason = std::string(kRecordBytes, 'x') })));
    }
    aService.Append("s", records);
  });
  EXPECT_TRUE(this->follower.Submit(FollowLog({ .stream = "s", .from = 0 })));
  EXPECT_EQ(this->sink.NextOffsets(kRecords).size(), kRecords);
}

TEST_F(LogFollowerTest, FollowLogReplacesTheEarlierPosition)
{
  for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
    EXPECT_TRUE(this->follower.Submit(this->Append(ticket)));
    EXPECT_TRUE(this->sink.Next<LogAppended>());
  }
  EXPECT_TRUE(this->follower.Submit(FollowLog({ .stream = "s", .from = 0 })));
  EXPECT_EQ(this->sink.NextOffsets(3), std::vector<std::uint64_t>({ 0, 1, 2 }));
  EXPECT_TRUE(this->follower.Submit(FollowLog({ .stream = "s", .from = 2 })));
  EXPECT_EQ(this->sink.NextOffsets(1), std::vector<std::uint64_t>({ 2 }));
  EXPECT_TRUE(this->follower.Submit(StopFollowing({ .stream = "s" })));
}

} // namespace
} // namespace jackdawwind::logservice
