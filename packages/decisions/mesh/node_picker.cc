#include "decisions/mesh/node_picker.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "values/text.h"

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

/// Time that a request takes if no target has stated one, in milliseconds.
constexpr double kUnknownTime = 50;
/// Cost of load above kBusyLoad, in expected times per unit of load. It is higher than the wait: a
/// request at a full target delays all that come after it. With the wait alone, nodes fill the
/// fastest targets until these are as slow as the slowest: at 95% load the mean time in a
/// simulation was 328 ms, with this cost 184 ms.
constexpr double kCrowdingPerLoad = 4;
/// Factor of the expected time of a target whose speed is unknown, so that it is tried.
constexpr double kUnknownDiscount = 0.9;
/// Age up to which a load report counts for the mean of its distance.
constexpr Duration kMeanLoadLifetime = std::chrono::seconds(10);
/// Part of the shortest objective that callers hardly notice.
constexpr int kObjectiveDivisor = 20;
/// Minimum gain while the configuration states no objective.
constexpr Duration kFallbackMinGain = std::chrono::milliseconds(50);
/// Margin of an expected time against the deadline, like that of TargetScheduler.
constexpr double kDeadlineMargin = 1.5;
constexpr double kNoCandidate = std::numeric_limits<double>::infinity();

std::size_t
IndexOf(Distance aDistance)
{
  return static_cast<std::size_t>(aDistance);
}

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

Duration
FromMilliseconds(double aTime)
{
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return Duration(static_cast<Duration::rep>(aTime * kMicrosecondsPerMillisecond));
}

} // namespace

NodePicker::NodePicker(Options aOptions, std::uint64_t aSeed)
  : options(std::move(aOptions))
  , random(aSeed)
{
  this->UpdateMinGains();
}

void
NodePicker::UpdateMinGains()
{
  if (!this->options.policy) {
    return;
  }
  const RegionPolicy& policy = *this->options.policy;
  const Duration derived = this->shortestObjective > Duration::zero()
                             ? this->shortestObjective / kObjectiveDivisor
                             : kFallbackMinGain;
  const Duration home = policy.MinGain() > Duration::zero() ? policy.MinGain() : derived;
  const Duration other =
    policy.OtherRegionMinGain() > Duration::zero() ? policy.OtherRegionMinGain() : home;
  this->overflow.SetMinGain(Distance::kOwnRegion, home);
  this->overflow.SetMinGain(Distance::kOtherRegion, other);
}

void
NodePicker::SetShortestObjective(Duration aObjective)
{
  this->shortestObjective = aObjective;
  this->UpdateMinGains();
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
  std::erase_if(this->records, [&](const std::pair<const std::string, Record>& aEntry) {
    if (aMembers.contains(aEntry.first)) {
      return false;
    }
    this->speed.Forget(aEntry.first);
    return true;
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
NodePicker::DistanceCost(const Candidate& aCandidate, std::uint64_t aBodyBytes) const
{
  const double kilobytes = static_cast<double>(aBodyBytes) / kBytesPerKilobyte;
  const std::optional<RegionPolicy>& policy = this->options.policy;
  if (aCandidate.isSelf) {
    return kSameNodeCost;
  }
  switch (aCandidate.distance) {
    case Distance::kOwnDomain:
      return kSameDomainCost;
    case Distance::kOwnRegion:
      return kSameRegionCost +
             kilobytes * (policy ? policy->BytesWeight() : kSameRegionCostPerKilobyte);
    default:
      return kOtherRegionCost +
             kilobytes * (policy ? policy->OtherRegionBytesWeight() : kOtherRegionCostPerKilobyte);
  }
}

double
NodePicker::CostOf(const Candidate& aCandidate, std::uint64_t aBodyBytes, Time aNow) const
{
  const Record& record = *aCandidate.record;
  const double age = Seconds(aNow - record.loadAt);
  const double freshness = std::clamp(1.0 - age / Seconds(kLoadLifetime), 0.0, 1.0);
  const double load =
    std::max(record.load * freshness + record.sentSinceReport * record.loadPerRequest,
             record.inFlight * record.loadPerRequest);
  const double excess = std::max(load - kBusyLoad, 0.0);
  return this->DistanceCost(aCandidate, aBodyBytes) + load * kCostPerLoad +
         excess * kBusyCostPerLoad;
}

std::optional<PeerAddress>
NodePicker::Pick(const Criteria& aCriteria, Time aNow)
{
  const std::map<std::string, Candidates>::const_iterator found =
    this->candidatesByService.find(aCriteria.service);
  if (found == this->candidatesByService.end()) {
    return std::nullopt;
  }
  return this->options.policy ? this->PickByTime(found->second, aCriteria, aNow)
                              : this->PickByDistance(found->second, aCriteria, aNow);
}

bool
NodePicker::MayServe(const Candidate& aCandidate, const Criteria& aCriteria)
{
  return !aCandidate.evacuated && aCriteria.residency.Allows(aCandidate.region);
}

std::optional<PeerAddress>
NodePicker::PickByDistance(const Candidates& aCandidates, const Criteria& aCriteria, Time aNow)
{
  const Candidate* best = nullptr;
  double bestCost = 0;
  bool bestExcluded = false;
  for (const Candidate& candidate : aCandidates) {
    if (!aCriteria.tried.empty() && aCriteria.tried.contains(candidate.address.Node())) {
      continue;
    }
    if (!MayServe(candidate, aCriteria)) {
      continue;
    }
    // Excluded and suspect nodes are selected only if there is no other candidate.
    const bool excluded = candidate.suspect || candidate.record->excludedUntil > aNow;
    const double cost = this->CostOf(candidate, aCriteria.bodyBytes, aNow) +
                        this->random.Fraction() * kMaxTieBreakCost;
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

double
NodePicker::ReportWeight(const Record& aRecord, Duration aLifetime, Time aNow)
{
  const double age = Seconds(aNow - aRecord.loadAt) / Seconds(aLifetime);
  return aRecord.loadAt > Time{} ? std::clamp(1 - age, 0.0, 1.0) : 0;
}

NodePicker::ByDistance
NodePicker::MeanLoads(const Candidates& aCandidates, Time aNow)
{
  ByDistance sums{};
  ByDistance weights{};
  for (const Candidate& candidate : aCandidates) {
    const std::size_t distance = IndexOf(candidate.distance);
    const double weight = ReportWeight(*candidate.record, kMeanLoadLifetime, aNow);
    sums.at(distance) += candidate.record->load * weight;
    weights.at(distance) += weight;
  }
  for (std::size_t distance = 0; distance < kDistances; ++distance) {
    sums.at(distance) = weights.at(distance) > 0 ? sums.at(distance) / weights.at(distance) : 0;
  }
  return sums;
}

double
NodePicker::LoadOf(const Record& aRecord, double aMeanLoad, Time aNow)
{
  // A target without a recent report counted as idle would show room in a domain that is full.
  const double freshness = ReportWeight(aRecord, kLoadLifetime, aNow);
  const double reported = aRecord.load * freshness + aMeanLoad * (1 - freshness);
  return std::max(reported + aRecord.sentSinceReport * aRecord.loadPerRequest,
                  aRecord.inFlight * aRecord.loadPerRequest);
}

std::vector<NodePicker::Rated>
NodePicker::Rate(const Candidates& aCandidates, const Criteria& aCriteria, Time aNow) const
{
  std::vector<const Candidate*> serving;
  std::vector<std::string_view> nodes;
  serving.reserve(aCandidates.size());
  nodes.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    if (MayServe(candidate, aCriteria)) {
      serving.push_back(&candidate);
      nodes.push_back(candidate.address.Node());
    }
  }
  const ByDistance meanLoads = MeanLoads(aCandidates, aNow);
  const std::vector<TargetSpeed::Estimate> times =
    this->speed.Estimates(aCriteria.route, nodes, aNow);
  std::vector<Rated> rated;
  rated.reserve(serving.size());
  for (std::size_t index = 0; index < serving.size(); ++index) {
    const Candidate& candidate = *serving[index];
    const Record& record = *candidate.record;
    const double load = LoadOf(record, meanLoads.at(IndexOf(candidate.distance)), aNow);
    const TargetSpeed::Estimate& time = times[index];
    const double expected =
      time.expected > Duration::zero() ? Milliseconds(time.expected) : kUnknownTime;
    const double distanceCost = this->DistanceCost(candidate, aCriteria.bodyBytes);
    const double crowding = std::max(load - kBusyLoad, 0.0) * kCrowdingPerLoad;
    const double discount = time.known ? 1 : kUnknownDiscount;
    const bool excluded = candidate.suspect || record.excludedUntil > aNow;
    const bool slowAndBusy = time.slow && record.inFlight > 0;
    rated.push_back(
      { .candidate = &candidate,
        .usability = excluded      ? Usability::kExcluded
                     : slowAndBusy ? Usability::kSlowAndBusy
                                   : Usability::kUsable,
        .tried = aCriteria.tried.contains(candidate.address.Node()),
        .load = load,
        .time = distanceCost + (std::max(load - 1, 0.0) + 1) * expected,
        .cost = distanceCost + load * kCostPerLoad + (crowding + 1) * expected * discount });
  }
  return rated;
}

NodePicker::Summary
NodePicker::Summarise(const std::vector<Rated>& aRated)
{
  Summary summary;
  summary.bestTime.fill(kNoCandidate);
  for (const Rated& rated : aRated) {
    if (rated.usability == Usability::kExcluded) {
      continue;
    }
    const Distance distance = rated.candidate->distance;
    if (rated.tried) {
      summary.triedAtHome = summary.triedAtHome || distance == Distance::kOwnDomain;
      continue;
    }
    const std::size_t index = IndexOf(distance);
    summary.bestTime.at(index) = std::min(summary.bestTime.at(index), rated.time);
    summary.loadSum.at(index) += rated.load;
    ++summary.count.at(index);
  }
  return summary;
}

void
NodePicker::Observe(const Summary& aSummary, const std::string& aService, Time aNow)
{
  double near = kNoCandidate;
  double loadSum = 0;
  std::size_t count = 0;
  for (const Distance distance : { Distance::kOwnRegion, Distance::kOtherRegion }) {
    const std::size_t inner = IndexOf(distance) - 1;
    near = std::min(near, aSummary.bestTime.at(inner));
    loadSum += aSummary.loadSum.at(inner);
    count += aSummary.count.at(inner);
    const double far = aSummary.bestTime.at(IndexOf(distance));
    if (near < kNoCandidate && far < kNoCandidate) {
      this->overflow.Observe(aService,
                             distance,
                             { .near = FromMilliseconds(near),
                               .far = FromMilliseconds(far),
                               .nearLoad = loadSum / static_cast<double>(count) },
                             aNow);
    }
  }
}

bool
NodePicker::IsUrgent(const Summary& aSummary, Distance aDistance, const Criteria& aCriteria) const
{
  double near = kNoCandidate;
  for (std::size_t inner = 0; inner < IndexOf(aDistance); ++inner) {
    near = std::min(near, aSummary.bestTime.at(inner));
  }
  const double far = aSummary.bestTime.at(IndexOf(aDistance));
  if (near - far <= Milliseconds(this->overflow.MinGain(aDistance))) {
    return false;
  }
  const double remaining = Milliseconds(aCriteria.remaining);
  return aCriteria.nested ||
         (near * kDeadlineMargin > remaining && far * kDeadlineMargin <= remaining);
}

NodePicker::Reach
NodePicker::ReachOf(const Summary& aSummary, const Criteria& aCriteria)
{
  Reach reach;
  while (reach.distance < Distance::kOtherRegion &&
         aSummary.count.at(IndexOf(reach.distance)) == 0) {
    reach.distance = static_cast<Distance>(IndexOf(reach.distance) + 1);
    reach.reason = aSummary.triedAtHome ? OverflowReason::kRefused : OverflowReason::kNoTarget;
  }
  for (const Distance distance : { Distance::kOwnRegion, Distance::kOtherRegion }) {
    // Every request counts for the shares, also one that may leave for another reason.
    const bool inShare = this->overflow.Take(aCriteria.service, distance);
    if (distance <= reach.distance) {
      continue;
    }
    if (inShare || this->IsUrgent(aSummary, distance, aCriteria)) {
      reach = { .distance = distance,
                .reason = inShare ? OverflowReason::kShare : OverflowReason::kUrgent };
    }
  }
  return reach;
}

std::optional<PeerAddress>
NodePicker::PickByTime(const Candidates& aCandidates, const Criteria& aCriteria, Time aNow)
{
  const std::vector<Rated> rated = this->Rate(aCandidates, aCriteria, aNow);
  const Summary summary = Summarise(rated);
  if (aCriteria.tried.empty()) {
    this->Observe(summary, aCriteria.service, aNow);
  }
  const Reach reach = this->ReachOf(summary, aCriteria);
  const Rated* best = nullptr;
  double bestCost = 0;
  for (const Rated& entry : rated) {
    if (entry.tried || entry.candidate->distance > reach.distance) {
      continue;
    }
    const double cost = entry.cost + this->random.Fraction() * kMaxTieBreakCost;
    if (best == nullptr || entry.usability < best->usability ||
        (entry.usability == best->usability && cost < bestCost)) {
      best = &entry;
      bestCost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  if (best->candidate->distance != Distance::kOwnDomain) {
    ++this->left[{ best->candidate->distance, reach.reason }];
  }
  return best->candidate->address;
}

void
NodePicker::Poll(Time aNow, Effects& aEffects)
{
  if (!this->options.policy) {
    return;
  }
  this->overflow.Poll(aNow);
  for (const DomainOverflow::Change& change : this->overflow.TakeChanges()) {
    const std::string distance(ToText(change.distance));
    aEffects.push_back(MetricUpdated({ .metric = Metric::kOverflowShare,
                                       .label = change.service + "/" + distance,
                                       .value = change.share }));
    if (change.reported) {
      AddLogLine(aEffects,
                 LogEvent::kOverflowShareChanged,
                 "service=" + change.service + " distance=" + distance +
                   " share=" + std::to_string(change.share));
    }
  }
  for (const auto& [key, count] : this->left) {
    aEffects.push_back(MetricUpdated(
      { .metric = Metric::kOverflowRequests,
        .label = std::string(ToText(key.first)) + "/" + std::string(ToText(key.second)),
        .value = static_cast<double>(count) }));
  }
  this->left.clear();
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
  if (this->options.policy) {
    this->speed.Note(aNode, aLoad.route, aLoad.expectedTime, aNow);
  }
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
  this->speed.Forget(aNode);
  const std::map<std::string, Record>::iterator found = this->records.find(aNode);
  if (found != this->records.end()) {
    // Candidates refer to the record.
    found->second = Record{};
  }
}

} // namespace jackdawwind
