#include "logservice/log_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "logservice/post.h"

namespace jackdawwind::logservice {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxCommands = 1024;
// More appends than the log service takes in a second would only wait until their callers gave up.
constexpr std::size_t kMaxQueuedAppends = 256;
constexpr std::uint32_t kReadLimit = 500;
// A silent connection is noticed after this time plus the timeout of the settings, which must stay
// well below the 7 s in which a change must be in force.
constexpr milliseconds kLongPollWait{ 2000 };
// A service that answers "nothing new" at once is asked again after this time.
constexpr milliseconds kEarlyAnswerPause{ 250 };
constexpr milliseconds kFirstRetryDelay{ 100 };
constexpr milliseconds kLongestRetryDelay{ 2000 };
// How often a sink that refuses events is tried again.
constexpr milliseconds kSinkRetryDelay{ 10 };

} // namespace

LogFollower::LogFollower(LogServiceSettings aSettings, Sink aSink)
  : sink(std::move(aSink))
  , work(this->context.get_executor())
  , commands(kMaxCommands, [this] { Post(this->context, [this] { this->TakeCommands(); }); })
  , client(this->context, std::move(aSettings))
  , random(std::random_device{}())
  , sinkTimer(this->context)
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
LogFollower::TakeCommands()
{
  if (!this->waiting.empty()) {
    return;
  }
  for (Command& command : this->commands.PopReady()) {
    std::visit([this](auto& aCommand) { this->Take(std::move(aCommand)); }, command);
  }
}

void
LogFollower::Take(AppendLog aCommand)
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
LogFollower::Take(const FollowLog& aCommand)
{
  this->Take(StopFollowing({ .stream = aCommand.Stream() }));
  const std::shared_ptr<Followed> position = std::make_shared<Followed>(this->context);
  position->next = aCommand.From();
  position->limit = kReadLimit;
  this->followed[aCommand.Stream()] = position;
  this->StartRead(position, aCommand.Stream());
}

void
LogFollower::Take(const StopFollowing& aCommand)
{
  const auto found = this->followed.find(aCommand.Stream());
  if (found == this->followed.end()) {
    return;
  }
  found->second->pause.cancel();
  if (const std::shared_ptr<HttpExchange> exchange = found->second->exchange.lock()) {
    exchange->Cancel();
  }
  this->followed.erase(found);
}

void
LogFollower::StartRead(const std::shared_ptr<Followed>& aFollowed, const std::string& aStream)
{
  aFollowed->reading = true;
  const Time started = Clock::now();
  aFollowed->exchange =
    this->client.Read({ .stream = aStream,
                        .from = aFollowed->next,
                        .limit = aFollowed->limit,
                        .wait = kLongPollWait },
                      [this, aFollowed, aStream, started](const LogReadResult& aResult) {
                        this->FinishRead(aFollowed, aStream, started, aResult);
                      });
}

void
LogFollower::FinishRead(const std::shared_ptr<Followed>& aFollowed,
                        const std::string& aStream,
                        Time aStarted,
                        const LogReadResult& aResult)
{
  aFollowed->reading = false;
  if (const LogReadError* error = std::get_if<LogReadError>(&aResult)) {
    if (error->TooLarge() && aFollowed->limit > 1) {
      aFollowed->limit /= 2;
      this->StartRead(aFollowed, aStream);
      return;
    }
    ++aFollowed->failures;
    this->Pause(aFollowed, aStream, this->RetryDelay(aFollowed->failures));
    this->Deliver(LogReadFailed({ .stream = aStream }));
    return;
  }
  const LogRead& read = std::get<LogRead>(aResult);
  aFollowed->failures = 0;
  aFollowed->limit = kReadLimit;
  aFollowed->next = read.Next();
  const bool early = read.Records().empty() && Clock::now() - aStarted < kLongPollWait / 2;
  if (early) {
    this->Pause(aFollowed, aStream, kEarlyAnswerPause);
  }
  // Without a pause the next read starts when the sink has taken the event.
  this->Deliver(read);
}

void
LogFollower::Pause(const std::shared_ptr<Followed>& aFollowed,
                   const std::string& aStream,
                   Duration aDuration)
{
  aFollowed->pausing = true;
  aFollowed->pause.expires_after(aDuration);
  aFollowed->pause.async_wait(
    [this, aFollowed, aStream](const boost::system::error_code& /*aError*/) {
      aFollowed->pausing = false;
      const auto found = this->followed.find(aStream);
      const bool current = found != this->followed.end() && found->second == aFollowed;
      if (current && !aFollowed->reading && this->waiting.empty()) {
        this->StartRead(aFollowed, aStream);
      }
    });
}

Duration
LogFollower::RetryDelay(std::uint32_t aFailures)
{
  constexpr std::uint32_t kMostDoublings = 5;
  const milliseconds longest = std::min(
    kLongestRetryDelay, kFirstRetryDelay * (1U << std::min(aFailures - 1, kMostDoublings)));
  // Between half and all of it, so that nodes that lost the log together do not return together.
  const double factor = 0.5 + this->random.Fraction() / 2;
  return std::chrono::duration_cast<Duration>(longest * factor);
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
  // A reader that pauses after an early answer has something to read now.
  const auto found = this->followed.find(aStream);
  if (found != this->followed.end() && found->second->pausing && found->second->failures == 0) {
    found->second->pause.cancel();
  }
}

void
LogFollower::Deliver(Event aEvent)
{
  const bool first = this->waiting.empty();
  this->waiting.push_back(std::move(aEvent));
  if (first) {
    this->DeliverWaiting();
  }
}

void
LogFollower::DeliverWaiting()
{
  while (!this->waiting.empty()) {
    if (!this->sink(this->waiting.front())) {
      this->sinkTimer.expires_after(kSinkRetryDelay);
      this->sinkTimer.async_wait([this](const boost::system::error_code& aError) {
        if (!aError) {
          this->DeliverWaiting();
        }
      });
      return;
    }
    this->waiting.pop_front();
  }
  Post(this->context, [this] {
    this->TakeCommands();
    for (const std::pair<const std::string, std::shared_ptr<Followed>>& entry : this->followed) {
      if (!entry.second->reading && !entry.second->pausing) {
        this->StartRead(entry.second, entry.first);
      }
    }
  });
}

} // namespace jackdawwind::logservice
