// Measures membership in simulated time: how long it takes until all nodes know of a draining
// target and of a crash, and how much an idle fleet sends.
//
//   membership_experiment [SIZE...]    prints a Markdown table, one row per fleet size
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "decisions/tests/membership_fleet.h"
#include "wire/codec.h"
#include "wire/generated/peer_codec.h"

namespace jackdawwind {
namespace {

using std::chrono::seconds;

constexpr int kSeeds = 5;
constexpr int kDomains = 8;

struct Result
{
  bool formed = false;
  double formSeconds = 0;
  double drainSeconds = 0;
  double crashSeconds = 0;
  double idleMessages = 0;
  double idleBytes = 0;
  double drainBytes = 0;
};

std::string
NodeName(int aIndex)
{
  return "node-" + std::to_string(1000 + aIndex);
}

double
ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Whether every node lists all members as alive.
bool
IsFormed(const Fleet& aFleet, std::size_t aSize)
{
  for (const std::string& node : aFleet.Nodes()) {
    if (aFleet.At(node).Members().size() != aSize) {
      return false;
    }
  }
  for (const std::string& node : aFleet.Nodes()) {
    const std::map<std::string, Member>& members = aFleet.At(node).Members();
    for (const std::pair<const std::string, Member>& entry : members) {
      if (entry.second.State() != NodeState::kAlive) {
        return false;
      }
    }
  }
  return true;
}

/// Runs until aPredicate is true for the record of aNode at all other nodes, at most 120 s; returns
/// the simulated seconds that passed.
double
SecondsUntilAll(Fleet& aFleet,
                const std::string& aNode,
                const std::function<bool(const Member&)>& aPredicate)
{
  std::vector<std::string> pending = aFleet.Nodes();
  std::erase(pending, aNode);
  const Time start = aFleet.Now();
  aFleet.RunUntil(seconds(120), [&] {
    while (!pending.empty() && aPredicate(aFleet.At(pending.back()).Members().at(aNode))) {
      pending.pop_back();
    }
    return pending.empty();
  });
  return ToSeconds(aFleet.Now() - start);
}

Result
Measure(int aSize, std::uint64_t aSeed)
{
  Result result;
  Fleet fleet({ .seed = aSeed, .loss = 0.001 });
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  bool counting = false;
  fleet.SetMessageHook([&](const std::string& /*aFrom*/, const SendPeer& aSent) {
    if (counting) {
      ++messages;
      bytes += wire::EncodeText(aSent.Message()).size();
    }
  });
  std::vector<PeerAddress> seeds;
  for (int index = 0; index < aSize; ++index) {
    const int domain = index % kDomains;
    const PeerAddress address = fleet.Add({ .node = NodeName(index),
                                            .domain = "domain-" + std::to_string(domain),
                                            .region = domain < kDomains / 2 ? "lagos" : "kano",
                                            .incarnation = 1764800000000000ULL,
                                            .seeds = seeds });
    if (seeds.empty()) {
      seeds.push_back(address);
    }
  }
  const Time start = fleet.Now();
  const std::size_t size = static_cast<std::size_t>(aSize);
  for (int second = 0; second < 300 && !result.formed; ++second) {
    fleet.Run(seconds(1));
    result.formed = IsFormed(fleet, size);
  }
  result.formSeconds = ToSeconds(fleet.Now() - start);
  for (int index = 0; index < aSize; ++index) {
    fleet.Invoke(NodeName(index), [](Membership& aMember, Time aNow, Effects& aEffects) {
      aMember.SetTarget("fleet", TargetState::kReady, aNow, aEffects);
    });
  }
  // Until the updates of all nodes are no longer queued for gossip.
  fleet.Run(seconds(30 + aSize));
  counting = true;
  constexpr int kIdleSeconds = 60;
  fleet.Run(seconds(kIdleSeconds));
  result.idleMessages = static_cast<double>(messages) / aSize / kIdleSeconds;
  result.idleBytes = static_cast<double>(bytes) / aSize / kIdleSeconds;
  bytes = 0;
  fleet.Invoke(NodeName(3), [](Membership& aMember, Time aNow, Effects& aEffects) {
    aMember.SetTarget("fleet", TargetState::kDraining, aNow, aEffects);
  });
  result.drainSeconds = SecondsUntilAll(fleet, NodeName(3), [](const Member& aMember) {
    return aMember.GetTargetState() == TargetState::kDraining;
  });
  fleet.Run(seconds(20) - Duration(static_cast<std::int64_t>(result.drainSeconds * 1e6)));
  result.drainBytes = static_cast<double>(bytes) / aSize - result.idleBytes * 20;
  counting = false;
  fleet.Crash(NodeName(5));
  result.crashSeconds = SecondsUntilAll(
    fleet, NodeName(5), [](const Member& aMember) { return aMember.State() == NodeState::kDead; });
  return result;
}

double
Median(const std::vector<Result>& aResults, double Result::*aField)
{
  std::vector<double> values;
  values.reserve(aResults.size());
  for (const Result& result : aResults) {
    values.push_back(result.*aField);
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void
PrintRow(int aSize)
{
  std::vector<Result> results;
  int formed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    results.push_back(Measure(aSize, seed));
    formed += results.back().formed ? 1 : 0;
  }
  std::cout << std::fixed << std::setprecision(2) << "| " << aSize << " | "
            << Median(results, &Result::drainSeconds) << " | "
            << Median(results, &Result::crashSeconds) << " | "
            << Median(results, &Result::idleMessages) << " | " << std::setprecision(0)
            << Median(results, &Result::idleBytes) << " | " << Median(results, &Result::drainBytes)
            << " | " << Median(results, &Result::formSeconds) << " | " << formed << "/" << kSeeds
            << " |" << std::endl;
}

/// Encoded size of the message that confirms the current configuration to a node once per second.
std::size_t
ConfirmationBytes()
{
  const PeerAddress sender(
    { .node = NodeName(1), .host = "10.0.0.1", .callPort = 7001, .controlPort = 7002 });
  constexpr std::uint64_t kOffset = 123456;
  const ConfigRelay relay(
    { .sender = sender, .from = kOffset, .offset = kOffset, .newsAgeMs = seconds(1) });
  return wire::EncodeText(PeerMessage(relay)).size();
}

} // namespace
} // namespace jackdawwind

int
main(int aCount, char** aArguments)
{
  std::vector<int> sizes;
  for (int index = 1; index < aCount; ++index) {
    sizes.push_back(std::atoi(aArguments[index]));
  }
  if (sizes.empty()) {
    sizes = { 16, 64, 128, 256, 470 };
  }
  std::cout << "| nodes | draining known to all nodes, s | crash known to all nodes, s "
               "| idle messages sent per node and s | idle JSON bytes sent per node and s "
               "| extra bytes per node for one update | formed from one seed, s "
               "| runs in which the fleet formed |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const int size : sizes) {
    jackdawwind::PrintRow(size);
  }
  std::cout << "\nJSON bytes of a configuration confirmation: " << jackdawwind::ConfirmationBytes()
            << "\n";
  return 0;
}
