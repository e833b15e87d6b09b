// Guards the limit of every organisation over the whole fleet against everything that a network and
// hosts can do, and the service of calls within the limit.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <set>
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
UpTo(FakeRateFleet& aFleet, Duration aLongest)
{
  return Duration(static_cast<Duration::rep>(
    aFleet.GetRandom().Below(static_cast<std::uint64_t>(aLongest.count()) + 1)));
}

/// Calls at random nodes, in batches of random size, at about twice the organisation's rate.
void
AddDemand(FakeRateFleet& aFleet, const Organisation& aOrganisation, Duration aEnd)
{
  const double mostBatch = aOrganisation.Burst() + 1;
  Duration at{};
  while (at < aEnd) {
    const std::uint64_t batch = 1 + aFleet.GetRandom().Below(static_cast<std::uint64_t>(mostBatch));
    const std::size_t node = aFleet.GetRandom().Below(aFleet.Size());
    for (std::uint64_t call = 0; call < batch; ++call) {
      aFleet.At(at + UpTo(aFleet, milliseconds(20)),
                [&aFleet, node, aOrganisation] { aFleet.Call(node, aOrganisation.Name()); });
    }
    const double gap = static_cast<double>(batch) / (2 * aOrganisation.Rate());
    at += UpTo(aFleet, Duration(static_cast<Duration::rep>(gap * 2e6)));
  }
}

void
OneFault(FakeRateFleet& aFleet)
{
  Random& random = aFleet.GetRandom();
  const std::size_t node = random.Below(aFleet.Size());
  const std::string domain = aFleet.At(node).domain;
  const std::string other = aFleet.At(random.Below(aFleet.Size())).domain;
  switch (random.Below(5)) {
    case 0:
      aFleet.Pause(node, UpTo(aFleet, seconds(6)));
      break;
    case 1:
      aFleet.Crash(node);
      aFleet.At(aFleet.Now() + UpTo(aFleet, seconds(8)), [&aFleet, node] { aFleet.Start(node); });
      break;
    case 2:
      aFleet.Leave(node);
      aFleet.At(aFleet.Now() + UpTo(aFleet, seconds(4)), [&aFleet, node] { aFleet.Start(node); });
      break;
    case 3:
      aFleet.Cut(domain, other, true);
      aFleet.At(aFleet.Now() + UpTo(aFleet, seconds(8)),
                [&aFleet, domain, other] { aFleet.Cut(domain, other, false); });
      break;
    default:
      aFleet.Pause(node, UpTo(aFleet, milliseconds(300)));
      break;
  }
}

void
CheckOneSteward(FakeRateFleet& aFleet, std::uint64_t aSeed)
{
  for (const char* domain : { "ikeja", "apapa", "sharada", "bompai" }) {
    std::size_t running = 0;
    for (std::size_t node = 0; node < aFleet.Size(); ++node) {
      const FakeRateFleet::Node& state = aFleet.At(node);
      const bool awake = state.limiter && state.pausedUntil <= aFleet.Now();
      running += awake && state.domain == domain && state.limiter->Elected() ? 1U : 0U;
    }
    ASSERT_LE(running, 1U) << "seed " << aSeed << " domain " << domain;
  }
}

TEST(RateProperty, NoOrganisationExceedsRateAndBurstUnderFaults)
{
  constexpr Duration kRun = seconds(60);
  for (const std::uint64_t seed : Seeds(40)) {
    SCOPED_TRACE("JACKDAW_SEED=" + std::to_string(seed));
    FakeRateFleet fleet({ .seed = seed,
                          .loss = 0.05,
                          .duplicates = 0.1,
                          .late = 0.1,
                          .longestDelay = seconds(4),
                          .wrongViews = 0.1,
                          .readDelay = seconds(7) });
    fleet.Configure(fleet.Snapshot(Organisations()));
    StartAll(fleet);
    for (const Organisation& organisation : Organisations()) {
      AddDemand(fleet, organisation, kRun);
    }
    for (Duration at = seconds(12); at < kRun; at += UpTo(fleet, seconds(3))) {
      fleet.At(at, [&fleet] { OneFault(fleet); });
    }
    fleet.At(seconds(25), [&fleet] {
      fleet.Configure(fleet.Snapshot(Organisations(), { 0.7, 0.1, 0.1, 0.1 }));
    });
    fleet.At(seconds(36), [&fleet] {
      fleet.Configure(fleet.Snapshot(Organisations(), { 0.1, 0.1, 0.1, 0.7 }));
    });
    for (Duration at{}; at < kRun; at += milliseconds(50)) {
      fleet.At(at, [&fleet, seed] { CheckOneSteward(fleet, seed); });
    }
    fleet.RunUntil(kRun);
    for (const Organisation& organisation : Organisations()) {
      EXPECT_EQ(WorstExcess(
                  fleet.Admissions(organisation.Name()), organisation.Rate(), organisation.Burst()),
                0)
        << organisation.Name();
      // A fleet that admits nothing would keep every limit.
      EXPECT_GT(fleet.GetTally(organisation.Name()).taken, 0U) << organisation.Name();
    }
  }
}

} // namespace
} // namespace jackdawwind
