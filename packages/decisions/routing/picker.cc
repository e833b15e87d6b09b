#include "decisions/routing/picker.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace jackdawwind {

namespace {

constexpr std::uint32_t kFailuresForExclusion = 3;
constexpr Duration kFirstExclusion = std::chrono::seconds(1);
constexpr Duration kMaxExclusion = std::chrono::seconds(10);

/// Classes of candidates, best first. "Excluded" candidates failed repeatedly.
enum class CandidateClass
{
  kAlive,
  kAliveExcluded,
  kSuspect,
  kSuspectExcluded,
};
constexpr std::size_t kCandidateClasses = 4;

/// Distance of a candidate from this node, nearest first.
enum class Locality
{
  kDomain,
  kRegion,
  kRemote,
};
constexpr std::size_t kLocalities = 3;

/// Whether an outcome counts as a failure of the node. Answers that report a missing or draining
/// target count too: such a node answers fast, has little load and would otherwise attract all
/// calls.
struct IsFailure
{
  bool operator()(const Answered& aOutcome) const
  {
    switch (aOutcome.Code()) {
      case ResultCode::kConnectFailed:
      case ResultCode::kTargetFailed:
      case ResultCode::kAttemptLost:
      case ResultCode::kAttemptTimedOut:
      case ResultCode::kTargetDraining:
      case ResultCode::kNodeDraining:
      case ResultCode::kNoTarget:
        return true;
      default:
        return false;
    }
  }
  bool operator()(const ConnectFailed& /*aOutcome*/) const { return true; }
  bool operator()(const Lost& /*aOutcome*/) const { return true; }
  bool operator()(const TimedOut& /*aOutcome*/) const { return true; }
};

} // namespace

Picker::Picker(Options aOptions, std::uint64_t aSeed)
  : options(std::move(aOptions))
  , random(aSeed)
{
}

std::variant<PeerAddress, ResultCode>
Picker::Pick(const PickRequest& aRequest, const std::map<std::string, Member>& aMembers, Time aNow)
{
  const Candidates all = this->FindCandidates(aRequest.service, aMembers, aNow);
  if (all.empty()) {
    return ResultCode::kNoTarget;
  }
  Candidates untried;
  Candidates tried;
  for (const Member* member : all) {
    const bool alreadyTried = aRequest.tried.contains(member->Address().Node());
    (alreadyTried ? tried : untried).push_back(member);
  }
  const Member* chosen = this->Choose(untried, aRequest.rank, aNow);
  if (chosen == nullptr) {
    chosen = this->Choose(tried, aRequest.rank, aNow);
  }
  if (chosen == nullptr) {
    return ResultCode::kShedAtEntry;
  }
  return chosen->Address();
}

void
Picker::NoteSent(const std::string& aNode)
{
  ++this->nodes[aNode].inFlight;
}

void
Picker::NoteEnded(const std::string& aNode, const AttemptOutcome& aOutcome, Time aNow)
{
  this->NoteCancelled(aNode);
  if (const Answered* answer = std::get_if<Answered>(&aOutcome)) {
    this->loadCache.Update(aNode, answer->Level(), answer->Load(), aNow);
  }
  NodeHealth& health = this->nodes[aNode];
  if (std::visit(IsFailure{}, aOutcome)) {
    this->NoteFailure(health, aNow);
  } else {
    health.consecutiveFailures = 0;
    health.exclusionPeriod = Duration::zero();
    health.excludedUntil = aNow;
  }
}

void
Picker::NoteCancelled(const std::string& aNode)
{
  const std::map<std::string, NodeHealth>::iterator found = this->nodes.find(aNode);
  if (found != this->nodes.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

void
Picker::Forget(const std::string& aNode)
{
  this->loadCache.Forget(aNode);
  this->nodes.erase(aNode);
}

bool
Picker::IsExcluded(const std::string& aNode, Time aNow) const
{
  const std::map<std::string, NodeHealth>::const_iterator found = this->nodes.find(aNode);
  return found != this->nodes.end() && aNow < found->second.excludedUntil;
}

Picker::Candidates
Picker::FindCandidates(const std::string& aService,
                       const std::map<std::string, Member>& aMembers,
                       Time aNow) const
{
  std::array<Candidates, kCandidateClasses> byClass;
  for (const std::pair<const std::string, Member>& entry : aMembers) {
    const Member& member = entry.second;
    const bool ready =
      member.GetService() == aService && member.GetTargetState() == TargetState::kReady;
    const bool suspect = member.State() == NodeState::kSuspect;
    if (!ready || (!suspect && member.State() != NodeState::kAlive)) {
      continue;
    }
    const bool excluded = this->IsExcluded(entry.first, aNow);
    const CandidateClass candidateClass =
      suspect ? (excluded ? CandidateClass::kSuspectExcluded : CandidateClass::kSuspect)
              : (excluded ? CandidateClass::kAliveExcluded : CandidateClass::kAlive);
    byClass[static_cast<std::size_t>(candidateClass)].push_back(&member);
  }
  for (const Candidates& candidates : byClass) {
    if (!candidates.empty()) {
      return candidates;
    }
  }
  return {};
}

const Member*
Picker::Choose(const Candidates& aCandidates, std::uint32_t aRank, Time aNow)
{
  std::array<Candidates, kLocalities> byLocality;
  for (const Member* member : aCandidates) {
    const Locality locality = member->GetDomain() == this->options.domain ? Locality::kDomain
                              : member->Region() == this->options.region  ? Locality::kRegion
                                                                          : Locality::kRemote;
    byLocality[static_cast<std::size_t>(locality)].push_back(member);
  }
  for (Candidates& candidates : byLocality) {
    // Levels are looked up one locality at a time, since the own domain, an eighth of all nodes, is
    // usually sufficient.
    std::erase_if(candidates, [this, aRank, aNow](const Member* aMember) {
      return !this->loadCache.Admits(aMember->Address().Node(), aRank, aNow);
    });
    if (!candidates.empty()) {
      return this->PickLessLoaded(candidates, aNow);
    }
  }
  return nullptr;
}

const Member*
Picker::PickLessLoaded(const Candidates& aCandidates, Time aNow)
{
  const std::size_t first = this->random.Below(aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  // Uniformly chosen among the other candidates.
  const std::size_t second =
    (first + 1 + this->random.Below(aCandidates.size() - 1)) % aCandidates.size();
  const bool secondIsLess =
    this->LoadOf(*aCandidates[second], aNow) < this->LoadOf(*aCandidates[first], aNow);
  return aCandidates[secondIsLess ? second : first];
}

std::uint64_t
Picker::LoadOf(const Member& aMember, Time aNow) const
{
  const std::string& node = aMember.Address().Node();
  const std::map<std::string, NodeHealth>::const_iterator found = this->nodes.find(node);
  const std::uint64_t inFlight = found == this->nodes.end() ? 0 : found->second.inFlight;
  return inFlight + this->loadCache.LoadOf(node, aNow);
}

void
Picker::NoteFailure(NodeHealth& aHealth, Time aNow) const
{
  ++aHealth.consecutiveFailures;
  // Failures during an exclusion, mostly of attempts that were already in flight, do not extend it.
  if (aHealth.consecutiveFailures < kFailuresForExclusion || aNow < aHealth.excludedUntil) {
    return;
  }
  aHealth.exclusionPeriod = aHealth.exclusionPeriod == Duration::zero()
                              ? kFirstExclusion
                              : std::min(aHealth.exclusionPeriod * 2, kMaxExclusion);
  aHealth.excludedUntil = aNow + aHealth.exclusionPeriod;
}

} // namespace jackdawwind
