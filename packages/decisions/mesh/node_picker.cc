#include "decisions/mesh/node_picker.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

/// Costs in milliseconds. The costs of distance cover the network latency and the price of the
/// transferred bytes; the link to the other region has little bandwidth.
constexpr double kSameNodeCost = 0;
constexpr double kSameDomainCost = 1;
constexpr double kSameRegionCost = 5;
constexpr double kOtherRegionCost = 120;
constexpr double kSameRegionCostPerKilobyte = 0.5;
constexpr double kOtherRegionCostPerKilobyte = 8;
constexpr double kBytesPerKilobyte = 1024;
/// Load above which a request is likely to be queued.
constexpr double kBusyLoad = 0.75;
/// Increase of the cost, in milliseconds per unit of load, at any load and additionally above
/// kBusyLoad.
constexpr double kCostPerLoad = 4;
constexpr double kBusyCostPerLoad = 400;
/// Estimated load of a request that is not part of a load report yet: one of about fifty slots.
constexpr double kLoadPerRequest = 0.02;
/// Time in which the weight of a load report falls to zero; the load of a target changes that fast.
constexpr Duration kLoadLifetime = std::chrono::seconds(2);
constexpr Duration kFirstExclusion = std::chrono::milliseconds(500);
constexpr Duration kMaxExclusion = std::chrono::seconds(8);
constexpr std::uint32_t kMaxExclusionDoublings = 4;
constexpr double kPerMille = 1000;
/// Upper bound of the random cost, in milliseconds, that distributes requests over equal
/// candidates.
constexpr double kMaxTieBreakCost = 0.5;

} // namespace

NodePicker::NodePicker(Options aOptions, std::uint64_t aSeed)
  : options(std::move(aOptions))
  , random(aSeed)
{
}

double
NodePicker::DistanceOf(const Member& aMember, std::uint64_t aBodyBytes) const
{
  if (aMember.Address().Node() == this->options.node) {
    return kSameNodeCost;
  }
  const double kilobytes = static_cast<double>(aBodyBytes) / kBytesPerKilobyte;
  if (aMember.GetDomain() == this->options.domain) {
    return kSameDomainCost;
  }
  if (aMember.Region() == this->options.region) {
    return kSameRegionCost + kilobytes * kSameRegionCostPerKilobyte;
  }
  return kOtherRegionCost + kilobytes * kOtherRegionCostPerKilobyte;
}

double
NodePicker::CostOf(const Member& aMember, std::uint64_t aBodyBytes, Time aNow) const
{
  const double cost = this->DistanceOf(aMember, aBodyBytes);
  const auto found = this->records.find(aMember.Address().Node());
  if (found == this->records.end()) {
    return cost;
  }
  const Record& record = found->second;
  const double age = Seconds(aNow - record.loadAt);
  const double freshness = std::clamp(1.0 - age / Seconds(kLoadLifetime), 0.0, 1.0);
  const double load = std::max(record.load * freshness + record.sentSinceReport * kLoadPerRequest,
                               record.inFlight * kLoadPerRequest);
  const double excess = std::max(load - kBusyLoad, 0.0);
  return cost + load * kCostPerLoad + excess * kBusyCostPerLoad;
}

std::optional<PeerAddress>
NodePicker::Pick(const Criteria& aCriteria, const Members& aMembers, Time aNow)
{
  const Member* best = nullptr;
  double bestCost = 0;
  bool bestExcluded = false;
  for (const Members::value_type& entry : aMembers) {
    const Member& member = entry.second;
    const bool usable =
      member.GetService() == aCriteria.service && member.GetTargetState() == TargetState::kReady &&
      (member.State() == NodeState::kAlive || member.State() == NodeState::kSuspect) &&
      !aCriteria.tried.contains(entry.first);
    if (!usable) {
      continue;
    }
    const auto record = this->records.find(entry.first);
    // Excluded and suspect nodes are selected only if there is no other candidate.
    const bool excluded = member.State() == NodeState::kSuspect ||
                          (record != this->records.end() && record->second.excludedUntil > aNow);
    const double cost =
      this->CostOf(member, aCriteria.bodyBytes, aNow) + this->random.Fraction() * kMaxTieBreakCost;
    if (best == nullptr || (bestExcluded && !excluded) ||
        (bestExcluded == excluded && cost < bestCost)) {
      best = &member;
      bestCost = cost;
      bestExcluded = excluded;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->Address();
}

void
NodePicker::NoteSent(const std::string& aNode)
{
  Record& record = this->records[aNode];
  ++record.inFlight;
  ++record.sentSinceReport;
}

void
NodePicker::NoteEnded(const std::string& aNode)
{
  Record& record = this->records[aNode];
  record.inFlight = record.inFlight > 0 ? record.inFlight - 1 : 0;
}

void
NodePicker::NoteAnswer(const std::string& aNode, std::uint32_t aLoadPerMille, Time aNow)
{
  this->NoteEnded(aNode);
  Record& record = this->records[aNode];
  record.load = aLoadPerMille / kPerMille;
  record.loadAt = aNow;
  record.sentSinceReport = 0;
  record.failures = 0;
  record.excludedUntil = Time{};
}

void
NodePicker::NoteFailure(const std::string& aNode, Time aNow)
{
  this->NoteEnded(aNode);
  Record& record = this->records[aNode];
  const Duration exclusion =
    kFirstExclusion * (1U << std::min(record.failures, kMaxExclusionDoublings));
  record.excludedUntil = aNow + std::min(exclusion, kMaxExclusion);
  ++record.failures;
}

void
NodePicker::Forget(const std::string& aNode)
{
  this->records.erase(aNode);
}

} // namespace jackdawwind
