#include "decisions/routing/picker.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace jackdawwind {

namespace {

constexpr std::uint32_t kFailuresBeforeExclusion = 3;
constexpr Duration kFirstExclusion = std::chrono::seconds(1);
constexpr Duration kLongestExclusion = std::chrono::seconds(10);

/// Kinds of candidates, best first.
enum class Kind
{
  kAlive,
  kAliveExcluded,
  kSuspect,
  kSuspectExcluded,
};
constexpr std::size_t kKinds = 4;

/// Places of candidates, nearest first.
enum class Place
{
  kDomain,
  kRegion,
  kElsewhere,
};
constexpr std::size_t kPlaces = 3;

/// Whether an outcome counts against the node. Some answers count too: a node that answers at once
/// because its target is gone or draining has little load and would attract all calls.
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
  Candidates fresh;
  Candidates tried;
  for (const Member* member : all) {
    const bool wasTried = aRequest.tried.contains(member->Address().Node());
    (wasTried ? tried : fresh).push_back(member);
  }
  const Member* chosen = this->Choose(fresh, aRequest.rank, aNow);
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
    this->levels.Note(aNode, answer->Level(), answer->Load(), aNow);
  }
  Health& health = this->nodes[aNode];
  if (std::visit(IsFailure{}, aOutcome)) {
    this->NoteFailure(health, aNow);
  } else {
    health.failuresInARow = 0;
    health.exclusion = Duration::zero();
    health.excludedUntil = aNow;
  }
}

void
Picker::NoteCancelled(const std::string& aNode)
{
  const std::map<std::string, Health>::iterator found = this->nodes.find(aNode);
  if (found != this->nodes.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

void
Picker::Forget(const std::string& aNode)
{
  this->levels.Forget(aNode);
  this->nodes.erase(aNode);
}

bool
Picker::IsExcluded(const std::string& aNode, Time aNow) const
{
  const std::map<std::string, Health>::const_iterator found = this->nodes.find(aNode);
  return found != this->nodes.end() && aNow < found->second.excludedUntil;
}

Picker::Candidates
Picker::FindCandidates(const std::string& aService,
                       const std::map<std::string, Member>& aMembers,
                       Time aNow) const
{
  std::array<Candidates, kKinds> byKind;
  for (const std::pair<const std::string, Member>& entry : aMembers) {
    const Member& member = entry.second;
    const bool ready =
      member.GetService() == aService && member.GetTargetState() == TargetState::kReady;
    const bool suspect = member.State() == NodeState::kSuspect;
    if (!ready || (!suspect && member.State() != NodeState::kAlive)) {
      continue;
    }
    const bool excluded = this->IsExcluded(entry.first, aNow);
    const Kind kind = suspect ? (excluded ? Kind::kSuspectExcluded : Kind::kSuspect)
                              : (excluded ? Kind::kAliveExcluded : Kind::kAlive);
    byKind[static_cast<std::size_t>(kind)].push_back(&member);
  }
  for (const Candidates& candidates : byKind) {
    if (!candidates.empty()) {
      return candidates;
    }
  }
  return {};
}

const Member*
Picker::Choose(const Candidates& aCandidates, std::uint32_t aRank, Time aNow)
{
  std::array<Candidates, kPlaces> byPlace;
  for (const Member* member : aCandidates) {
    const Place place = member->GetDomain() == this->options.domain ? Place::kDomain
                        : member->Region() == this->options.region  ? Place::kRegion
                                                                    : Place::kElsewhere;
    byPlace[static_cast<std::size_t>(place)].push_back(member);
  }
  for (Candidates& candidates : byPlace) {
    // Levels are looked up place by place: mostly the own domain, an eighth of all, is enough.
    std::erase_if(candidates, [this, aRank, aNow](const Member* aMember) {
      return !this->levels.Admits(aMember->Address().Node(), aRank, aNow);
    });
    if (!candidates.empty()) {
      return this->LessLoaded(candidates, aNow);
    }
  }
  return nullptr;
}

const Member*
Picker::LessLoaded(const Candidates& aCandidates, Time aNow)
{
  const std::size_t first = this->random.Below(aCandidates.size());
  if (aCandidates.size() == 1) {
    return aCandidates[first];
  }
  // Another than the first, each with the same chance.
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
  const std::map<std::string, Health>::const_iterator found = this->nodes.find(node);
  const std::uint64_t inFlight = found == this->nodes.end() ? 0 : found->second.inFlight;
  return inFlight + this->levels.LoadOf(node, aNow);
}

void
Picker::NoteFailure(Health& aHealth, Time aNow) const
{
  ++aHealth.failuresInARow;
  // Failures of attempts that were under way when the exclusion began do not lengthen it.
  if (aHealth.failuresInARow < kFailuresBeforeExclusion || aNow < aHealth.excludedUntil) {
    return;
  }
  aHealth.exclusion = aHealth.exclusion == Duration::zero()
                        ? kFirstExclusion
                        : std::min(aHealth.exclusion * 2, kLongestExclusion);
  aHealth.excludedUntil = aNow + aHealth.exclusion;
}

} // namespace jackdawwind
