#include "fake_rate_fleet.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <variant>

namespace jackdawwind {

namespace {

constexpr const char* kDomains[] = { "ikeja", "apapa", "sharada", "bompai" };
constexpr const char* kRegions[] = { "lagos", "lagos", "kano", "kano" };
constexpr Duration kDomainLatency = std::chrono::microseconds(300);
constexpr Duration kRegionLatency = std::chrono::microseconds(1500);
constexpr Duration kInterRegionLatency = std::chrono::milliseconds(8);
constexpr Duration kViewPeriod = std::chrono::seconds(1);
/// Time until an unreachable member is declared dead.
constexpr Duration kFailureDetectionTime = std::chrono::seconds(5);
/// HTTP headers of request and empty response, and the JSON-RPC envelope of a control message.
constexpr std::uint64_t kEnvelopeBytes = 250;
/// JSON fields of a report, mostly its sender's address.
constexpr std::uint64_t kReportBytes = 280;
constexpr std::uint64_t kGrantBytes = 130;
/// One organisation in a report or grant.
constexpr std::uint64_t kItemBytes = 45;

Duration
Fraction(Duration aWhole, double aFraction)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aWhole.count()) * aFraction));
}

std::uint64_t
SizeOf(const PeerMessage& aMessage)
{
  if (const StewardReport* report = std::get_if<StewardReport>(&aMessage)) {
    return kEnvelopeBytes + kReportBytes + report->Demands().size() * kItemBytes;
  }
  if (const StewardGrant* grant = std::get_if<StewardGrant>(&aMessage)) {
    return kEnvelopeBytes + kGrantBytes + grant->Grants().size() * kItemBytes;
  }
  return kEnvelopeBytes;
}

} // namespace

double
MaxExcess(const std::vector<Duration>& aTimes, double aRate, double aBurst)
{
  double level = aBurst;
  double worst = 0;
  Duration last{};
  for (const Duration time : aTimes) {
    const double seconds = std::chrono::duration<double>(time - last).count();
    level = std::min(aBurst, level + aRate * seconds) - 1;
    worst = std::max(worst, -level);
    last = time;
  }
  constexpr double kRoundingTolerance = 1e-6;
  return worst > kRoundingTolerance ? worst : 0;
}

FakeRateFleet::FakeRateFleet(Settings aSettings)
  : settings(aSettings)
  , random(aSettings.seed)
{
  for (std::size_t domain = 0; domain < aSettings.domains; ++domain) {
    for (std::size_t index = 0; index < aSettings.nodesPerDomain; ++index) {
      Node node;
      node.domain = kDomains[domain];
      node.region = kRegions[domain];
      node.id = node.domain + "-" + std::to_string(index);
      this->byId[node.id] = this->nodes.size();
      this->nodes.push_back(std::move(node));
    }
  }
}

ConfigSnapshot
FakeRateFleet::Snapshot(const std::vector<Organisation>& aOrganisations,
                        std::vector<double> aShares) const
{
  aShares.resize(this->settings.domains, 1.0 / static_cast<double>(this->settings.domains));
  std::vector<ConfigItem> items;
  for (std::size_t domain = 0; domain < this->settings.domains; ++domain) {
    const Domain body({ .name = kDomains[domain],
                        .region = kRegions[domain],
                        .hosts = static_cast<std::uint32_t>(this->settings.nodesPerDomain),
                        .share = aShares[domain] });
    items.push_back(ConfigItem({ .path = PathOf(body), .body = body }));
  }
  for (const Organisation& organisation : aOrganisations) {
    items.push_back(ConfigItem({ .path = PathOf(organisation), .body = organisation }));
  }
  return ConfigSnapshot({ .asOf = 1, .revision = "r", .items = items });
}

void
FakeRateFleet::Configure(const ConfigSnapshot& aSnapshot)
{
  this->lastSnapshot = aSnapshot;
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    const Duration delay = Fraction(this->settings.maxReadDelay, this->random.Fraction());
    this->At(this->now + delay, [this, index, aSnapshot] {
      this->Handle(index, [aSnapshot](RateLimiter& aLimiter, Time aNow, Effects&) {
        aLimiter.Configure(ControlState(aSnapshot), aNow);
      });
    });
  }
}

void
FakeRateFleet::At(Duration aTime, std::function<void()> aAction)
{
  this->events.emplace(std::max(aTime, this->now), std::move(aAction));
}

void
FakeRateFleet::RunUntil(Duration aEnd)
{
  std::size_t eventsAtOneTime = 0;
  constexpr std::size_t kMaxEventsAtOneTime = 1'000'000;
  while (!this->events.empty() && this->events.begin()->first <= aEnd) {
    const std::multimap<Duration, std::function<void()>>::iterator first = this->events.begin();
    eventsAtOneTime = first->first == this->now ? eventsAtOneTime + 1 : 0;
    if (eventsAtOneTime > kMaxEventsAtOneTime) {
      throw std::logic_error("too many events at virtual time (us) " +
                             std::to_string(this->now.count()));
    }
    this->now = first->first;
    const std::function<void()> action = std::move(first->second);
    this->events.erase(first);
    action();
  }
  this->now = aEnd;
}

void
FakeRateFleet::Call(std::size_t aNode, const std::string& aOrganisation)
{
  if (!this->nodes[aNode].limiter) {
    return;
  }
  const std::uint64_t exchange = ++this->exchanges;
  ++this->callCounts[aOrganisation].calls;
  this->nodes[aNode].calls[exchange] = { aOrganisation, this->now };
  this->Handle(
    aNode,
    [this, aNode, exchange, aOrganisation](RateLimiter& aLimiter, Time aNow, Effects& aEffects) {
      const RateVerdict verdict = aLimiter.Request(exchange, aOrganisation, aNow, aEffects);
      if (verdict != RateVerdict::kWaiting) {
        this->Decide(this->nodes[aNode], exchange, verdict == RateVerdict::kAdmitted);
      }
    });
}

void
FakeRateFleet::Pause(std::size_t aNode, Duration aTime)
{
  Node& node = this->nodes[aNode];
  if (!node.limiter || node.pausedUntil > this->now) {
    return;
  }
  node.pausedUntil = this->now + aTime;
  const std::uint64_t incarnation = node.incarnation;
  this->At(node.pausedUntil, [this, aNode, incarnation] {
    Node& resumed = this->nodes[aNode];
    if (resumed.incarnation != incarnation) {
      return;
    }
    std::vector<std::function<void()>> heldEvents;
    std::swap(heldEvents, resumed.heldEvents);
    for (const std::function<void()>& event : heldEvents) {
      event();
    }
  });
}

void
FakeRateFleet::Crash(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  node.limiter.reset();
  node.heldEvents.clear();
  node.calls.clear();
  node.pausedUntil = Duration{};
  node.downSince = this->now;
  ++node.wakeGeneration;
}

void
FakeRateFleet::Leave(std::size_t aNode)
{
  if (!this->nodes[aNode].limiter || this->nodes[aNode].pausedUntil > this->now) {
    return;
  }
  this->Handle(aNode, [](RateLimiter& aLimiter, Time aNow, Effects& aEffects) {
    aLimiter.Leave(aNow, aEffects);
  });
  this->Crash(aNode);
}

void
FakeRateFleet::Start(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  if (node.limiter) {
    return;
  }
  constexpr std::uint64_t kMaxOffsetMicros = 1'000'000'000'000;
  node.incarnation =
    std::max(node.incarnation + 1, static_cast<std::uint64_t>(this->now.count()) + 1);
  node.clockOffset = Duration(static_cast<Duration::rep>(this->random.Below(kMaxOffsetMicros)));
  RateLimiter::Options options;
  options.self = PeerAddress({ .node = node.id });
  options.domain = node.domain;
  options.region = node.region;
  options.incarnation = node.incarnation;
  options.prefetch = this->settings.prefetch;
  options.borrow = this->settings.borrow;
  // Every incarnation gets the same seed, because uniqueness of marks must not depend on it.
  node.limiter = std::make_unique<RateLimiter>(options, this->settings.seed);
  if (!this->lastSnapshot.Items().empty()) {
    this->Handle(aNode, [state = this->lastSnapshot](RateLimiter& aLimiter, Time aNow, Effects&) {
      aLimiter.Configure(ControlState(state), aNow);
    });
  }
  this->UpdateView(aNode);
}

void
FakeRateFleet::SetPartitioned(const std::string& aDomain,
                              const std::string& aOther,
                              bool aPartitioned)
{
  const std::pair<std::string, std::string> pair = std::minmax(aDomain, aOther);
  if (aPartitioned) {
    this->partitions.insert(pair);
  } else {
    this->partitions.erase(pair);
  }
}

std::size_t
FakeRateFleet::Elected(const std::string& aDomain) const
{
  return static_cast<std::size_t>(
    std::count_if(this->nodes.begin(), this->nodes.end(), [&aDomain](const Node& aNode) {
      return aNode.domain == aDomain && aNode.limiter && aNode.limiter->Elected();
    }));
}

const std::vector<Duration>&
FakeRateFleet::Admissions(const std::string& aOrganisation)
{
  return this->admissions[aOrganisation];
}

const std::vector<Duration>&
FakeRateFleet::Refusals(const std::string& aOrganisation)
{
  return this->refusals[aOrganisation];
}

FakeRateFleet::CallCounts
FakeRateFleet::GetCallCounts(const std::string& aOrganisation) const
{
  const std::map<std::string, CallCounts>::const_iterator found =
    this->callCounts.find(aOrganisation);
  return found == this->callCounts.end() ? CallCounts{} : found->second;
}

Time
FakeRateFleet::LocalTime(const Node& aNode) const
{
  return Time(this->now + aNode.clockOffset);
}

void
FakeRateFleet::Handle(std::size_t aNode,
                      const std::function<void(RateLimiter&, Time, Effects&)>& aEvent)
{
  Node& node = this->nodes[aNode];
  if (!node.limiter) {
    return;
  }
  if (node.pausedUntil > this->now) {
    node.heldEvents.push_back([this, aNode, aEvent] { this->Handle(aNode, aEvent); });
    return;
  }
  Effects effects;
  aEvent(*node.limiter, this->LocalTime(node), effects);
  this->ApplyEffects(aNode, effects);
}

void
FakeRateFleet::ApplyEffects(std::size_t aNode, const Effects& aEffects)
{
  Node& node = this->nodes[aNode];
  for (const Effect& effect : aEffects) {
    if (const SendPeer* send = std::get_if<SendPeer>(&effect)) {
      this->Send(aNode, *send);
    }
  }
  for (const RateDecision& decision : node.limiter->TakeDecisions()) {
    this->Decide(node, decision.exchange, decision.admitted);
  }
  this->ScheduleWake(aNode);
}

void
FakeRateFleet::ScheduleWake(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  const std::uint64_t generation = ++node.wakeGeneration;
  const Duration at = node.limiter->NextWake().time_since_epoch() - node.clockOffset;
  this->At(at, [this, aNode, generation] {
    if (this->nodes[aNode].wakeGeneration == generation) {
      this->Handle(aNode, [](RateLimiter& aLimiter, Time aNow, Effects& aEffects) {
        aLimiter.Poll(aNow, aEffects);
      });
    }
  });
}

void
FakeRateFleet::Send(std::size_t aFrom, const SendPeer& aSend)
{
  const std::map<std::string, std::size_t>::const_iterator to = this->byId.find(aSend.To().Node());
  if (to == this->byId.end()) {
    throw std::logic_error("message to unknown node " + aSend.To().Node());
  }
  Node& sender = this->nodes[aFrom];
  sender.sentBytes += SizeOf(aSend.Message());
  const Node& receiver = this->nodes[to->second];
  std::size_t copies = this->random.Fraction() < this->settings.duplication ? 2 : 1;
  for (; copies > 0; --copies) {
    if (!this->Reachable(sender, receiver) || this->random.Fraction() < this->settings.loss) {
      continue;
    }
    this->At(
      this->now + this->Latency(sender, receiver),
      [this, index = to->second, message = aSend.Message()] { this->Deliver(index, message); });
  }
}

void
FakeRateFleet::Deliver(std::size_t aTo, const PeerMessage& aMessage)
{
  this->Handle(aTo, [aMessage](RateLimiter& aLimiter, Time aNow, Effects& aEffects) {
    if (const StewardReport* report = std::get_if<StewardReport>(&aMessage)) {
      aLimiter.Receive(*report, aNow, aEffects);
    } else if (const StewardGrant* grant = std::get_if<StewardGrant>(&aMessage)) {
      aLimiter.Receive(*grant, aNow, aEffects);
    }
  });
}

void
FakeRateFleet::UpdateView(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  if (!node.limiter) {
    return;
  }
  std::map<std::string, Member> members;
  const bool incomplete = this->random.Fraction() < this->settings.incompleteViews;
  const std::size_t missed = this->random.Below(this->nodes.size());
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    const Node& other = this->nodes[index];
    const bool down = !other.limiter && this->now - other.downSince > kFailureDetectionTime;
    if (other.incarnation == 0 || (incomplete && index == missed && index != aNode)) {
      continue;
    }
    const bool dead = down || !this->Reachable(node, other);
    members[other.id] = Member({ .address = PeerAddress({ .node = other.id }),
                                 .incarnation = other.incarnation,
                                 .domain = other.domain,
                                 .region = other.region,
                                 .state = dead ? NodeState::kDead : NodeState::kAlive });
  }
  this->Handle(aNode, [members](RateLimiter& aLimiter, Time aNow, Effects&) {
    aLimiter.SetMembers(members, aNow);
  });
  const std::uint64_t incarnation = node.incarnation;
  this->At(this->now + kViewPeriod, [this, aNode, incarnation] {
    if (this->nodes[aNode].incarnation == incarnation) {
      this->UpdateView(aNode);
    }
  });
}

void
FakeRateFleet::Decide(Node& aNode, std::uint64_t aExchange, bool aTaken)
{
  const std::map<std::uint64_t, std::pair<std::string, Duration>>::iterator call =
    aNode.calls.find(aExchange);
  if (call == aNode.calls.end()) {
    throw std::logic_error("decision on a call that is unknown or already decided");
  }
  const std::string organisation = call->second.first;
  const Duration arrived = call->second.second;
  aNode.calls.erase(call);
  if (aTaken) {
    ++this->callCounts[organisation].admitted;
    this->admissions[organisation].push_back(this->now);
  } else {
    ++this->callCounts[organisation].refused;
    this->refusals[organisation].push_back(arrived);
  }
}

Duration
FakeRateFleet::Latency(const Node& aFrom, const Node& aTo)
{
  constexpr double kJitter = 0.2;
  const Duration base = aFrom.domain == aTo.domain   ? kDomainLatency
                        : aFrom.region == aTo.region ? kRegionLatency
                                                     : kInterRegionLatency;
  Duration latency = base + Fraction(base, kJitter * this->random.Fraction());
  if (this->random.Fraction() < this->settings.delayed) {
    latency += Fraction(this->settings.maxExtraDelay, this->random.Fraction());
  }
  return latency;
}

bool
FakeRateFleet::Reachable(const Node& aFrom, const Node& aTo) const
{
  return this->partitions.count(std::minmax(aFrom.domain, aTo.domain)) == 0;
}

} // namespace jackdawwind
