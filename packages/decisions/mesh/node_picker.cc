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

Distance
NodePicker::DistanceTo(const Member& aMember) const
{
  if (aMember.GetDomain() == this->options.domain) {
    return Distance::kOwnDomain;
  }
  return aMember.Region() == this->options.region ? Distance::kOwnRegion : Distance::kOtherRegion;
}

void
NodePicker::SetMembers(const Members& aMembers)
{
  std::erase_if(this->records, [&aMembers](const std::pair<const std::string, Record>& aEntry) {
    return !aMembers.contains(aEntry.first);
  });
  this->candidatesByService.clear();
  for (const Members::value_type& entry : aMembers) {
    const Member& member = entry.second;
    const bool suspect = member.State() == NodeState::kSuspect;
    const bool live = member.State() == NodeState::kAlive || suspect;
    if (live && member.GetTargetState() == TargetState::kReady) {
      this->candidatesByService[member.GetService()].push_back(
        { .address = member.Address(),
          .isSelf = entry.first == this->options.node,
          .distance = this->DistanceTo(member),
          .domain = member.GetDomain(),
          .region = member.Region(),
          .evacuated = this->evacuatedDomains.contains(member.GetDomain()),
          .suspect = suspect,
          .record = &this->records[entry.first] });
    }
  }
}

void
NodePicker::SetEvacuated(std::set<std::string> aDomains)
{
  this->evacuatedDomains = std::move(aDomains);
  for (std::pair<const std::string, std::vector<Candidate>>& entry : this->candidatesByService) {
    for (Candidate& candidate : entry.second) {
      candidate.evacuated = this->evacuatedDomains.contains(candidate.domain);
    }
  }
}

double
NodePicker::DistanceCost(const Candidate& aCandidate, std::uint64_t aBodyBytes)
{
  const double kilobytes = static_cast<double>(aBodyBytes) / kBytesPerKilobyte;
  if (aCandidate.isSelf) {
    return kSameNodeCost;
  }
  switch (aCandidate.distance) {
    case Distance::kOwnDomain:
      return kSameDomainCost;
    case Distance::kOwnRegion:
      return kSameRegionCost + kilobytes * kSameRegionCostPerKilobyte;
    default:
      return kOtherRegionCost + kilobytes * kOtherRegionCostPerKilobyte;
  }
}

double
NodePicker::CostOf(const Candidate& aCandidate, std::uint64_t aBodyBytes, Time aNow)
{
  const Record& record = *aCandidate.record;
  const double age = Seconds(aNow - record.loadAt);
  const double freshness = std::clamp(1.0 - age / Seconds(kLoadLifetime), 0.0, 1.0);
  const double load =
    std::max(record.load * freshness + record.sentSinceReport * record.loadPerRequest,
             record.inFlight * record.loadPerRequest);
  const double excess = std::max(load - kBusyLoad, 0.0);
  return DistanceCost(aCandidate, aBodyBytes) + load * kCostPerLoad + excess * kBusyCostPerLoad;
}

std::optional<PeerAddress>
NodePicker::Pick(const Criteria& aCriteria, Time aNow)
{
  const std::map<std::string, std::vector<Candidate>>::const_iterator found =
    this->candidatesByService.find(aCriteria.service);
  if (found == this->candidatesByService.end()) {
    return std::nullopt;
  }
  const Candidate* best = nullptr;
  double bestCost = 0;
  bool bestExcluded = false;
  for (const Candidate& candidate : found->second) {
    if (!aCriteria.tried.empty() && aCriteria.tried.contains(candidate.address.Node())) {
      continue;
    }
    if (candidate.evacuated || !aCriteria.residency.Allows(candidate.region)) {
      continue;
    }
    // Excluded and suspect nodes are selected only if there is no other candidate.
    const bool excluded = candidate.suspect || candidate.record->excludedUntil > aNow;
    const double cost =
      CostOf(candidate, aCriteria.bodyBytes, aNow) + this->random.Fraction() * kMaxTieBreakCost;
    if (best == nullptr || (bestExcluded && !excluded) ||
        (bestExcluded == excluded && cost < bestCost)) {
      best = &candidate;
      bestCost = cost;
      bestExcluded = excluded;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->address;
}

ResultCode
NodePicker::AbsenceCode(const Criteria& aCriteria) const
{
  const std::map<std::string, std::vector<Candidate>>::const_iterator found =
    this->candidatesByService.find(aCriteria.service);
  if (found == this->candidatesByService.end()) {
    return ResultCode::kNoTarget;
  }
  bool allowed = false;
  bool inService = false;
  for (const Candidate& candidate : found->second) {
    const bool here = aCriteria.residency.Allows(candidate.region);
    allowed = allowed || here;
    inService = inService || (here && !candidate.evacuated);
  }
  if (!allowed) {
    return ResultCode::kNoAllowedRegion;
  }
  return inService ? ResultCode::kNoTarget : ResultCode::kDomainEvacuated;
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
NodePicker::NoteAnswer(const std::string& aNode, const Load& aLoad, Time aNow)
{
  this->NoteEnded(aNode);
  Record& record = this->records[aNode];
  record.load = aLoad.perMille / kPerMille;
  if (aLoad.slots > 0) {
    record.loadPerRequest = 1.0 / aLoad.slots;
  }
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
  const std::map<std::string, Record>::iterator found = this->records.find(aNode);
  if (found != this->records.end()) {
    // Candidates refer to the record.
    found->second = Record{};
  }
}

} // namespace jackdawwind
