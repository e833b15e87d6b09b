// Measures what idle nodes cost: control bytes, CPU time and memory per node, and the time from
// "jackdawctl apply" to the new revision at every node.
//
//   control_cost [NODES...]        prints a Markdown table; 4, 8, 16 and 32 nodes by default
//
// Runs the real programs on loopback: a log service and nodes without targets in four domains of
// two regions. The nodes' metrics have no counter of control bytes, so the nodes advertise the
// address of a relay in this program that counts the bytes it forwards. Every byte has one sender,
// so the bytes sent per node are all bytes divided by the number of nodes. Starts no further row
// after a fixed time.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <json/value.h>

#include "bench/counting_relay.h"
#include "bench/process_usage.h"
#include "process/child_process.h"
#include "process/http.h"
#include "wire/codec.h"

namespace jackdawwind::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kDomains = 4;
constexpr int kApplyCount = 3;
constexpr std::chrono::seconds kIdlePeriod{ 10 };
/// Time for the exchanges that follow the start of the nodes to finish before the measurement.
constexpr std::chrono::seconds kSettleTime{ 20 };
/// Longest wait for a condition of the fleet, such as a common revision.
constexpr std::chrono::seconds kWaitTimeout{ 30 };
constexpr std::chrono::seconds kTimeLimit{ 170 };
constexpr const char* kAdminToken = "bench-admin-token";

bool
WaitFor(const std::function<bool()>& aCondition, std::chrono::milliseconds aInterval)
{
  const SteadyClock::time_point end = SteadyClock::now() + kWaitTimeout;
  while (SteadyClock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(aInterval);
  }
  return false;
}

double
SecondsSince(SteadyClock::time_point aStart)
{
  return std::chrono::duration<double>(SteadyClock::now() - aStart).count();
}

/// Figures of one fleet size. Bytes are per node and second; CPU is a fraction of one core.
struct Result
{
  double peerBytes = 0;
  double logBytes = 0;
  double cpuFraction = 0;
  double maxCpuFraction = 0;
  double mebibytes = 0;
  double maxMebibytes = 0;
  std::vector<double> applySeconds;
};

/// A log service and nodes without targets and callers, as child processes.
class IdleFleet
{
public:
  explicit IdleFleet(std::size_t aSize);
  ~IdleFleet();
  IdleFleet(const IdleFleet&) = delete;
  IdleFleet& operator=(const IdleFleet&) = delete;

  /// Applies a configuration with this rate for every organisation; returns whether the log service
  /// accepted it.
  bool Apply(int aRate);
  /// Whether every node is serving and lists all members, and every domain has an elected steward.
  bool IsFormed() const;
  /// Configuration revision that all nodes report; empty if they differ or a node has none.
  std::string CommonRevision() const;
  /// Measures traffic, CPU time and memory over the idle period.
  void MeasureIdle(Result& aResult) const;

private:
  struct Node
  {
    std::unique_ptr<tests::ChildProcess> process;
    std::uint16_t adminPort = 0;
    pid_t pid = 0;
  };

  void AddNode(std::size_t aIndex);
  static std::string DomainOf(std::size_t aIndex)
  {
    return "domain-" + std::to_string(aIndex % kDomains);
  }
  static std::string RegionOf(std::size_t aIndex)
  {
    return aIndex % kDomains < kDomains / 2 ? "lagos" : "kano";
  }
  static Json::Value Status(const Node& aNode);

  std::size_t size;
  std::string folder;
  CountingRelay relay;
  std::unique_ptr<tests::ChildProcess> log;
  std::uint16_t logPort = 0;
  std::string seed;
  std::vector<Node> nodes;
};

IdleFleet::IdleFleet(std::size_t aSize)
  : size(aSize)
{
  std::string pattern = (std::filesystem::current_path() / "control_cost-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->log = std::make_unique<tests::ChildProcess>("standin_log", std::vector<std::string>{});
  this->logPort = this->log->Port("listening");
  this->relay.Forward(this->logPort, CountingRelay::Traffic::kLog);
  for (std::size_t index = 0; index < aSize; ++index) {
    this->AddNode(index);
  }
}

IdleFleet::~IdleFleet()
{
  this->nodes.clear();
  std::filesystem::remove_all(this->folder);
}

void
IdleFleet::AddNode(std::size_t aIndex)
{
  const std::string name = "node-" + std::to_string(100 + aIndex);
  const std::string path = this->folder + "/" + name + ".yaml";
  std::ofstream(path)
    << "node: " << name << "\ndomain: " << DomainOf(aIndex) << "\nregion: " << RegionOf(aIndex)
    << "\nadvertise_host: " << CountingRelay::kAddress
    << "\ncallers: {port: 0}\ntarget: {port: 0}\npeer_calls: {port: 0}\n"
    << "peer_control: {port: 0}\ncontrol_datagrams: false\nadmin: {port: 0}\nadmin_token: "
    << kAdminToken << "\nfleet_secret: bench-fleet-secret\nlog: {host: " << CountingRelay::kAddress
    << ", port: " << this->logPort << ", timeout_ms: 2000}\nlog_level: error\nseeds: ["
    << this->seed << "]\n";
  Node node;
  node.process = std::make_unique<tests::ChildProcess>(
    "jackdawwind", std::vector<std::string>{ "--settings", path });
  const std::uint16_t control = node.process->Port("peer_control");
  this->relay.Forward(control, CountingRelay::Traffic::kPeers);
  node.adminPort = node.process->Port("admin");
  node.pid = FindChild("jackdawwind", "/" + name + ".yaml");
  if (this->seed.empty()) {
    this->seed = "{node: " + name + ", host: " + CountingRelay::kAddress +
                 ", call_port: " + std::to_string(node.process->Port("peer_calls")) +
                 ", control_port: " + std::to_string(control) + "}";
  }
  this->nodes.push_back(std::move(node));
}

bool
IdleFleet::Apply(int aRate)
{
  const std::string path = this->folder + "/configuration";
  std::filesystem::create_directories(path);
  std::ofstream file(path + "/fleet.yaml");
  file << "domains:\n";
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    file << "  - {name: " << DomainOf(domain) << ", region: " << RegionOf(domain)
         << ", hosts: " << this->size / kDomains << ", share: 0.25}\n";
  }
  file << "organisations:\n";
  constexpr int kOrganisations = 8;
  for (int index = 0; index < kOrganisations; ++index) {
    file << "  - {name: organisation-" << index << ", rate: " << aRate << ", burst: 1000}\n";
  }
  file.close();
  const tests::ProgramResult result = tests::RunProgram(
    "jackdawctl", { "apply", path, "--log", "127.0.0.1:" + std::to_string(this->logPort) });
  if (result.status != 0) {
    std::fprintf(
      stderr, "jackdawctl apply failed with status %d: %s\n", result.status, result.output.c_str());
  }
  return result.status == 0;
}

Json::Value
IdleFleet::Status(const Node& aNode)
{
  const tests::HttpAnswer answer =
    tests::Send(aNode.adminPort,
                { .path = "/status",
                  .headers = { { "Authorization", std::string("Bearer ") + kAdminToken } } });
  const wire::Decoded<Json::Value> json = wire::ParseJson(answer.body);
  const Json::Value* value = std::get_if<Json::Value>(&json);
  return value == nullptr ? Json::Value(Json::objectValue) : *value;
}

bool
IdleFleet::IsFormed() const
{
  std::size_t stewards = 0;
  for (const Node& node : this->nodes) {
    const Json::Value status = Status(node);
    if (status["phase"].asString() != "serving" || status["members"].size() != this->size) {
      return false;
    }
    stewards += status["elected"].asBool() ? 1U : 0U;
  }
  return stewards == kDomains;
}

std::string
IdleFleet::CommonRevision() const
{
  std::string common;
  for (const Node& node : this->nodes) {
    const std::string revision = Status(node)["revision"].asString();
    if (revision.empty() || (!common.empty() && revision != common)) {
      return "";
    }
    common = revision;
  }
  return common;
}

void
IdleFleet::MeasureIdle(Result& aResult) const
{
  std::vector<double> cpu;
  for (const Node& node : this->nodes) {
    cpu.push_back(CpuSeconds(node.pid));
  }
  const std::uint64_t peerBytes = this->relay.Bytes(CountingRelay::Traffic::kPeers);
  const std::uint64_t logBytes = this->relay.Bytes(CountingRelay::Traffic::kLog);
  const SteadyClock::time_point start = SteadyClock::now();
  std::this_thread::sleep_for(kIdlePeriod);
  const double seconds = SecondsSince(start);
  const double nodeSeconds = seconds * static_cast<double>(this->size);
  aResult.peerBytes =
    static_cast<double>(this->relay.Bytes(CountingRelay::Traffic::kPeers) - peerBytes) /
    nodeSeconds;
  aResult.logBytes =
    static_cast<double>(this->relay.Bytes(CountingRelay::Traffic::kLog) - logBytes) / nodeSeconds;
  std::vector<double> cpuFractions;
  std::vector<double> mebibytes;
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    cpuFractions.push_back((CpuSeconds(this->nodes[index].pid) - cpu[index]) / seconds);
    mebibytes.push_back(ResidentMebibytes(this->nodes[index].pid));
  }
  aResult.cpuFraction = Median(cpuFractions);
  aResult.maxCpuFraction = *std::max_element(cpuFractions.begin(), cpuFractions.end());
  aResult.mebibytes = Median(mebibytes);
  aResult.maxMebibytes = *std::max_element(mebibytes.begin(), mebibytes.end());
}

bool
MeasureApply(IdleFleet& aFleet, int aRate, Result& aResult)
{
  constexpr std::chrono::milliseconds kPollInterval{ 5 };
  const std::string before = aFleet.CommonRevision();
  const SteadyClock::time_point start = SteadyClock::now();
  bool accepted = false;
  std::thread operatorThread([&] { accepted = aFleet.Apply(aRate); });
  const bool reached = WaitFor(
    [&] {
      const std::string revision = aFleet.CommonRevision();
      return !revision.empty() && revision != before;
    },
    kPollInterval);
  const double seconds = SecondsSince(start);
  operatorThread.join();
  aResult.applySeconds.push_back(seconds);
  return accepted && reached;
}

bool
PrintRow(std::size_t aSize)
{
  constexpr std::chrono::milliseconds kPollInterval{ 100 };
  constexpr int kFirstRate = 1000;
  IdleFleet fleet(aSize);
  if (!fleet.Apply(kFirstRate) || !WaitFor([&] { return fleet.IsFormed(); }, kPollInterval)) {
    std::fprintf(stderr, "%zu nodes: the fleet did not form in time\n", aSize);
    return false;
  }
  std::this_thread::sleep_for(kSettleTime);
  Result result;
  fleet.MeasureIdle(result);
  for (int index = 1; index <= kApplyCount; ++index) {
    if (!MeasureApply(fleet, kFirstRate + index, result)) {
      std::fprintf(
        stderr, "%zu nodes: a configuration change did not reach every node in time\n", aSize);
      return false;
    }
  }
  constexpr double kPercent = 100;
  std::printf("| %zu | %.0f | %.0f | %.2f | %.2f | %.1f | %.1f | %.3f | %.3f |\n",
              aSize,
              result.peerBytes,
              result.logBytes,
              result.cpuFraction * kPercent,
              result.maxCpuFraction * kPercent,
              result.mebibytes,
              result.maxMebibytes,
              Median(result.applySeconds),
              *std::max_element(result.applySeconds.begin(), result.applySeconds.end()));
  std::fflush(stdout);
  return true;
}

int
Run(const std::vector<std::size_t>& aSizes)
{
  std::puts("| nodes | control bytes sent per node and s | bytes to and from the log service per "
            "node and s "
            "| CPU, % of a core, median node | highest node | resident MiB, median node "
            "| highest node | apply to new revision at all nodes, s, median of 3 | slowest |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
  const SteadyClock::time_point start = SteadyClock::now();
  bool complete = true;
  for (const std::size_t size : aSizes) {
    if (SteadyClock::now() - start > kTimeLimit - kWaitTimeout) {
      std::fprintf(stderr, "time limit reached before the measurement with %zu nodes\n", size);
      return 1;
    }
    complete = PrintRow(size) && complete;
  }
  return complete ? 0 : 1;
}

} // namespace
} // namespace jackdawwind::bench

int
main(int aCount, char** aArguments)
{
  std::vector<std::size_t> sizes;
  for (int index = 1; index < aCount; ++index) {
    // Every domain gets the same number of nodes.
    const int size = std::atoi(aArguments[index]);
    if (size < 4 || size > 64 || size % 4 != 0) {
      std::fprintf(
        stderr, "number of nodes must be a multiple of 4 from 4 to 64: %s\n", aArguments[index]);
      return 1;
    }
    sizes.push_back(static_cast<std::size_t>(size));
  }
  if (sizes.empty()) {
    sizes = { 4, 8, 16, 32 };
  }
  return jackdawwind::bench::Run(sizes);
}
