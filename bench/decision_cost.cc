// Measures the processing time of decisions, of the context's codec and of a seal.
//
//   decision_cost                  prints a Markdown table; takes the options of Google Benchmark
//
// One node core in simulated time is entry node of calls to a service of other nodes and admitting
// node of calls to the target beside it. It is the only node of its domain, so it takes tokens from
// its own buckets. Probes are acknowledged at once. Only the four events of a call are timed, not
// the timers and messages in between. Rows are medians of the repetitions.
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

/// Events of one call in the order in which they are handled here.
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

/// One core with a configuration, a ready target and other members.
class CoreUnderLoad
{
public:
  CoreUnderLoad(std::size_t aOrganisations, std::size_t aMembers);

  /// Handles the events of one call and adds the time of each; false when the call was refused.
  bool Call(std::size_t aOrganisation, std::array<double, 4>& aSeconds);

private:
  static NodeCore::Options Options();
  void Configure(std::size_t aOrganisations);
  void AddMembers(std::size_t aMembers);
  /// Moves the time and handles what becomes due.
  void Advance(Duration aTime);
  void Give(const Event& aEvent);
  void Answer(const Effects& aEffects);
  void Renew();
  Effects Timed(const Event& aEvent, double& aSeconds);

  Time now{};
  NodeCore core;
  std::uint64_t exchange = 0;
  std::uint64_t logEnd = 0;
  Time nextRenewal{};
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
  // A new node promises no vote for 3 s and a new steward waits for 2 s.
  constexpr Duration kUntilTokens = seconds(15);
  this->Answer(this->core.Start(this->now));
  this->Configure(aOrganisations);
  this->AddMembers(aMembers);
  this->Advance(kUntilTokens);
}

void
CoreUnderLoad::Configure(std::size_t aOrganisations)
{
  constexpr double kAmple = 100'000;
  std::vector<ItemBody> items{
    MakeService("fuel"),
    MakeService("hires"),
    Domain({ .name = "ikeja", .region = "lagos", .hosts = 1, .share = 0.5 }),
    Domain({ .name = "apapa", .region = "lagos", .hosts = 469, .share = 0.5 })
  };
  for (std::size_t index = 0; index < aOrganisations; ++index) {
    const std::string name = OrganisationName(index);
    items.emplace_back(Organisation({ .name = name, .rate = kAmple, .burst = kAmple }));
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
  this->Give(LogRead({ .stream = "control", .records = { record }, .next = 1, .end = 1 }));
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
  this->Give(PeerReceived(
    { .message =
        MemberSync({ .sender = sender, .members = std::move(members), .reply = false }) }));
}

void
CoreUnderLoad::Advance(Duration aTime)
{
  const Time end = this->now + aTime;
  while (true) {
    const Time wake = std::min(this->core.NextWake(), this->nextRenewal);
    if (wake > end) {
      break;
    }
    this->now = std::max(this->now, wake);
    if (this->now >= this->nextRenewal) {
      this->Renew();
    }
    this->Give(TimerFired());
  }
  this->now = end;
}

/// What the log service and the target say again and again.
void
CoreUnderLoad::Renew()
{
  constexpr Duration kRenewal = seconds(1);
  this->nextRenewal = this->now + kRenewal;
  this->Give(LogRead({ .stream = "control", .next = this->logEnd, .end = this->logEnd }));
  this->Give(TargetAnnounced(
    { .service = "fuel", .host = "127.0.0.1", .port = 3, .state = TargetState::kReady }));
}

void
CoreUnderLoad::Give(const Event& aEvent)
{
  this->Answer(this->core.Handle(aEvent, this->now));
}

void
CoreUnderLoad::Answer(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const AppendLog* append = std::get_if<AppendLog>(&effect)) {
      this->Give(LogAppended(
        { .ticket = append->Ticket(), .outcome = Appended({ .firstOffset = this->logEnd }) }));
      continue;
    }
    const SendPeer* sent = std::get_if<SendPeer>(&effect);
    const Probe* probe = sent == nullptr ? nullptr : std::get_if<Probe>(&sent->Message());
    if (probe != nullptr) {
      this->Give(PeerReceived({ .message = ProbeAck({ .sequence = probe->Sequence(),
                                                      .subject = sent->To().Node(),
                                                      .tableHash = probe->TableHash(),
                                                      .configOffset = probe->ConfigOffset() }) }));
    }
  }
}

Effects
CoreUnderLoad::Timed(const Event& aEvent, double& aSeconds)
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
  const std::uint64_t entered = ++this->exchange;
  const std::uint64_t admitted = ++this->exchange;
  const Effects atEntry = this->Timed(
    CallArrived({ .exchange = entered,
                  .credential = KeyHash({ .hash = "hash-of-" + OrganisationName(aOrganisation) }),
                  .method = "GET",
                  .service = "hires",
                  .path = "/available" }),
    aSeconds[0]);
  const Forward* forward = FindEffect<Forward>(atEntry);
  if (forward == nullptr) {
    return false;
  }
  CallContext::Fields context = forward->Context().ToFields();
  const std::uint32_t attempt = context.attempt;
  context.service = "fuel";
  const Effects atAdmission = this->Timed(
    AttemptArrived({ .exchange = admitted, .context = CallContext(std::move(context)) }),
    aSeconds[1]);
  if (FindEffect<Dispatch>(atAdmission) == nullptr) {
    return false;
  }
  this->Advance(milliseconds(1));
  const Effects atEnd =
    this->Timed(TargetEnded({ .exchange = admitted, .outcome = TargetAnswered({ .status = kOk }) }),
                aSeconds[2]);
  const Effects atAnswer = this->Timed(
    AttemptEnded(
      { .exchange = entered,
        .attempt = attempt,
        .outcome = Answered({ .status = kOk, .code = ResultCode::kOk, .run = RunState::kRan }) }),
    aSeconds[3]);
  return FindEffect<Complete>(atEnd) != nullptr && FindEffect<Relay>(atAnswer) != nullptr;
}

void
Decisions(benchmark::State& aState)
{
  const std::size_t organisations = static_cast<std::size_t>(aState.range(0));
  CoreUnderLoad core(organisations, static_cast<std::size_t>(aState.range(1)));
  std::array<double, 4> total{};
  std::size_t next = 0;
  while (aState.KeepRunning()) {
    std::array<double, 4> taken{};
    if (!core.Call(next++ % organisations, taken)) {
      aState.SkipWithError("a call was refused");
      break;
    }
    double sum = 0;
    for (std::size_t event = 0; event < taken.size(); ++event) {
      total[event] += taken[event];
      sum += taken[event];
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
      aState.SkipWithError("the context changed");
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

// 1 ms of simulated time per call, so 20 s.
constexpr int kCalls = 20'000;

BENCHMARK(Decisions)
  ->ArgsProduct({ { 1, 8, 64 }, { 4, 64, 470 } })
  ->ArgNames({ "organisations", "members" })
  ->Iterations(kCalls)
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
    std::printf("| measurement | whole, µs |");
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
