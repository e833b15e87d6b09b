#include "decisions/mesh/node_picker.h"

#include <algorithm>
#include <utility>

namespace jackdawwind {

namespace {

/// Costs in milliseconds. Those of distance stand for the time on the way and the price of the
/// bytes; the other region is on a narrow link.
constexpr double kSameNode = 0;
constexpr double kSameDomain = 1;
constexpr double kSameRegion = 5;
constexpr double kOtherRegion = 120;
constexpr double kSameRegionPerKilobyte = 0.5;
constexpr double kOtherRegionPerKilobyte = 8;
constexpr double kBytesPerKilobyte = 1024;
/// Load from which a request is likely to wait.
constexpr double kBusyLoad = 0.75;
/// Rise of the cost with load below and above that.
constexpr double kIdleSlope = 4;
constexpr double kBusySlope = 400;
/// A send that was not reported on yet counts as this much load: one of about fifty slots.
constexpr double kLoadPerSend = 0.02;
/// A reported load means nothing after this time, since a target changes that fast.
constexpr Duration kLoadLife = std::chrono::seconds(2);
constexpr Duration kFirstExclusion = std::chrono::milliseconds(500);
constexpr Duration kLongestExclusion = std::chrono::seconds(8);
constexpr std::uint32_t kMaxDoublings = 4;
constexpr double kPerMille = 1000;
constexpr double kTieBreak = 0.5;

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
    return kSameNode;
  }
  const double kilobytes = static_cast<double>(aBodyBytes) / kBytesPerKilobyte;
  if (aMember.GetDomain() == this->options.domain) {
    return kSameDomain;
  }
  if (aMember.Region() == this->options.region) {
    return kSameRegion + kilobytes * kSameRegionPerKilobyte;
  }
  return kOtherRegion + kilobytes * kOtherRegionPerKilobyte;
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
  const double fresh = std::clamp(1.0 - age / Seconds(kLoadLife), 0.0, 1.0);
  const double load =
    std::max(record.load * fresh + record.sentSince * kLoadPerSend, record.running * kLoadPerSend);
  const double busy = std::max(load - kBusyLoad, 0.0);
  return cost + load * kIdleSlope + busy * kBusySlope;
}

std::optional<PeerAddress>
NodePicker::Pick(const Wish& aWish, const Members& aMembers, Time aNow)
{
  const Member* best = nullptr;
  double bestCost = 0;
  bool bestExcluded = false;
  for (const Members::value_type& entry : aMembers) {
    const Member& member = entry.second;
    const bool usable =
      member.GetService() == aWish.service && member.GetTargetState() == TargetState::kReady &&
      (member.State() == NodeState::kAlive || member.State() == NodeState::kSuspect) &&
      !aWish.tried.contains(entry.first);
    if (!usable) {
      continue;
    }
    const auto record = this->records.find(entry.first);
    // Excluded and suspect nodes are the last resort.
    const bool excluded = member.State() == NodeState::kSuspect ||
                          (record != this->records.end() && record->second.excludedUntil > aNow);
    const double cost =
      this->CostOf(member, aWish.bodyBytes, aNow) + this->random.Fraction() * kTieBreak;
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
  ++record.running;
  ++record.sentSince;
}

void
NodePicker::NoteEnded(const std::string& aNode)
{
  Record& record = this->records[aNode];
  record.running = record.running > 0 ? record.running - 1 : 0;
}

void
NodePicker::NoteAnswer(const std::string& aNode, std::uint32_t aLoadPerMille, Time aNow)
{
  this->NoteEnded(aNode);
  Record& record = this->records[aNode];
  record.load = aLoadPerMille / kPerMille;
  record.loadAt = aNow;
  record.sentSince = 0;
  record.failures = 0;
  record.excludedUntil = Time{};
}

void
NodePicker::NoteFailure(const std::string& aNode, Time aNow)
{
  this->NoteEnded(aNode);
  Record& record = this->records[aNode];
  const Duration exclusion = kFirstExclusion * (1U << std::min(record.failures, kMaxDoublings));
  record.excludedUntil = aNow + std::min(exclusion, kLongestExclusion);
  ++record.failures;
}

void
NodePicker::Forget(const std::string& aNode)
{
  this->records.erase(aNode);
}

} // namespace jackdawwind
