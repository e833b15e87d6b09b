// Guards against admitting more calls of an organisation than its rate and burst over the whole
// fleet, under loss, delay, duplication, partitions, pauses, restarts, incomplete member views and
// changes of the shares, and against a limiter that admits nothing.
#include <chrono>
#include <cstdlib>
#include <iterator>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_rate_fleet.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::uint64_t>
Seeds(std::uint64_t aCount)
{
  const char* given = std::getenv("JACKDAW_SEED");
  if (given != nullptr) {
    return { std::strtoull(given, nullptr, 10) };
  }
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = 1; seed <= aCount; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

std::vector<Organisation>
Organisations()
{
  return { Organisation({ .name = "wide", .rate = 200, .burst = 100 }),
           Organisation({ .name = "even", .rate = 60, .burst = 120 }),
           Organisation({ .name = "slow", .rate = 3, .burst = 2 }),
           Organisation({ .name = "tight", .rate = 100, .burst = 8 }) };
}

void
StartAll(FakeRateFleet& aFleet)
{
  for (std::size_t node = 0; node < aFleet.Size(); ++node) {
    aFleet.Start(node);
  }
}

Duration
RandomUpTo(FakeRateFleet& aFleet, Duration aMax)
{
  return Duration(static_cast<Duration::rep>(
    aFleet.GetRandom().Below(static_cast<std::uint64_t>(aMax.count()) + 1)));
}

void
AddCalls(FakeRateFleet& aFleet,
         const std::string& aOrganisation,
         std::size_t aNode,
         std::uint64_t aCalls,
         Duration aFrom,
         Duration aWithin)
{
  for (std::uint64_t call = 0; call < aCalls; ++call) {
    aFleet.At(aFrom + RandomUpTo(aFleet, aWithin),
              [&aFleet, aNode, aOrganisation] { aFleet.Call(aNode, aOrganisation); });
  }
}

/// Mixes periods of low demand, in which buckets fill and nodes prefetch tokens, with bursts of the
/// full size at every node at once and with demand above the rate at a single node.
void
AddDemand(FakeRateFleet& aFleet, const Organisation& aOrganisation, Duration aEnd)
{
  Random& random = aFleet.GetRandom();
  Duration at{};
  while (at < aEnd) {
    const Duration length = milliseconds(200) + RandomUpTo(aFleet, seconds(3));
    const double expected = aOrganisation.Rate() * std::chrono::duration<double>(length).count();
    const std::uint64_t calls = static_cast<std::uint64_t>(expected);
    const std::uint64_t nodes = aFleet.Size();
    switch (random.Below(3)) {
      case 0:
        for (std::size_t node = 0; node < nodes; ++node) {
          AddCalls(aFleet, aOrganisation.Name(), node, calls / nodes / 2, at, length);
        }
        at += length;
        break;
      case 1:
        for (std::size_t node = 0; node < nodes; ++node) {
          const std::uint64_t burst = static_cast<std::uint64_t>(aOrganisation.Burst());
          AddCalls(aFleet, aOrganisation.Name(), node, burst, at, milliseconds(100));
        }
        at += milliseconds(200);
        break;
      default:
        AddCalls(aFleet, aOrganisation.Name(), random.Below(nodes), calls * 2, at, length);
        at += length;
        break;
    }
  }
}

void
InjectFault(FakeRateFleet& aFleet)
{
  Random& random = aFleet.GetRandom();
  const std::size_t node = random.Below(aFleet.Size());
  const std::string domain = aFleet.At(node).domain;
  const std::string other = aFleet.At(random.Below(aFleet.Size())).domain;
  switch (random.Below(5)) {
    case 0:
      aFleet.Pause(node, RandomUpTo(aFleet, seconds(6)));
      break;
    case 1:
      aFleet.Crash(node);
      aFleet.At(aFleet.Now() + RandomUpTo(aFleet, seconds(8)),
                [&aFleet, node] { aFleet.Start(node); });
      break;
    case 2:
      aFleet.Leave(node);
      aFleet.At(aFleet.Now() + RandomUpTo(aFleet, seconds(4)),
                [&aFleet, node] { aFleet.Start(node); });
      break;
    case 3:
      aFleet.SetPartitioned(domain, other, true);
      aFleet.At(aFleet.Now() + RandomUpTo(aFleet, seconds(8)),
                [&aFleet, domain, other] { aFleet.SetPartitioned(domain, other, false); });
      break;
    default:
      aFleet.Pause(node, RandomUpTo(aFleet, milliseconds(300)));
      break;
  }
}

void
ExpectAtMostOneSteward(FakeRateFleet& aFleet, std::uint64_t aSeed)
{
  for (const char* domain : { "ikeja", "apapa", "sharada", "bompai" }) {
    std::size_t elected = 0;
    for (std::size_t node = 0; node < aFleet.Size(); ++node) {
      const FakeRateFleet::Node& state = aFleet.At(node);
      const bool isRunning = state.limiter && state.pausedUntil <= aFleet.Now();
      elected += isRunning && state.domain == domain && state.limiter->Elected() ? 1U : 0U;
    }
    ASSERT_LE(elected, 1U) << "seed " << aSeed << " domain " << domain;
  }
}

TEST(RateProperty, NoOrganisationExceedsRateAndBurstUnderFaults)
{
  constexpr Duration kRun = seconds(60);
  for (const std::uint64_t seed : Seeds(40)) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    // With fewer domains less unused burst of other domains can hide an excess.
    constexpr std::size_t kDomains[] = { 4, 1, 2 };
    const std::size_t domains = kDomains[seed % std::size(kDomains)];
    FakeRateFleet fleet({ .seed = seed,
                          .domains = domains,
                          .loss = 0.05,
                          .duplication = 0.1,
                          .delayed = 0.1,
                          .maxExtraDelay = seconds(4),
                          .incompleteViews = 0.1,
                          .maxReadDelay = seconds(7) });
    fleet.Configure(fleet.Snapshot(Organisations()));
    StartAll(fleet);
    for (const Organisation& organisation : Organisations()) {
      AddDemand(fleet, organisation, kRun);
    }
    for (Duration at = seconds(12); at < kRun; at += RandomUpTo(fleet, seconds(3))) {
      fleet.At(at, [&fleet] { InjectFault(fleet); });
    }
    if (domains == 4) {
      const std::vector<std::vector<double>> shares = { { 0.7, 0.1, 0.1, 0.1 },
                                                        { 0.1, 0.1, 0.1, 0.7 } };
      fleet.At(seconds(25),
               [&fleet, shares] { fleet.Configure(fleet.Snapshot(Organisations(), shares[0])); });
      fleet.At(seconds(36),
               [&fleet, shares] { fleet.Configure(fleet.Snapshot(Organisations(), shares[1])); });
    }
    for (Duration at{}; at < kRun; at += milliseconds(50)) {
      fleet.At(at, [&fleet, seed] { ExpectAtMostOneSteward(fleet, seed); });
    }
    fleet.RunUntil(kRun);
    for (const Organisation& organisation : Organisations()) {
      EXPECT_EQ(
        MaxExcess(fleet.Admissions(organisation.Name()), organisation.Rate(), organisation.Burst()),
        0)
        << organisation.Name();
      // Without this check a fleet that admits nothing would pass.
      EXPECT_GT(fleet.GetCallCounts(organisation.Name()).admitted, 0U) << organisation.Name();
    }
  }
}

} // namespace
} // namespace jackdawwind
