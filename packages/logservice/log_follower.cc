#include "logservice/log_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "logservice/post.h"

namespace jackdawwind::logservice {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxCommands = 1024;
// More appends than the log service accepts per second would only time out in the queue.
constexpr std::size_t kMaxQueuedAppends = 256;
constexpr std::uint32_t kReadLimit = 500;
// A stalled connection is detected after this time plus the configured timeout. The sum must stay
// well below 7 s, the time within which a configuration change must be in force.
constexpr milliseconds kLongPollWait{ 2000 };
// Pause before the next read if the service responds without records and without a long poll.
constexpr milliseconds kEarlyResponsePause{ 250 };
constexpr milliseconds kInitialRetryDelay{ 100 };
constexpr milliseconds kMaxRetryDelay{ 2000 };
// Retry interval for a sink that refuses events.
constexpr milliseconds kSinkRetryDelay{ 10 };

} // namespace

LogFollower::LogFollower(LogServiceSettings aSettings, Sink aSink)
  : sink(std::move(aSink))
  , work(this->context.get_executor())
  , commands(kMaxCommands, [this] { Post(this->context, [this] { this->HandleCommands(); }); })
  , client(this->context, std::move(aSettings))
  , random(std::random_device{}())
  , sinkRetryTimer(this->context)
  , thread([this] { this->Run(); })
{
}

LogFollower::~LogFollower()
{
  this->context.stop();
  this->thread.join();
}

bool
LogFollower::Submit(AppendLog aCommand)
{
  return this->commands.TryPush(std::move(aCommand));
}

bool
LogFollower::Submit(FollowLog aCommand)
{
  return this->commands.TryPush(std::move(aCommand));
}

bool
LogFollower::Submit(StopFollowing aCommand)
{
  return this->commands.TryPush(std::move(aCommand));
}

void
LogFollower::Run()
{
  this->context.run();
}

void
LogFollower::HandleCommands()
{
  if (!this->undelivered.empty()) {
    return;
  }
  for (Command& command : this->commands.PopReady()) {
    std::visit([this](auto& aCommand) { this->Handle(std::move(aCommand)); }, command);
  }
}

void
LogFollower::Handle(AppendLog aCommand)
{
  if (this->queuedAppends >= kMaxQueuedAppends) {
    this->Deliver(LogAppended({ .ticket = aCommand.Ticket(), .outcome = AppendRejected() }));
    return;
  }
  const std::string stream = aCommand.Stream();
  std::deque<AppendLog>& queue = this->appends[stream];
  queue.push_back(std::move(aCommand));
  ++this->queuedAppends;
  if (queue.size() == 1) {
    this->StartAppend(stream);
  }
}

void
LogFollower::Handle(const FollowLog& aCommand)
{
  this->Handle(StopFollowing({ .stream = aCommand.Stream() }));
  const std::shared_ptr<FollowedStream> position = std::make_shared<FollowedStream>(this->context);
  position->next = aCommand.From();
  position->limit = kReadLimit;
  this->followed[aCommand.Stream()] = position;
  this->StartRead(position, aCommand.Stream());
}

void
LogFollower::Handle(const StopFollowing& aCommand)
{
  const auto found = this->followed.find(aCommand.Stream());
  if (found == this->followed.end()) {
    return;
  }
  found->second->pauseTimer.cancel();
  if (const std::shared_ptr<HttpExchange> exchange = found->second->exchange.lock()) {
    exchange->Cancel();
  }
  this->followed.erase(found);
}

void
LogFollower::StartRead(const std::shared_ptr<FollowedStream>& aStreamState,
                       const std::string& aStream)
{
  aStreamState->reading = true;
  const Time started = Clock::now();
  aStreamState->exchange =
    this->client.Read({ .stream = aStream,
                        .from = aStreamState->next,
                        .limit = aStreamState->limit,
                        .wait = kLongPollWait },
                      [this, aStreamState, aStream, started](const LogReadResult& aResult) {
                        this->FinishRead(aStreamState, aStream, started, aResult);
                      });
}

void
LogFollower::FinishRead(const std::shared_ptr<FollowedStream>& aStreamState,
                        const std::string& aStream,
                        Time aStarted,
                        const LogReadResult& aResult)
{
  aStreamState->reading = false;
  if (const LogReadError* error = std::get_if<LogReadError>(&aResult)) {
    if (error->TooLarge() && aStreamState->limit > 1) {
      aStreamState->limit /= 2;
      this->StartRead(aStreamState, aStream);
      return;
    }
    ++aStreamState->failures;
    this->PauseReading(aStreamState, aStream, this->RetryDelay(aStreamState->failures));
    this->Deliver(LogReadFailed({ .stream = aStream }));
    return;
  }
  const LogRead& read = std::get<LogRead>(aResult);
  aStreamState->failures = 0;
  aStreamState->limit = kReadLimit;
  aStreamState->next = read.Next();
  const bool early = read.Records().empty() && Clock::now() - aStarted < kLongPollWait / 2;
  if (early) {
    this->PauseReading(aStreamState, aStream, kEarlyResponsePause);
  }
  // Unless paused, the next read starts once the sink has accepted the event.
  this->Deliver(read);
}

void
LogFollower::PauseReading(const std::shared_ptr<FollowedStream>& aStreamState,
                          const std::string& aStream,
                          Duration aDuration)
{
  aStreamState->paused = true;
  aStreamState->pauseTimer.expires_after(aDuration);
  aStreamState->pauseTimer.async_wait(
    [this, aStreamState, aStream](const boost::system::error_code& /*aError*/) {
      aStreamState->paused = false;
      const auto found = this->followed.find(aStream);
      const bool current = found != this->followed.end() && found->second == aStreamState;
      if (current && !aStreamState->reading && this->undelivered.empty()) {
        this->StartRead(aStreamState, aStream);
      }
    });
}

Duration
LogFollower::RetryDelay(std::uint32_t aFailures)
{
  constexpr std::uint32_t kMaxDoublings = 5;
  const milliseconds maxDelay =
    std::min(kMaxRetryDelay, kInitialRetryDelay * (1U << std::min(aFailures - 1, kMaxDoublings)));
  // Jitter between half and the whole delay, so that nodes that lost the log at the same time do
  // not retry at the same time.
  const double jitter = 0.5 + this->random.Fraction() / 2;
  return std::chrono::duration_cast<Duration>(maxDelay * jitter);
}

void
LogFollower::StartAppend(const std::string& aStream)
{
  this->client.Append(
    aStream, this->appends[aStream].front().Records(), [this, aStream](AppendOutcome aOutcome) {
      this->FinishAppend(aStream, aOutcome);
    });
}

void
LogFollower::FinishAppend(const std::string& aStream, const AppendOutcome& aOutcome)
{
  std::deque<AppendLog>& queue = this->appends[aStream];
  this->Deliver(LogAppended({ .ticket = queue.front().Ticket(), .outcome = aOutcome }));
  queue.pop_front();
  --this->queuedAppends;
  if (queue.empty()) {
    this->appends.erase(aStream);
  } else {
    this->StartAppend(aStream);
  }
  // A read paused after an early response resumes at once, because there are new records.
  const auto found = this->followed.find(aStream);
  if (found != this->followed.end() && found->second->paused && found->second->failures == 0) {
    found->second->pauseTimer.cancel();
  }
}

void
LogFollower::Deliver(Event aEvent)
{
  const bool first = this->undelivered.empty();
  this->undelivered.push_back(std::move(aEvent));
  if (first) {
    this->DeliverQueued();
  }
}

void
LogFollower::DeliverQueued()
{
  while (!this->undelivered.empty()) {
    if (!this->sink(this->undelivered.front())) {
      this->sinkRetryTimer.expires_after(kSinkRetryDelay);
      this->sinkRetryTimer.async_wait([this](const boost::system::error_code& aError) {
        if (!aError) {
          this->DeliverQueued();
        }
      });
      return;
    }
    this->undelivered.pop_front();
  }
  Post(this->context, [this] {
    this->HandleCommands();
    for (const std::pair<const std::string, std::shared_ptr<FollowedStream>>& entry :
         this->followed) {
      if (!entry.second->reading && !entry.second->paused) {
        this->StartRead(entry.second, entry.first);
      }
    }
  });
}

} // namespace jackdawwind::logservice
