#include "decisions/membership/member_table.h"

#include <string_view>
#include <tuple>

#include "util/hash.h"

namespace jackdawwind {

namespace {

/// A stable hash with a final mix step, because the table hash is the sum of the member hashes.
class MemberHash
{
public:
  void Add(std::string_view aText)
  {
    this->bytes.Add(aText);
    this->bytes.Add(static_cast<unsigned char>(0));
  }

  void Add(std::uint64_t aNumber)
  {
    constexpr unsigned kBits = 64;
    constexpr unsigned kBitsPerByte = 8;
    for (unsigned shift = 0; shift < kBits; shift += kBitsPerByte) {
      this->bytes.Add(static_cast<unsigned char>(aNumber >> shift));
    }
  }

  std::uint64_t Value() const
  {
    constexpr std::uint64_t kMixFirst = 0xff51afd7ed558ccdULL;
    constexpr std::uint64_t kMixSecond = 0xc4ceb9fe1a85ec53ULL;
    constexpr unsigned kHalf = 33;
    std::uint64_t value = this->bytes.Value();
    value = (value ^ (value >> kHalf)) * kMixFirst;
    value = (value ^ (value >> kHalf)) * kMixSecond;
    return value ^ (value >> kHalf);
  }

private:
  StableHash bytes;
};

std::uint64_t
HashOf(const Member& aMember)
{
  MemberHash hash;
  hash.Add(aMember.Address().Node());
  hash.Add(aMember.Address().Host());
  hash.Add(aMember.Address().CallPort());
  hash.Add(aMember.Address().ControlPort());
  hash.Add(aMember.Incarnation());
  hash.Add(aMember.Version());
  hash.Add(aMember.GetDomain());
  hash.Add(aMember.Region());
  hash.Add(aMember.GetService());
  hash.Add(static_cast<std::uint64_t>(aMember.GetTargetState()));
  hash.Add(static_cast<std::uint64_t>(aMember.State()));
  return hash.Value();
}

/// Order of precedence of two records of the same node; the greater supersedes.
std::tuple<std::uint64_t, std::uint64_t, NodeState>
PrecedenceOf(const Member& aMember)
{
  static_assert(NodeState::kAlive < NodeState::kSuspect &&
                NodeState::kSuspect < NodeState::kLeaving &&
                NodeState::kLeaving < NodeState::kDead);
  return { aMember.Incarnation(), aMember.Version(), aMember.State() };
}

} // namespace

bool
Supersedes(const Member& aLeft, const Member& aRight)
{
  return PrecedenceOf(aLeft) > PrecedenceOf(aRight);
}

Member
WithState(const Member& aMember, NodeState aState)
{
  Member::Fields fields = aMember.ToFields();
  fields.state = aState;
  return Member(fields);
}

std::optional<TableChange>
MemberTable::Merge(const Member& aMember)
{
  const std::string& node = aMember.Address().Node();
  const Member* known = this->Find(node);
  if (known == nullptr) {
    const std::map<std::string, Tombstone>::const_iterator found = this->tombstones.find(node);
    const bool stale = found != this->tombstones.end() &&
                       !Supersedes(WithState(aMember, NodeState::kDead), found->second.member);
    if (stale || aMember.State() == NodeState::kDead) {
      return std::nullopt;
    }
    return this->Put(aMember);
  }
  if (this->IsUnconfirmedDeath(aMember) || !Supersedes(aMember, *known)) {
    return std::nullopt;
  }
  return this->Put(aMember);
}

bool
MemberTable::IsUnconfirmedDeath(const Member& aMember) const
{
  const Member* known = this->Find(aMember.Address().Node());
  return known != nullptr && aMember.State() == NodeState::kDead &&
         aMember.Incarnation() == known->Incarnation() && Supersedes(aMember, *known) &&
         (known->State() == NodeState::kAlive || known->State() == NodeState::kSuspect);
}

TableChange
MemberTable::Put(const Member& aMember)
{
  const std::string& node = aMember.Address().Node();
  TableChange change{ std::nullopt, aMember };
  const std::map<std::string, Member>::iterator found = this->members.find(node);
  if (found != this->members.end()) {
    change.before = found->second;
    this->UpdateTotals(found->second, false);
    found->second = aMember;
  } else {
    this->members.emplace(node, aMember);
  }
  this->tombstones.erase(node);
  this->UpdateTotals(aMember, true);
  ++this->changes;
  return change;
}

void
MemberTable::Forget(const std::string& aNode, Time aUntil)
{
  const std::map<std::string, Member>::iterator found = this->members.find(aNode);
  if (found == this->members.end()) {
    return;
  }
  this->UpdateTotals(found->second, false);
  this->tombstones[aNode] = Tombstone{ found->second, aUntil };
  this->members.erase(found);
  ++this->changes;
}

void
MemberTable::ExpireTombstones(Time aNow)
{
  std::erase_if(this->tombstones, [aNow](const std::pair<const std::string, Tombstone>& aEntry) {
    return aEntry.second.expiresAt <= aNow;
  });
}

const Member*
MemberTable::Find(const std::string& aNode) const
{
  const std::map<std::string, Member>::const_iterator found = this->members.find(aNode);
  return found == this->members.end() ? nullptr : &found->second;
}

bool
MemberTable::IsLive(const std::string& aNode) const
{
  const Member* member = this->Find(aNode);
  return member != nullptr && member->State() != NodeState::kDead;
}

std::vector<Member>
MemberTable::NewerThan(const std::vector<Member>& aTheirs) const
{
  std::map<std::string, const Member*> theirs;
  for (const Member& member : aTheirs) {
    theirs[member.Address().Node()] = &member;
  }
  std::vector<Member> newer;
  for (const auto& [node, member] : this->members) {
    const std::map<std::string, const Member*>::const_iterator found = theirs.find(node);
    const bool missing = found == theirs.end() && member.State() != NodeState::kDead;
    if (missing || (found != theirs.end() && Supersedes(member, *found->second))) {
      newer.push_back(member);
    }
  }
  for (const auto& [node, entry] : this->tombstones) {
    const std::map<std::string, const Member*>::const_iterator found = theirs.find(node);
    if (found != theirs.end() && Supersedes(entry.member, *found->second)) {
      newer.push_back(entry.member);
    }
  }
  return newer;
}

void
MemberTable::UpdateTotals(const Member& aMember, bool aAdd)
{
  if (aMember.State() == NodeState::kDead) {
    return;
  }
  const std::uint64_t memberHash = HashOf(aMember);
  this->hash = aAdd ? this->hash + memberHash : this->hash - memberHash;
  this->liveCount = aAdd ? this->liveCount + 1 : this->liveCount - 1;
}

} // namespace jackdawwind
