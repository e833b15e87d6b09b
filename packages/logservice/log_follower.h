// Duty thread that reads the followed streams of the log service and appends to them.
//
//   LogFollower follower(settings.Log(), [&ring](Event aEvent) { return ring.TryPush(aEvent); });
//   follower.Submit(FollowLog({ .stream = "control", .from = 0 }));
//   follower.Submit(AppendLog({ .ticket = 1, .stream = "control", .records = { record } }));
//
// Pushes LogRead (also for an empty answer, which shows that the log is reachable), LogReadFailed
// and LogAppended. Appends to one stream are sent one after the other, in the order of submission.
// While the sink refuses events, they wait in order, no stream is read on and no command is taken.
// Costs one thread and one connection per followed stream; the thread sleeps between events.
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

class LogFollower
{
public:
  /// Takes an event without waiting; false when it cannot be taken now.
  using Sink = std::function<bool(Event)>;

  /// Starts the thread. The sink runs on it.
  LogFollower(LogServiceSettings aSettings, Sink aSink);
  /// Cancels all requests, without outcomes for appends under way, and joins the thread.
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Each may be called from any thread and is false when the ring of commands is full.
  bool Submit(AppendLog aCommand);
  bool Submit(FollowLog aCommand);
  bool Submit(StopFollowing aCommand);

private:
  using Command = std::variant<AppendLog, FollowLog, StopFollowing>;

  /// Position in a followed stream.
  struct Followed
  {
    explicit Followed(boost::asio::io_context& aContext)
      : pause(aContext)
    {
    }

    std::uint64_t next = 0;
    std::uint32_t limit = 0;
    /// Failed reads since the last answer.
    std::uint32_t failures = 0;
    bool reading = false;
    bool pausing = false;
    ClockTimer pause;
    std::weak_ptr<HttpExchange> exchange;
  };

  void Run();
  void TakeCommands();
  void Take(AppendLog aCommand);
  void Take(const FollowLog& aCommand);
  void Take(const StopFollowing& aCommand);

  void StartRead(const std::shared_ptr<Followed>& aFollowed, const std::string& aStream);
  void FinishRead(const std::shared_ptr<Followed>& aFollowed,
                  const std::string& aStream,
                  Time aStarted,
                  const LogReadResult& aResult);
  void Pause(const std::shared_ptr<Followed>& aFollowed,
             const std::string& aStream,
             Duration aDuration);
  Duration RetryDelay(std::uint32_t aFailures);
  void StartAppend(const std::string& aStream);
  void FinishAppend(const std::string& aStream, const AppendOutcome& aOutcome);

  /// Gives an event to the sink, after the ones that wait.
  void Deliver(Event aEvent);
  void DeliverWaiting();

  const Sink sink;
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  Ring<Command> commands;
  LogClient client;
  Random random;
  std::map<std::string, std::shared_ptr<Followed>> followed;
  std::map<std::string, std::deque<AppendLog>> appends;
  std::size_t queuedAppends = 0;
  std::deque<Event> waiting;
  ClockTimer sinkTimer;
  std::thread thread;
};

} // namespace jackdawwind::logservice
