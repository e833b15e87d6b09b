// Measures membership in simulated time: how fast a draining target and a crash are known to all,
// and what an idle fleet sends. usage: membership_experiment [SIZE...]
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
Name(int aIndex)
{
  return "node-" + std::to_string(1000 + aIndex);
}

double
ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

bool
AllAgree(const Fleet& aFleet, std::size_t aSize)
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

/// Runs until aHolds is true of aNode's record at all other nodes; seconds it took.
double
TimeUntilAll(Fleet& aFleet,
             const std::string& aNode,
             const std::function<bool(const Member&)>& aHolds)
{
  std::vector<std::string> missing = aFleet.Nodes();
  std::erase(missing, aNode);
  const Time start = aFleet.Now();
  aFleet.RunUntil(seconds(120), [&] {
    while (!missing.empty() && aHolds(aFleet.At(missing.back()).Members().at(aNode))) {
      missing.pop_back();
    }
    return missing.empty();
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
    const PeerAddress address = fleet.Add({ .node = Name(index),
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
    result.formed = AllAgree(fleet, size);
  }
  result.formSeconds = ToSeconds(fleet.Now() - start);
  for (int index = 0; index < aSize; ++index) {
    fleet.Invoke(Name(index), [](Membership& aMember, Time aNow, Effects& aEffects) {
      aMember.SetTarget("fleet", TargetState::kReady, aNow, aEffects);
    });
  }
  // Until the changes of all nodes have left the queues.
  fleet.Run(seconds(30 + aSize));
  counting = true;
  constexpr int kIdleSeconds = 60;
  fleet.Run(seconds(kIdleSeconds));
  result.idleMessages = static_cast<double>(messages) / aSize / kIdleSeconds;
  result.idleBytes = static_cast<double>(bytes) / aSize / kIdleSeconds;
  bytes = 0;
  fleet.Invoke(Name(3), [](Membership& aMember, Time aNow, Effects& aEffects) {
    aMember.SetTarget("fleet", TargetState::kDraining, aNow, aEffects);
  });
  result.drainSeconds = TimeUntilAll(fleet, Name(3), [](const Member& aMember) {
    return aMember.GetTargetState() == TargetState::kDraining;
  });
  fleet.Run(seconds(20) - Duration(static_cast<std::int64_t>(result.drainSeconds * 1e6)));
  result.drainBytes = static_cast<double>(bytes) / aSize - result.idleBytes * 20;
  counting = false;
  fleet.Crash(Name(5));
  result.crashSeconds = TimeUntilAll(
    fleet, Name(5), [](const Member& aMember) { return aMember.State() == NodeState::kDead; });
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

/// Size of the message that confirms the configuration to a node once per second.
std::size_t
ConfirmationBytes()
{
  const PeerAddress sender(
    { .node = Name(1), .host = "10.0.0.1", .callPort = 7001, .controlPort = 7002 });
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
  std::cout << "| nodes | draining known to all, s | crash known to all, s "
               "| messages sent when idle, /node/s | JSON bytes sent when idle, /node/s "
               "| extra bytes per node for one change | formed from one seed, s "
               "| runs formed |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const int size : sizes) {
    jackdawwind::PrintRow(size);
  }
  std::cout << "\nJSON bytes of a configuration confirmation: " << jackdawwind::ConfirmationBytes()
            << "\n";
  return 0;
}
