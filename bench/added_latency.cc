// Measures the latency that the two-hop path adds to a call, and the nodes' CPU time per call.
//
//   added_latency                  prints a Markdown table; takes no arguments
//
// Runs the real programs on loopback: a log service, two nodes of one failure domain and a target
// beside one of them. Callers with eight connections send at a fixed rate, in turn directly to the
// target and to the node that has no target, so that every call takes both hops. Latency counts
// from the sending of a request. A table row is the median of the rounds; CPU time is summed over
// them, because one round is short against the resolution of the kernel's counters.
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
constexpr std::chrono::seconds kPhase{ 2 };
constexpr double kMillisecondsPerSecond = 1000;

/// One of the two ways to the target.
struct Way
{
  std::uint16_t port = 0;
  tests::HttpRequest request;
};

struct Phase
{
  std::vector<double> milliseconds;
  std::size_t failed = 0;
};

/// Sends on one connection at aStart, aStart + aGap, ...; a late answer delays the next request.
Phase
RunCaller(const Way& aWay, SteadyClock::time_point aStart, std::chrono::microseconds aGap)
{
  Phase phase;
  tests::HttpConnection connection(aWay.port);
  connection.Send(aWay.request); // Opens the connections behind the first hop; not counted.
  for (SteadyClock::time_point due = aStart; due < aStart + kPhase; due += aGap) {
    std::this_thread::sleep_until(due);
    const SteadyClock::time_point sent = SteadyClock::now();
    const tests::HttpAnswer answer = connection.Send(aWay.request);
    const std::chrono::duration<double> taken = SteadyClock::now() - sent;
    if (answer.status == 200) {
      phase.milliseconds.push_back(taken.count() * kMillisecondsPerSecond);
    } else {
      ++phase.failed;
    }
  }
  return phase;
}

/// Calls at a total rate from all connections, evenly spread in time.
Phase
RunPhase(const Way& aWay, int aRate)
{
  constexpr std::chrono::microseconds kSecond{ 1'000'000 };
  constexpr std::chrono::milliseconds kSetUp{ 100 };
  const std::chrono::microseconds step = kSecond / aRate;
  const SteadyClock::time_point start = SteadyClock::now() + kSetUp;
  std::vector<Phase> parts(kConnections);
  std::vector<std::thread> callers;
  for (std::size_t index = 0; index < kConnections; ++index) {
    callers.emplace_back([&parts, &aWay, index, start, step] {
      parts[index] = RunCaller(
        aWay, start + static_cast<int>(index) * step, step * static_cast<int>(kConnections));
    });
  }
  Phase all;
  for (std::size_t index = 0; index < kConnections; ++index) {
    callers[index].join();
    const std::vector<double>& part = parts[index].milliseconds;
    all.milliseconds.insert(all.milliseconds.end(), part.begin(), part.end());
    all.failed += parts[index].failed;
  }
  return all;
}

/// Figures of the rounds at one rate.
struct Series
{
  std::vector<double> p50;
  std::vector<double> p99;
  std::size_t answered = 0;
  std::size_t failed = 0;

  void Add(const Phase& aPhase)
  {
    constexpr double kTail = 0.99;
    this->p50.push_back(Median(aPhase.milliseconds));
    this->p99.push_back(Quantile(aPhase.milliseconds, kTail));
    this->answered += aPhase.milliseconds.size();
    this->failed += aPhase.failed;
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
PrintRow(int aRate, const Way& aDirect, const Way& aTwoHops, pid_t aEntry, pid_t aAdmitting)
{
  Series direct;
  Series twoHops;
  double entryCpu = 0;
  double admittingCpu = 0;
  for (int round = 0; round < kRounds; ++round) {
    direct.Add(RunPhase(aDirect, aRate));
    const double entryBefore = CpuSeconds(aEntry);
    const double admittingBefore = CpuSeconds(aAdmitting);
    twoHops.Add(RunPhase(aTwoHops, aRate));
    entryCpu += CpuSeconds(aEntry) - entryBefore;
    admittingCpu += CpuSeconds(aAdmitting) - admittingBefore;
  }
  const double seconds = static_cast<double>(kRounds * kPhase.count());
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

/// The configuration of the tests with a rate that no measured load reaches.
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
    std::fprintf(stderr, "apply: %s\n", applied.output.c_str());
    return 1;
  }
  fleet.WaitUntilServing();
  const Way direct{ .port = targetPort, .request = { .path = "/available" } };
  const Way twoHops{ .port = fleet.Port("entry", "callers"),
                     .request = { .path = "/hires/available",
                                  .headers = { { "X-Tenant-Key", fleet.Key("north") } } } };
  const pid_t entry = FindChild("jackdawwind", "/entry.yaml");
  const pid_t admitting = FindChild("jackdawwind", "/admitting.yaml");
  std::puts("| calls/s, wanted | calls/s, direct / two hops | p50 direct, ms | p50 two hops, ms "
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
