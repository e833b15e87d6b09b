// Measures the processing time of the node core's decisions, of encoding and decoding a call
// context and of sealing it.
//
//   decision_cost                  prints a Markdown table; takes the options of Google Benchmark
//
// One node core runs in simulated time, as the entry node of calls to a service of other nodes and
// as the admitting node of calls to its own target. It is the only node of its domain, so it takes
// tokens from its own buckets. Probes are acknowledged immediately. Only the four events of a call
// are timed, not the timers and messages in between. Rows are medians of the repetitions.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>

#include "decisions/config/control_state.h"
#include "decisions/node_core.h"
#include "wire/codec.h"
#include "wire/crypto.h"
#include "wire/generated/calls_codec.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kRepetitions = 5;

/// The timed events of one call, in the order in which they are handled.
constexpr std::array<const char*, 4> kEvents = { "CallArrived",
                                                 "AttemptArrived",
                                                 "TargetEnded",
                                                 "AttemptEnded" };

std::string
OrganisationName(std::size_t aIndex)
{
  return "organisation-" + std::to_string(aIndex);
}

Service
MakeService(const std::string& aName)
{
  return Service({ .name = aName,
                   .slots = 60,
                   .connections = 450,
                   .routes = { Route({ .method = "GET",
                                       .prefix = "/",
                                       .importance = Importance::kNormal,
                                       .idempotent = true }) } });
}

/// A node core with a configuration, a ready target and other members of the fleet.
class CoreUnderLoad
{
public:
  CoreUnderLoad(std::size_t aOrganisations, std::size_t aMembers);

  /// Handles the events of one call and adds the seconds of each to aSeconds, in the order of
  /// kEvents. Returns false if the call was refused.
  bool Call(std::size_t aOrganisation, std::array<double, 4>& aSeconds);

private:
  static NodeCore::Options Options();
  void Configure(std::size_t aOrganisations);
  void AddMembers(std::size_t aMembers);
  /// Advances simulated time and fires the timers that become due.
  void Advance(Duration aTime);
  /// Handles an event, untimed, and replies to its effects.
  void Deliver(const Event& aEvent);
  /// Simulates the log service and the peers: confirms appends and acknowledges probes.
  void ReplyTo(const Effects& aEffects);
  void Refresh();
  /// Handles an event and adds the seconds it took; its effects are not replied to.
  Effects HandleTimed(const Event& aEvent, double& aSeconds);

  Time now{};
  NodeCore core;
  std::uint64_t lastExchange = 0;
  std::uint64_t logEnd = 0;
  Time nextRefresh{};
};

NodeCore::Options
CoreUnderLoad::Options()
{
  NodeSettings::Fields settings{ .node = "node-0", .domain = "ikeja", .region = "lagos" };
  settings.log =
    LogServiceSettings({ .host = "log", .port = 1, .retention = std::chrono::hours(24) });
  return { .settings = NodeSettings(std::move(settings)),
           .self = PeerAddress({ .node = "node-0", .host = "127.0.0.1" }),
           .incarnation = 1,
           .seed = 1,
           .unixTimeAtClockZero = std::chrono::hours(24),
           .makeId = wire::RandomId };
}

CoreUnderLoad::CoreUnderLoad(std::size_t aOrganisations, std::size_t aMembers)
  : core(Options())
{
  // Covers the 3 s in which a new node grants no vote and the 2 s that a new steward waits.
  constexpr Duration kWarmUp = seconds(15);
  this->ReplyTo(this->core.Start(this->now));
  this->Configure(aOrganisations);
  this->AddMembers(aMembers);
  this->Advance(kWarmUp);
}

void
CoreUnderLoad::Configure(std::size_t aOrganisations)
{
  constexpr double kUnreachedRate = 100'000;
  std::vector<ItemBody> items{
    MakeService("fuel"),
    MakeService("hires"),
    Domain({ .name = "ikeja", .region = "lagos", .hosts = 1, .share = 0.5 }),
    Domain({ .name = "apapa", .region = "lagos", .hosts = 469, .share = 0.5 })
  };
  for (std::size_t index = 0; index < aOrganisations; ++index) {
    const std::string name = OrganisationName(index);
    items.emplace_back(
      Organisation({ .name = name, .rate = kUnreachedRate, .burst = kUnreachedRate }));
    items.emplace_back(KeyRecord({ .hash = "hash-of-" + name, .organisation = name }));
  }
  std::vector<ConfigItem> puts;
  puts.reserve(items.size());
  for (const ItemBody& body : items) {
    puts.push_back(ConfigItem({ .path = PathOf(body), .body = body }));
  }
  const LogRecord record(
    { .offset = 0, .record = ConfigChange({ .revision = "r1", .puts = std::move(puts) }) });
  this->logEnd = 1;
  this->Deliver(LogRead({ .stream = "control", .records = { record }, .next = 1, .end = 1 }));
}

void
CoreUnderLoad::AddMembers(std::size_t aMembers)
{
  std::vector<Member> members;
  members.reserve(aMembers);
  for (std::size_t index = 1; index < aMembers; ++index) {
    members.push_back(Member({ .address = PeerAddress({ .node = "node-" + std::to_string(index),
                                                        .host = "127.0.0.1",
                                                        .callPort = 1,
                                                        .controlPort = 2 }),
                               .incarnation = 1,
                               .version = 1,
                               .domain = "apapa",
                               .region = "lagos",
                               .service = "hires",
                               .targetState = TargetState::kReady,
                               .state = NodeState::kAlive }));
  }
  const PeerAddress sender = members.front().Address();
  this->Deliver(PeerReceived(
    { .message =
        MemberSync({ .sender = sender, .members = std::move(members), .reply = false }) }));
}

void
CoreUnderLoad::Advance(Duration aTime)
{
  const Time end = this->now + aTime;
  while (true) {
    const Time wake = std::min(this->core.NextWake(), this->nextRefresh);
    if (wake > end) {
      break;
    }
    this->now = std::max(this->now, wake);
    if (this->now >= this->nextRefresh) {
      this->Refresh();
    }
    this->Deliver(TimerFired());
  }
  this->now = end;
}

/// Repeats the periodic reports: the end of the log, and the announcement of a ready target.
void
CoreUnderLoad::Refresh()
{
  constexpr Duration kRefreshInterval = seconds(1);
  this->nextRefresh = this->now + kRefreshInterval;
  this->Deliver(LogRead({ .stream = "control", .next = this->logEnd, .end = this->logEnd }));
  this->Deliver(TargetAnnounced(
    { .service = "fuel", .host = "127.0.0.1", .port = 3, .state = TargetState::kReady }));
}

void
CoreUnderLoad::Deliver(const Event& aEvent)
{
  this->ReplyTo(this->core.Handle(aEvent, this->now));
}

void
CoreUnderLoad::ReplyTo(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const AppendLog* append = std::get_if<AppendLog>(&effect)) {
      this->Deliver(LogAppended(
        { .ticket = append->Ticket(), .outcome = Appended({ .firstOffset = this->logEnd }) }));
      continue;
    }
    const SendPeer* sent = std::get_if<SendPeer>(&effect);
    const Probe* probe = sent == nullptr ? nullptr : std::get_if<Probe>(&sent->Message());
    if (probe != nullptr) {
      this->Deliver(
        PeerReceived({ .message = ProbeAck({ .sequence = probe->Sequence(),
                                             .subject = sent->To().Node(),
                                             .tableHash = probe->TableHash(),
                                             .configOffset = probe->ConfigOffset() }) }));
    }
  }
}

Effects
CoreUnderLoad::HandleTimed(const Event& aEvent, double& aSeconds)
{
  const SteadyClock::time_point start = SteadyClock::now();
  Effects effects = this->core.Handle(aEvent, this->now);
  aSeconds += std::chrono::duration<double>(SteadyClock::now() - start).count();
  return effects;
}

template<typename T>
const T*
FindEffect(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const T* found = std::get_if<T>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

bool
CoreUnderLoad::Call(std::size_t aOrganisation, std::array<double, 4>& aSeconds)
{
  constexpr std::uint32_t kOk = 200;
  const std::uint64_t entryExchange = ++this->lastExchange;
  const std::uint64_t admittingExchange = ++this->lastExchange;
  const Effects entryEffects = this->HandleTimed(
    CallArrived({ .exchange = entryExchange,
                  .credential = KeyHash({ .hash = "hash-of-" + OrganisationName(aOrganisation) }),
                  .method = "GET",
                  .service = "hires",
                  .path = "/available" }),
    aSeconds[0]);
  const Forward* forward = FindEffect<Forward>(entryEffects);
  if (forward == nullptr) {
    return false;
  }
  CallContext::Fields context = forward->Context().ToFields();
  const std::uint32_t attempt = context.attempt;
  context.service = "fuel";
  const Effects admissionEffects = this->HandleTimed(
    AttemptArrived({ .exchange = admittingExchange, .context = CallContext(std::move(context)) }),
    aSeconds[1]);
  if (FindEffect<Dispatch>(admissionEffects) == nullptr) {
    return false;
  }
  this->Advance(milliseconds(1));
  const Effects targetEndEffects = this->HandleTimed(
    TargetEnded({ .exchange = admittingExchange, .outcome = TargetAnswered({ .status = kOk }) }),
    aSeconds[2]);
  const Effects answerEffects = this->HandleTimed(
    AttemptEnded(
      { .exchange = entryExchange,
        .attempt = attempt,
        .outcome = Answered({ .status = kOk, .code = ResultCode::kOk, .run = RunState::kRan }) }),
    aSeconds[3]);
  return FindEffect<Complete>(targetEndEffects) != nullptr &&
         FindEffect<Relay>(answerEffects) != nullptr;
}

void
Decisions(benchmark::State& aState)
{
  const std::size_t organisations = static_cast<std::size_t>(aState.range(0));
  CoreUnderLoad core(organisations, static_cast<std::size_t>(aState.range(1)));
  std::array<double, 4> total{};
  std::size_t next = 0;
  while (aState.KeepRunning()) {
    std::array<double, 4> elapsed{};
    if (!core.Call(next++ % organisations, elapsed)) {
      aState.SkipWithError("a call was refused");
      break;
    }
    double sum = 0;
    for (std::size_t event = 0; event < elapsed.size(); ++event) {
      total[event] += elapsed[event];
      sum += elapsed[event];
    }
    aState.SetIterationTime(sum);
  }
  for (std::size_t event = 0; event < total.size(); ++event) {
    aState.counters[kEvents[event]] =
      benchmark::Counter(total[event] * kMicrosecondsPerSecond, benchmark::Counter::kAvgIterations);
  }
}

CallContext
ExampleContext()
{
  return CallContext({ .rootId = "0123456789abcdef0123456789abcdef",
                       .organisation = "north-farm",
                       .service = "hires",
                       .importance = Importance::kNormal,
                       .priority = 100,
                       .allowance = 2,
                       .depth = 1,
                       .attempt = 1,
                       .idempotent = true,
                       .repeatable = true,
                       .remaining = seconds(9) });
}

void
ContextRoundTrip(benchmark::State& aState)
{
  const CallContext context = ExampleContext();
  while (aState.KeepRunning()) {
    const wire::Decoded<CallContext> decoded =
      wire::DecodeText<CallContext>(wire::EncodeText(context));
    if (decoded != wire::Decoded<CallContext>(context)) {
      aState.SkipWithError("the decoded context differs from the encoded one");
      break;
    }
  }
}

void
SealContext(benchmark::State& aState)
{
  const std::string text = wire::EncodeText(ExampleContext());
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(wire::Seal("fleet-secret", text));
  }
}

// Each call takes 1 ms of simulated time, so a repetition covers 20 s.
constexpr int kCallCount = 20'000;

BENCHMARK(Decisions)
  ->ArgsProduct({ { 1, 8, 64 }, { 4, 64, 470 } })
  ->ArgNames({ "organisations", "members" })
  ->Iterations(kCallCount)
  ->UseManualTime()
  ->Unit(benchmark::kMicrosecond)
  ->Repetitions(kRepetitions)
  ->ReportAggregatesOnly();
BENCHMARK(ContextRoundTrip)
  ->Unit(benchmark::kMicrosecond)
  ->MinTime(0.2)
  ->Repetitions(kRepetitions)
  ->ReportAggregatesOnly();
BENCHMARK(SealContext)
  ->Unit(benchmark::kMicrosecond)
  ->MinTime(0.2)
  ->Repetitions(kRepetitions)
  ->ReportAggregatesOnly();

/// Prints the medians as rows of a Markdown table.
class MarkdownReporter : public benchmark::BenchmarkReporter
{
public:
  bool ReportContext(const Context& /*aContext*/) override
  {
    std::printf("| measurement | total, µs |");
    for (const char* event : kEvents) {
      std::printf(" %s, µs |", event);
    }
    std::printf("\n| --- | --- | --- | --- | --- | --- |\n");
    return true;
  }

  void ReportRuns(const std::vector<Run>& aRuns) override
  {
    for (const Run& run : aRuns) {
      if (run.error_occurred) {
        std::printf(
          "| %s | failed: %s |\n", run.benchmark_name().c_str(), run.error_message.c_str());
      } else if (run.aggregate_name == "median") {
        PrintRow(run);
      }
    }
    std::fflush(stdout);
  }

private:
  static void PrintRow(const Run& aRun)
  {
    const std::string separator = aRun.run_name.args.empty() ? "" : " ";
    std::printf("| %s%s%s | %.2f |",
                aRun.run_name.function_name.c_str(),
                separator.c_str(),
                aRun.run_name.args.c_str(),
                aRun.GetAdjustedRealTime());
    for (const char* event : kEvents) {
      const benchmark::UserCounters::const_iterator found = aRun.counters.find(event);
      if (found == aRun.counters.end()) {
        std::printf(" |");
      } else {
        std::printf(" %.2f |", found->second.value);
      }
    }
    std::printf("\n");
  }
};

} // namespace
} // namespace jackdawwind

int
main(int aCount, char** aArguments)
{
  benchmark::Initialize(&aCount, aArguments);
  if (benchmark::ReportUnrecognizedArguments(aCount, aArguments)) {
    return 1;
  }
  jackdawwind::MarkdownReporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return 0;
}
