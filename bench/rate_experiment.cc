// Measures wrongful refusals of the rate limiter and the bytes of its control messages, on the
// virtual network of its tests, and prints a Markdown table. A refusal is wrongful if one token
// bucket with the organisation's rate and burst for the whole fleet would have admitted the call.
//
//   build/bin/rate_experiment          # all settings
//   build/bin/rate_experiment brief    # borrowing and prefetching on
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "decisions/tests/fake_rate_fleet.h"

namespace jackdawwind {
namespace {

using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(15);
constexpr Duration kEnd = seconds(45);
constexpr std::size_t kNodesPerDomain = 5;
constexpr std::size_t kDomains = 4;
constexpr std::size_t kSeeds = 5;
constexpr double kPercent = 100;

/// Nodes at which the calls of an organisation arrive.
enum class Placement
{
  kEverywhere,
  kOneDomain,
  kMovingDomain,
};

struct Demand
{
  const char* name;
  Placement placement;
  /// Demand as a fraction of the organisation's rate.
  double load;
  /// Burst in seconds of the organisation's rate.
  double burstSeconds;
};

/// Percentages of calls, and control bytes sent per second, after the warm-up.
struct Result
{
  double wrongful = 0;
  double admitted = 0;
  double bytes = 0;
  double maxBytes = 0;
};

/// Organisations with a burst of this many seconds of their rate.
std::vector<Organisation>
Organisations(double aBurstSeconds)
{
  std::vector<Organisation> organisations;
  for (const double rate : { 300.0, 200.0, 100.0, 5.0 }) {
    const double burst = std::max(1.0, rate * aBurstSeconds);
    organisations.push_back(
      Organisation({ .name = "rate-" + std::to_string(rate), .rate = rate, .burst = burst }));
  }
  return organisations;
}

std::size_t
NodeFor(FakeRateFleet& aFleet, Placement aPlacement, Duration aAt)
{
  constexpr double kConcentratedFraction = 0.9;
  Random& random = aFleet.GetRandom();
  if (aPlacement == Placement::kEverywhere || random.Fraction() > kConcentratedFraction) {
    return random.Below(aFleet.Size());
  }
  constexpr Duration kDwellTime = seconds(5);
  const std::size_t step = aPlacement == Placement::kMovingDomain ? 1 : 0;
  const std::size_t domain = step * static_cast<std::size_t>(aAt / kDwellTime) % kDomains;
  return domain * kNodesPerDomain + random.Below(kNodesPerDomain);
}

void
AddDemand(FakeRateFleet& aFleet, const Organisation& aOrganisation, const Demand& aDemand)
{
  Duration at{};
  while (at < kEnd) {
    // Uniformly distributed gaps in microseconds with mean 1 / demand.
    const double gap = 2e6 * aFleet.GetRandom().Fraction() / (aOrganisation.Rate() * aDemand.load);
    at += Duration(static_cast<Duration::rep>(gap));
    const std::size_t node = NodeFor(aFleet, aDemand.placement, at);
    aFleet.At(at, [&aFleet, node, aOrganisation] { aFleet.Call(node, aOrganisation.Name()); });
  }
}

/// Refusals after the warm-up that one token bucket for the whole fleet would have admitted in
/// addition to the admitted calls.
std::uint64_t
CountWrongful(FakeRateFleet& aFleet, const Organisation& aOrganisation)
{
  std::vector<std::pair<Duration, bool>> calls;
  for (const Duration at : aFleet.Admissions(aOrganisation.Name())) {
    calls.emplace_back(at, true);
  }
  for (const Duration at : aFleet.Refusals(aOrganisation.Name())) {
    calls.emplace_back(at, false);
  }
  std::sort(calls.begin(), calls.end());
  double level = aOrganisation.Burst();
  Duration last{};
  std::uint64_t wrongful = 0;
  for (const std::pair<Duration, bool>& call : calls) {
    const double elapsed = std::chrono::duration<double>(call.first - last).count();
    level = std::min(aOrganisation.Burst(), level + aOrganisation.Rate() * elapsed);
    last = call.first;
    if (call.second) {
      // May become negative: an earlier wrongful refusal was charged for this token.
      level -= 1;
    } else if (level >= 1) {
      level -= 1;
      wrongful += call.first >= kWarmUp ? 1U : 0U;
    }
  }
  return wrongful;
}

std::uint64_t
CountAfterWarmUp(const std::vector<Duration>& aTimes)
{
  return static_cast<std::uint64_t>(
    std::count_if(aTimes.begin(), aTimes.end(), [](Duration aAt) { return aAt >= kWarmUp; }));
}

Result
Run(std::uint64_t aSeed, const Demand& aDemand, bool aBorrow, bool aPrefetch)
{
  FakeRateFleet fleet({ .seed = aSeed,
                        .domains = kDomains,
                        .nodesPerDomain = kNodesPerDomain,
                        .loss = 0.001,
                        .prefetch = aPrefetch,
                        .borrow = aBorrow });
  fleet.Configure(fleet.Snapshot(Organisations(aDemand.burstSeconds)));
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    fleet.Start(node);
  }
  if (aDemand.load > 0) {
    for (const Organisation& organisation : Organisations(aDemand.burstSeconds)) {
      AddDemand(fleet, organisation, aDemand);
    }
  }
  fleet.RunUntil(kWarmUp);
  std::vector<std::uint64_t> before;
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    before.push_back(fleet.At(node).sentBytes);
  }
  fleet.RunUntil(kEnd);
  Result result;
  const double time = std::chrono::duration<double>(kEnd - kWarmUp).count();
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    const double perSecond = static_cast<double>(fleet.At(node).sentBytes - before[node]) / time;
    result.bytes += perSecond / static_cast<double>(fleet.Size());
    result.maxBytes = std::max(result.maxBytes, perSecond);
  }
  std::uint64_t admitted = 0;
  std::uint64_t calls = 0;
  std::uint64_t wrongful = 0;
  for (const Organisation& organisation : Organisations(aDemand.burstSeconds)) {
    admitted += CountAfterWarmUp(fleet.Admissions(organisation.Name()));
    calls += CountAfterWarmUp(fleet.Refusals(organisation.Name()));
    wrongful += CountWrongful(fleet, organisation);
  }
  calls += admitted;
  if (calls > 0) {
    result.wrongful = kPercent * static_cast<double>(wrongful) / static_cast<double>(calls);
    result.admitted = kPercent * static_cast<double>(admitted) / static_cast<double>(calls);
  }
  return result;
}

double
Median(std::array<double, kSeeds> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[kSeeds / 2];
}

void
PrintRow(const Demand& aDemand, bool aBorrow, bool aPrefetch)
{
  std::array<double, kSeeds> wrongful{};
  std::array<double, kSeeds> admitted{};
  std::array<double, kSeeds> bytes{};
  std::array<double, kSeeds> maxBytes{};
  for (std::size_t index = 0; index < kSeeds; ++index) {
    const Result result = Run(index + 1, aDemand, aBorrow, aPrefetch);
    wrongful[index] = result.wrongful;
    admitted[index] = result.admitted;
    bytes[index] = result.bytes;
    maxBytes[index] = result.maxBytes;
  }
  std::printf("| %s | %.1f | %s | %s | %.2f | %.2f | %.0f | %.0f |\n",
              aDemand.name,
              aDemand.burstSeconds,
              aBorrow ? "on" : "off",
              aPrefetch ? "on" : "off",
              Median(wrongful),
              Median(admitted),
              Median(bytes),
              Median(maxBytes));
  std::fflush(stdout);
}

} // namespace
} // namespace jackdawwind

int
main(int aCount, char** aArguments)
{
  // With any argument, measures only the production settings: borrowing and prefetching on.
  const bool brief = aCount > 1 && aArguments != nullptr;
  using jackdawwind::Demand;
  using jackdawwind::Placement;
  const Demand demands[] = {
    { "none", Placement::kEverywhere, 0, 2 },
    { "steady, 70%", Placement::kEverywhere, 0.7, 2 },
    { "steady, 95%", Placement::kEverywhere, 0.95, 2 },
    { "skewed, 70%", Placement::kOneDomain, 0.7, 2 },
    { "skewed, 95%", Placement::kOneDomain, 0.95, 2 },
    { "moving, 70%", Placement::kMovingDomain, 0.7, 2 },
    { "moving, 95%", Placement::kMovingDomain, 0.95, 2 },
    { "steady, 200%", Placement::kEverywhere, 2, 2 },
    { "steady, 70%", Placement::kEverywhere, 0.7, 4 },
    { "moving, 70%", Placement::kMovingDomain, 0.7, 4 },
    { "steady, 70%", Placement::kEverywhere, 0.7, 0.2 },
    { "moving, 70%", Placement::kMovingDomain, 0.7, 0.2 },
  };
  std::puts(
    "| demand, % of the rate | burst, seconds of the rate | borrowing | prefetching | wrongful "
    "refusals, % of calls | admitted, % | "
    "control bytes sent per node and s | control bytes sent by the busiest node per s |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const Demand& demand : demands) {
    for (const bool borrow : { false, true }) {
      for (const bool prefetch : { false, true }) {
        if (brief && !(borrow && prefetch)) {
          continue;
        }
        jackdawwind::PrintRow(demand, borrow, prefetch);
      }
    }
  }
  return 0;
}
