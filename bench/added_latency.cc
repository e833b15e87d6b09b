// Measures the latency that the two-hop path adds to a call, and the nodes' CPU time per call.
//
//   added_latency                  prints a Markdown table; takes no arguments
//
// Runs the real programs on loopback: a log service, two nodes of one failure domain and a target
// on the host of one of them. Callers with eight connections send at a fixed rate, in turn directly
// to the target and to the node without a target, so that every call through the nodes takes both
// hops. Latency is measured from the sending of a request to its answer. A table row is the median
// of the rounds; CPU time is summed over the rounds, because one round is short compared with the
// resolution of the kernel's counters (one clock tick).
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "bench/process_usage.h"
#include "process/fleet.h"
#include "process/http.h"

namespace jackdawwind::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kConnections = 8;
constexpr int kRounds = 5;
constexpr std::chrono::seconds kPhaseDuration{ 2 };
constexpr double kMillisecondsPerSecond = 1000;

/// Port and request that reach the target, either directly or through two nodes.
struct CallPath
{
  std::uint16_t port = 0;
  tests::HttpRequest request;
};

/// Latencies of the answered calls and number of failed calls in one phase.
struct PhaseResult
{
  std::vector<double> latenciesMs;
  std::size_t failed = 0;
};

/// Sends one request every aGap from aStart on, on one connection. A late answer delays the next
/// request.
PhaseResult
RunCaller(const CallPath& aPath, SteadyClock::time_point aStart, std::chrono::microseconds aGap)
{
  PhaseResult result;
  tests::HttpConnection connection(aPath.port);
  connection.Send(aPath.request); // Not measured: opens the connections behind the first hop.
  for (SteadyClock::time_point due = aStart; due < aStart + kPhaseDuration; due += aGap) {
    std::this_thread::sleep_until(due);
    const SteadyClock::time_point sent = SteadyClock::now();
    const tests::HttpAnswer answer = connection.Send(aPath.request);
    const std::chrono::duration<double> elapsed = SteadyClock::now() - sent;
    if (answer.status == 200) {
      result.latenciesMs.push_back(elapsed.count() * kMillisecondsPerSecond);
    } else {
      ++result.failed;
    }
  }
  return result;
}

/// Sends aRate calls per second over all connections together, evenly spaced in time.
PhaseResult
RunPhase(const CallPath& aPath, int aRate)
{
  constexpr std::chrono::microseconds kSecond{ 1'000'000 };
  constexpr std::chrono::milliseconds kStartDelay{ 100 };
  const std::chrono::microseconds step = kSecond / aRate;
  const SteadyClock::time_point start = SteadyClock::now() + kStartDelay;
  std::vector<PhaseResult> results(kConnections);
  std::vector<std::thread> callers;
  for (std::size_t index = 0; index < kConnections; ++index) {
    callers.emplace_back([&results, &aPath, index, start, step] {
      results[index] = RunCaller(
        aPath, start + static_cast<int>(index) * step, step * static_cast<int>(kConnections));
    });
  }
  PhaseResult all;
  for (std::size_t index = 0; index < kConnections; ++index) {
    callers[index].join();
    const std::vector<double>& latenciesMs = results[index].latenciesMs;
    all.latenciesMs.insert(all.latenciesMs.end(), latenciesMs.begin(), latenciesMs.end());
    all.failed += results[index].failed;
  }
  return all;
}

/// Latency percentiles of each round and call counts of all rounds, at one rate.
struct RoundStatistics
{
  std::vector<double> p50;
  std::vector<double> p99;
  std::size_t answered = 0;
  std::size_t failed = 0;

  void Add(const PhaseResult& aResult)
  {
    constexpr double kTailFraction = 0.99;
    this->p50.push_back(Median(aResult.latenciesMs));
    this->p99.push_back(Quantile(aResult.latenciesMs, kTailFraction));
    this->answered += aResult.latenciesMs.size();
    this->failed += aResult.failed;
  }
};

std::vector<double>
Differences(const std::vector<double>& aLarger, const std::vector<double>& aSmaller)
{
  std::vector<double> differences;
  for (std::size_t index = 0; index < aLarger.size(); ++index) {
    differences.push_back(aLarger[index] - aSmaller[index]);
  }
  return differences;
}

void
PrintRow(int aRate,
         const CallPath& aDirect,
         const CallPath& aTwoHops,
         pid_t aEntryNode,
         pid_t aAdmittingNode)
{
  RoundStatistics direct;
  RoundStatistics twoHops;
  double entryCpu = 0;
  double admittingCpu = 0;
  for (int round = 0; round < kRounds; ++round) {
    direct.Add(RunPhase(aDirect, aRate));
    const double entryBefore = CpuSeconds(aEntryNode);
    const double admittingBefore = CpuSeconds(aAdmittingNode);
    twoHops.Add(RunPhase(aTwoHops, aRate));
    entryCpu += CpuSeconds(aEntryNode) - entryBefore;
    admittingCpu += CpuSeconds(aAdmittingNode) - admittingBefore;
  }
  const double seconds = static_cast<double>(kRounds * kPhaseDuration.count());
  const double answered = static_cast<double>(twoHops.answered);
  std::printf("| %d | %.0f / %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %.0f | "
              "%zu / %zu |\n",
              aRate,
              static_cast<double>(direct.answered) / seconds,
              answered / seconds,
              Median(direct.p50),
              Median(twoHops.p50),
              Median(Differences(twoHops.p50, direct.p50)),
              Median(direct.p99),
              Median(twoHops.p99),
              Median(Differences(twoHops.p99, direct.p99)),
              answered / entryCpu,
              answered / admittingCpu,
              answered / (entryCpu + admittingCpu),
              direct.failed,
              twoHops.failed);
  std::fflush(stdout);
}

/// The process tests' configuration, with a rate limit above every measured load.
std::map<std::string, std::string>
UnlimitedConfiguration(const tests::Fleet& aFleet)
{
  std::map<std::string, std::string> files = aFleet.BaseConfiguration();
  files["30-organisations.yaml"] = "organisations:\n"
                                   "  - {name: north, rate: 20000, burst: 20000}\n"
                                   "  - {name: south, rate: 1000, burst: 1000}\n"
                                   "  - {name: public, rate: 1000, burst: 1000}\n";
  return files;
}

int
Run()
{
  const std::uint16_t targetPort = FreePort();
  tests::Fleet fleet;
  fleet.AddNode({ .node = "admitting",
                  .domain = "ikeja",
                  .region = "lagos",
                  .service = "hires",
                  .targetArguments = { "--port", std::to_string(targetPort) } });
  fleet.AddNode({ .node = "entry", .domain = "ikeja", .region = "lagos", .service = "" });
  const tests::ProgramResult applied = fleet.Apply(UnlimitedConfiguration(fleet));
  if (applied.status != 0) {
    std::fprintf(stderr, "jackdawctl apply failed: %s\n", applied.output.c_str());
    return 1;
  }
  fleet.WaitUntilServing();
  const CallPath direct{ .port = targetPort, .request = { .path = "/available" } };
  const CallPath twoHops{ .port = fleet.Port("entry", "callers"),
                          .request = { .path = "/hires/available",
                                       .headers = { { "X-Tenant-Key", fleet.Key("north") } } } };
  const pid_t entry = FindChild("jackdawwind", "/entry.yaml");
  const pid_t admitting = FindChild("jackdawwind", "/admitting.yaml");
  std::puts(
    "| calls/s, offered | calls/s answered, direct / two hops | p50 direct, ms | p50 two hops, ms "
    "| p50 added, ms | p99 direct, ms | p99 two hops, ms | p99 added, ms "
    "| calls per CPU s, entry node | calls per CPU s, admitting node "
    "| calls per CPU s, both | failed, direct / two hops |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const int rate : { 50, 200, 800 }) {
    PrintRow(rate, direct, twoHops, entry, admitting);
  }
  return 0;
}

} // namespace
} // namespace jackdawwind::bench

int
main()
{
  return jackdawwind::bench::Run();
}
