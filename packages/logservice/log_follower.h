// Thread that reads the followed streams of the log service and appends records to streams.
//
//   LogFollower follower(settings.Log(), [&ring](Event aEvent) { return ring.TryPush(aEvent); });
//   follower.Submit(FollowLog({ .stream = "control", .from = 0 }));
//   follower.Submit(AppendLog({ .ticket = 1, .stream = "control", .records = { record } }));
//
// Delivers the events LogRead (also for an empty response, which shows that the log is reachable),
// LogReadFailed and LogAppended. Appends to a stream are sent one at a time, in the order of
// submission. While the sink refuses events, they are queued in order, and neither reads are
// started nor commands processed. Uses one thread and one connection per followed stream; the
// thread blocks between events.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "logservice/log_client.h"
#include "util/random.h"
#include "util/ring.h"
#include "values/generated/calls.h"

namespace jackdawwind::logservice {

/// Follows streams of the log service; see the head of this file.
class LogFollower
{
public:
  /// Accepts an event without blocking; returns false to refuse it for now.
  using Sink = std::function<bool(Event)>;

  /// Starts the thread, on which the sink is called.
  LogFollower(LogServiceSettings aSettings, Sink aSink);
  /// Cancels all requests and joins the thread; in-flight appends get no outcome.
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Submits a command; thread-safe. Returns false if the command ring is full.
  bool Submit(AppendLog aCommand);
  bool Submit(FollowLog aCommand);
  bool Submit(StopFollowing aCommand);

private:
  using Command = std::variant<AppendLog, FollowLog, StopFollowing>;

  /// Read position and retry state of a followed stream.
  struct FollowedStream
  {
    explicit FollowedStream(boost::asio::io_context& aContext)
      : pauseTimer(aContext)
    {
    }

    std::uint64_t next = 0;
    /// Maximum number of records per read; halved when a response is too large.
    std::uint32_t limit = 0;
    /// Consecutive failed reads.
    std::uint32_t failures = 0;
    bool reading = false;
    bool paused = false;
    ClockTimer pauseTimer;
    std::weak_ptr<HttpExchange> exchange;
  };

  void Run();
  void HandleCommands();
  void Handle(AppendLog aCommand);
  void Handle(const FollowLog& aCommand);
  void Handle(const StopFollowing& aCommand);

  void StartRead(const std::shared_ptr<FollowedStream>& aStreamState, const std::string& aStream);
  void FinishRead(const std::shared_ptr<FollowedStream>& aStreamState,
                  const std::string& aStream,
                  Time aStarted,
                  const LogReadResult& aResult);
  void PauseReading(const std::shared_ptr<FollowedStream>& aStreamState,
                    const std::string& aStream,
                    Duration aDuration);
  Duration RetryDelay(std::uint32_t aFailures);
  void StartAppend(const std::string& aStream);
  void FinishAppend(const std::string& aStream, const AppendOutcome& aOutcome);

  /// Delivers an event to the sink, after the undelivered ones.
  void Deliver(Event aEvent);
  void DeliverQueued();

  const Sink sink;
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  Ring<Command> commands;
  LogClient client;
  Random random;
  std::map<std::string, std::shared_ptr<FollowedStream>> followed;
  std::map<std::string, std::deque<AppendLog>> appends;
  std::size_t queuedAppends = 0;
  std::deque<Event> undelivered;
  ClockTimer sinkRetryTimer;
  std::thread thread;
};

} // namespace jackdawwind::logservice
