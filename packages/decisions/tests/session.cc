#include "decisions/tests/session.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>

#include "decisions/config/control_state.h"

namespace jackdawwind {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after which an attempt over a silent connection counts as lost.
constexpr Duration kSilenceTimeout = milliseconds(1500);
constexpr Duration kLogDelay = milliseconds(2);
constexpr Duration kLogPollInterval = milliseconds(100);
constexpr std::uint32_t kServerError = 500;
constexpr std::uint32_t kBadGateway = 502;

/// Readable replacement for the hash of a key.
std::string
FakeHash(const std::string& aKey)
{
  return "hash-of-" + aKey;
}

} // namespace

struct Session::Node
{
  Node(const NodeSpec& aSpec, NodeCore::Options aOptions)
    : spec(aSpec)
    , core(std::move(aOptions))
  {
  }

  NodeSpec spec;
  NodeCore core;
  bool frozen = false;
  TargetState target = TargetState::kReady;
  std::vector<Event> heldEvents;
  std::map<std::string, std::uint64_t> logPositions;
  /// Service and path by exchange.
  std::map<std::uint64_t, std::pair<std::string, std::string>> requests;
  /// HTTP status of the target's answer by exchange.
  std::map<std::uint64_t, std::uint32_t> targetStatus;
  Time timerDue = Time::max();
};

Session::Session(std::uint64_t aSeed)
  : random(aSeed)
{
}

Session::~Session() = default;

void
Session::AddNode(const NodeSpec& aSpec)
{
  NodeSettings::Fields settings{ .node = aSpec.node,
                                 .domain = aSpec.domain,
                                 .region = aSpec.region };
  settings.log =
    LogServiceSettings({ .host = "log", .port = 1, .retention = std::chrono::hours(24) });
  if (!this->nodes.empty()) {
    settings.seeds = { PeerAddress(
      { .node = this->nodes.begin()->first, .host = this->nodes.begin()->first }) };
  }
  const std::string name = aSpec.node;
  const std::uint64_t incarnation = ++this->lastIncarnation;
  std::shared_ptr<int> ids = std::make_shared<int>(0);
  NodeCore::Options options{ .settings = NodeSettings(std::move(settings)),
                             .self = PeerAddress({ .node = name, .host = name }),
                             .incarnation = incarnation,
                             .seed = this->random.Below(1'000'000'000),
                             .unixTimeAtClockZero = std::chrono::hours(24 * 365),
                             .makeId = [name, incarnation, ids] {
                               return name + "." + std::to_string(incarnation) + "." +
                                      std::to_string(++*ids);
                             } };
  this->nodes[name] = std::make_unique<Node>(aSpec, std::move(options));
  this->Schedule(this->now, [this, name] {
    if (Node* node = this->Find(name)) {
      this->Perform(*node, node->core.Start(this->now));
    }
    this->Announce(name);
  });
}

void
Session::Configure(const std::vector<ItemBody>& aItems, const std::vector<std::string>& aRemoves)
{
  std::vector<ConfigItem> puts;
  puts.reserve(aItems.size());
  for (const ItemBody& body : aItems) {
    puts.push_back(ConfigItem({ .path = PathOf(body), .body = body }));
  }
  const std::string next = "r" + std::to_string(++this->revisions);
  this->log.Append("control",
                   { ConfigChange({ .revision = next,
                                    .basedOn = this->revision,
                                    .puts = std::move(puts),
                                    .removes = aRemoves }) });
  this->revision = next;
  this->Record("operator publishes " + next);
}

void
Session::SetPlan(const std::string& aService, const std::string& aPath, const TargetPlan& aPlan)
{
  this->plans[{ aService, aPath }] = aPlan;
}

std::uint64_t
Session::Call(const std::string& aNode, const RequestSpec& aRequest)
{
  const std::uint64_t call = ++this->lastCall;
  const std::string label = "call " + std::to_string(call);
  this->Record(
    label + " to " + aNode + ": " + aRequest.method + " " + aRequest.service + aRequest.path +
    (aRequest.key.empty() ? "" : " key=" + aRequest.key) +
    (aRequest.idempotencyKey.empty() ? "" : " idempotency-key=" + aRequest.idempotencyKey));
  Node* node = this->Find(aNode);
  Origin origin{ .onReply =
                   [this, call, label](const Reply& aReply) {
                     this->replies[call] = aReply;
                     this->Record(
                       label + " answered: " + std::string(ToText(aReply.code)) + " " +
                       std::string(ToText(aReply.run)) +
                       (aReply.status == 0 ? "" : " status=" + std::to_string(aReply.status)));
                   },
                 .atEntry = true };
  if (node == nullptr) {
    origin.onReply({ ResultCode::kConnectFailed, RunState::kNotRun, 0 });
    return call;
  }
  const Credential credential =
    aRequest.key.empty() ? Credential(NoCredential()) : KeyHash({ .hash = FakeHash(aRequest.key) });
  this->callers[call] = { aNode,
                          this->SendRequest(*node, aRequest, credential, std::move(origin)) };
  return call;
}

std::uint64_t
Session::SendRequest(Node& aNode,
                     const RequestSpec& aRequest,
                     const Credential& aCredential,
                     Origin aOrigin)
{
  const std::uint64_t exchange = ++this->lastExchange;
  this->origins[{ aNode.spec.node, exchange }] = std::move(aOrigin);
  const CallArrived event({ .exchange = exchange,
                            .credential = aCredential,
                            .method = aRequest.method,
                            .service = aRequest.service,
                            .path = aRequest.path,
                            .timeout = aRequest.timeout,
                            .idempotencyKey = aRequest.idempotencyKey,
                            .fingerprint = aRequest.method + aRequest.service + aRequest.path });
  aNode.requests[exchange] = { aRequest.service, aRequest.path };
  const std::string name = aNode.spec.node;
  this->Schedule(this->now, [this, name, event] { this->Deliver(name, event); });
  return exchange;
}

void
Session::Disconnect(std::uint64_t aCall)
{
  this->Record("caller of call " + std::to_string(aCall) + " disconnects");
  const std::pair<std::string, std::uint64_t> where = this->callers[aCall];
  this->origins.erase(where);
  this->Deliver(where.first, CallAbandoned({ .exchange = where.second }));
}

void
Session::Run(Duration aTime)
{
  const Time end = this->now + aTime;
  while (true) {
    Time next = this->actions.empty() ? Time::max() : this->actions.begin()->first.at;
    Node* timer = nullptr;
    for (const std::pair<const std::string, std::unique_ptr<Node>>& entry : this->nodes) {
      if (!entry.second->frozen && entry.second->timerDue < next) {
        next = entry.second->timerDue;
        timer = entry.second.get();
      }
    }
    if (next > end) {
      break;
    }
    this->now = std::max(this->now, next);
    if (timer != nullptr) {
      this->Deliver(timer->spec.node, TimerFired());
      continue;
    }
    std::function<void()> action = std::move(this->actions.begin()->second);
    this->actions.erase(this->actions.begin());
    action();
  }
  this->now = end;
}

void
Session::Kill(const std::string& aNode)
{
  this->Record(aNode + " is killed");
  this->nodes.erase(aNode);
  // Breaks its connections: attempts of entry nodes and calls of callers are lost.
  std::vector<std::pair<std::pair<std::string, std::uint64_t>, Origin>> broken;
  for (const std::pair<const std::pair<std::string, std::uint64_t>, Origin>& entry :
       this->origins) {
    if (entry.first.first == aNode) {
      broken.emplace_back(entry.first, entry.second);
    }
  }
  for (const std::pair<std::pair<std::string, std::uint64_t>, Origin>& entry : broken) {
    this->origins.erase(entry.first);
    if (entry.second.atEntry) {
      entry.second.onReply({ ResultCode::kAttemptLost, RunState::kUnknown, 0, true });
    } else {
      this->Deliver(entry.second.node,
                    AttemptEnded({ .exchange = entry.second.exchange,
                                   .attempt = entry.second.attempt,
                                   .outcome = Lost() }));
    }
  }
}

void
Session::Freeze(const std::string& aNode)
{
  this->Record(aNode + " freezes");
  this->nodes.at(aNode)->frozen = true;
}

void
Session::Resume(const std::string& aNode)
{
  this->Record(aNode + " resumes");
  Node& node = *this->nodes.at(aNode);
  node.frozen = false;
  for (const Event& event : std::exchange(node.heldEvents, {})) {
    this->Deliver(aNode, event);
  }
}

void
Session::Drain(const std::string& aNode)
{
  this->Record(aNode + " is asked to stop");
  this->Deliver(aNode, DrainRequested());
}

void
Session::SetTargetState(const std::string& aNode, TargetState aState)
{
  this->Record("target of " + aNode + " becomes " + std::string(ToText(aState)));
  this->nodes.at(aNode)->target = aState;
  this->Announce(aNode);
}

void
Session::Partition(const std::set<std::string>& aNodes, bool aFromLog)
{
  this->partitionedNodes = aNodes;
  this->partitionedFromLog = aFromLog;
  std::string names;
  for (const std::string& name : aNodes) {
    names += " " + name;
  }
  this->Record("partitioned:" + names + (aFromLog ? ", also from the log" : ""));
}

void
Session::Heal()
{
  this->partitionedNodes.clear();
  this->partitionedFromLog = false;
  this->Record("partition healed");
}

void
Session::SetLogMode(LogMode aMode)
{
  const char* const names[] = { "works", "loses append answers", "is unreachable" };
  this->Record(std::string("the log ") + names[static_cast<int>(aMode)]);
  this->logMode = aMode;
}

NodeStatus
Session::Status(const std::string& aNode)
{
  this->Deliver(aNode, StatusRequested());
  return this->lastStatus.value_or(NodeStatus());
}

void
Session::AddComment(const std::string& aText)
{
  this->Record(aText);
}

Session::Node*
Session::Find(const std::string& aNode)
{
  const std::map<std::string, std::unique_ptr<Node>>::iterator found = this->nodes.find(aNode);
  return found == this->nodes.end() ? nullptr : found->second.get();
}

void
Session::Schedule(Time aTime, std::function<void()> aAction)
{
  this->actions.emplace(ActionKey{ aTime, ++this->sequence }, std::move(aAction));
}

void
Session::Deliver(const std::string& aNode, const Event& aEvent)
{
  Node* node = this->Find(aNode);
  if (node == nullptr) {
    return;
  }
  if (node->frozen) {
    node->heldEvents.push_back(aEvent);
    return;
  }
  this->Perform(*node, node->core.Handle(aEvent, this->now));
}

void
Session::Perform(Node& aNode, const Effects& aEffects)
{
  const std::string name = aNode.spec.node;
  aNode.timerDue = aNode.core.NextWake();
  for (const Effect& effect : aEffects) {
    std::visit([this, &aNode](const auto& aMember) { this->On(aNode, aMember); }, effect);
    if (this->Find(name) == nullptr) {
      return;
    }
  }
}

void
Session::Announce(const std::string& aNode)
{
  Node* node = this->Find(aNode);
  if (node == nullptr || node->spec.service.empty()) {
    return;
  }
  this->Deliver(
    aNode,
    TargetAnnounced(
      { .service = node->spec.service, .host = aNode, .port = 1, .state = node->target }));
  this->Schedule(this->now + seconds(1), [this, aNode] { this->Announce(aNode); });
}

bool
Session::Reaches(const std::string& aFrom, const std::string& aTo) const
{
  return this->partitionedNodes.contains(aFrom) == this->partitionedNodes.contains(aTo);
}

Duration
Session::Delay(const std::string& aFrom, const std::string& aTo)
{
  const Node* from = this->Find(aFrom);
  const Node* to = this->Find(aTo);
  if (from == nullptr || to == nullptr || aFrom == aTo) {
    return microseconds(50);
  }
  return from->spec.region == to->spec.region ? microseconds(1500) : milliseconds(8);
}

void
Session::On(Node& aNode, const Forward& aEffect)
{
  const std::string from = aNode.spec.node;
  const std::string to = aEffect.Peer().Node();
  const CallContext& context = aEffect.Context();
  ++this->attempts[context.GetService()];
  this->retries += context.Attempt() > 1 ? 1 : 0;
  this->Record(from + " forwards " + context.GetService() + " attempt " +
               std::to_string(context.Attempt()) + " to " + to + " allowance=" +
               std::to_string(context.Allowance()) + " depth=" + std::to_string(context.Depth()));
  const Event lost = AttemptEnded(
    { .exchange = aEffect.Exchange(), .attempt = context.Attempt(), .outcome = Lost() });
  Node* peer = this->Find(to);
  const Duration delay = this->Delay(from, to);
  if (peer == nullptr) {
    this->Schedule(this->now + delay, [this, from, aEffect, context] {
      this->Deliver(from,
                    AttemptEnded({ .exchange = aEffect.Exchange(),
                                   .attempt = context.Attempt(),
                                   .outcome = ConnectFailed() }));
    });
    return;
  }
  if (peer->frozen || !this->Reaches(from, to)) {
    // The connection stays open but no answer arrives.
    this->Schedule(this->now + kSilenceTimeout, [this, from, lost] { this->Deliver(from, lost); });
    if (!this->Reaches(from, to)) {
      return;
    }
  }
  const std::uint64_t exchange = ++this->lastExchange;
  this->origins[{ to, exchange }] = Origin{
    .node = from, .exchange = aEffect.Exchange(), .attempt = context.Attempt(), .onReply = {}
  };
  peer->requests[exchange] = aNode.requests[aEffect.Exchange()];
  this->Schedule(this->now + delay, [this, to, exchange, context] {
    this->Deliver(to, AttemptArrived({ .exchange = exchange, .context = context }));
  });
}

void
Session::On(Node& aNode, const Refuse& aEffect)
{
  const std::string name = aNode.spec.node;
  const std::map<std::pair<std::string, std::uint64_t>, Origin>::iterator origin =
    this->origins.find({ name, aEffect.Exchange() });
  if (origin == this->origins.end()) {
    return;
  }
  if (origin->second.atEntry) {
    this->AnswerEntry(name, aEffect.Exchange(), { aEffect.Code(), aEffect.Run(), 0 });
    return;
  }
  this->Record(name + " refuses " + std::string(ToText(aEffect.Code())) + " " +
               std::string(ToText(aEffect.Run())));
  this->AnswerAttempt(name,
                      aEffect.Exchange(),
                      Answered({ .status = HttpStatus(aEffect.Code()),
                                 .code = aEffect.Code(),
                                 .run = aEffect.Run(),
                                 .unusedAllowance = aEffect.UnusedAllowance(),
                                 .level = aEffect.Level(),
                                 .load = aEffect.Load() }));
}

void
Session::On(Node& aNode, const Relay& aEffect)
{
  const std::pair<std::string, std::uint64_t> exchange(aNode.spec.node, aEffect.Exchange());
  this->AnswerEntry(exchange.first,
                    exchange.second,
                    { ResultCode::kOk, RunState::kRan, this->attemptStatus[exchange] });
}

void
Session::AnswerEntry(const std::string& aNode, std::uint64_t aExchange, const Reply& aReply)
{
  const std::map<std::pair<std::string, std::uint64_t>, Origin>::iterator found =
    this->origins.find({ aNode, aExchange });
  if (found == this->origins.end()) {
    return;
  }
  const std::function<void(const Reply&)> onReply = found->second.onReply;
  this->origins.erase(found);
  onReply(aReply);
}

void
Session::AnswerAttempt(const std::string& aNode, std::uint64_t aExchange, const Answered& aAnswer)
{
  const std::map<std::pair<std::string, std::uint64_t>, Origin>::iterator found =
    this->origins.find({ aNode, aExchange });
  if (found == this->origins.end()) {
    return;
  }
  const Origin origin = found->second;
  this->origins.erase(found);
  if (!this->Reaches(aNode, origin.node)) {
    return;
  }
  this->attemptStatus[{ origin.node, origin.exchange }] = aAnswer.Status();
  this->Schedule(this->now + this->Delay(aNode, origin.node), [this, origin, aAnswer] {
    this->Deliver(
      origin.node,
      AttemptEnded({ .exchange = origin.exchange, .attempt = origin.attempt, .outcome = aAnswer }));
  });
}

void
Session::On(Node& aNode, const CancelAttempt& aEffect)
{
  for (const std::pair<const std::pair<std::string, std::uint64_t>, Origin>& entry :
       this->origins) {
    if (entry.second.node == aNode.spec.node && entry.second.exchange == aEffect.Exchange()) {
      const std::string peer = entry.first.first;
      const std::uint64_t exchange = entry.first.second;
      this->origins.erase({ peer, exchange });
      this->Schedule(this->now + this->Delay(aNode.spec.node, peer), [this, peer, exchange] {
        this->Deliver(peer, AttemptAbandoned({ .exchange = exchange }));
      });
      return;
    }
  }
}

void
Session::On(Node& aNode, const Dispatch& aEffect)
{
  const std::pair<std::string, std::string> request = aNode.requests[aEffect.Exchange()];
  this->Record("target of " + aNode.spec.node + " runs " + request.first + request.second);
  ++this->runs[request.first + request.second];
  const TargetPlan plan = this->plans[request];
  const std::string name = aNode.spec.node;
  const std::uint64_t exchange = aEffect.Exchange();
  this->Schedule(this->now + plan.serviceTime,
                 [this, name, exchange, plan, callId = aEffect.CallId()] {
                   this->RunTarget(name, exchange, callId, plan, 0, false);
                 });
}

void
Session::RunTarget(const std::string& aNode,
                   std::uint64_t aExchange,
                   const std::string& aCallId,
                   TargetPlan aPlan,
                   std::size_t aChild,
                   bool aChildFailed)
{
  Node* node = this->Find(aNode);
  if (node == nullptr) {
    return;
  }
  if (aChild < aPlan.children.size() && !aChildFailed) {
    Origin origin{ .onReply =
                     [this, aNode, aExchange, aCallId, aPlan, aChild](const Reply& aReply) {
                       const bool failed =
                         aReply.code != ResultCode::kOk || aReply.status >= kServerError;
                       TargetPlan rest = aPlan;
                       if (failed && aPlan.retriesChildren) {
                         rest.retriesChildren = false;
                         this->RunTarget(aNode, aExchange, aCallId, rest, aChild, false);
                         return;
                       }
                       this->RunTarget(aNode, aExchange, aCallId, rest, aChild + 1, failed);
                     },
                   .atEntry = true };
    this->SendRequest(
      *node, aPlan.children[aChild], ParentCall({ .callId = aCallId }), std::move(origin));
    return;
  }
  const std::uint32_t status = aChildFailed ? kBadGateway : aPlan.status;
  node->targetStatus[aExchange] = status;
  const TargetOutcome outcome = aPlan.breaksConnection
                                  ? TargetOutcome(Lost())
                                  : TargetOutcome(TargetAnswered({ .status = status }));
  this->Deliver(aNode, TargetEnded({ .exchange = aExchange, .outcome = outcome }));
}

void
Session::On(Node& aNode, const Complete& aEffect)
{
  this->AnswerAttempt(aNode.spec.node,
                      aEffect.Exchange(),
                      Answered({ .status = aNode.targetStatus[aEffect.Exchange()],
                                 .code = ResultCode::kOk,
                                 .run = RunState::kRan,
                                 .unusedAllowance = aEffect.UnusedAllowance(),
                                 .level = aEffect.Level(),
                                 .load = aEffect.Load() }));
}

void
Session::On(Node& aNode, const CancelDispatch& /*aEffect*/)
{
  this->Record(aNode.spec.node + " cancels the call at its target");
}

void
Session::On(Node& aNode, const SendPeer& aEffect)
{
  const std::string to = aEffect.To().Node();
  if (!this->Reaches(aNode.spec.node, to)) {
    return;
  }
  const PeerReceived received({ .message = aEffect.Message() });
  this->Schedule(this->now + this->Delay(aNode.spec.node, to),
                 [this, to, received] { this->Deliver(to, received); });
}

void
Session::On(Node& aNode, const AppendLog& aEffect)
{
  const std::string name = aNode.spec.node;
  AppendOutcome outcome = AppendRejected();
  const bool partitioned = this->partitionedFromLog && this->partitionedNodes.contains(name);
  if (!partitioned && this->logMode != LogMode::kUnreachable) {
    const std::uint64_t first = this->log.Append(aEffect.Stream(), aEffect.Records());
    outcome = Appended({ .firstOffset = first });
  }
  if (this->logMode == LogMode::kLosesAppendAnswers) {
    outcome = AppendUnknown();
  }
  this->Schedule(this->now + kLogDelay, [this, name, aEffect, outcome] {
    this->Deliver(name, LogAppended({ .ticket = aEffect.Ticket(), .outcome = outcome }));
  });
}

void
Session::On(Node& aNode, const FollowLog& aEffect)
{
  const bool follows = aNode.logPositions.contains(aEffect.Stream());
  aNode.logPositions[aEffect.Stream()] = aEffect.From();
  if (!follows) {
    this->ReadLog(aNode.spec.node, aEffect.Stream());
  }
}

void
Session::ReadLog(const std::string& aNode, const std::string& aStream)
{
  Node* node = this->Find(aNode);
  if (node == nullptr || !node->logPositions.contains(aStream)) {
    return;
  }
  const bool partitioned = this->partitionedFromLog && this->partitionedNodes.contains(aNode);
  if (partitioned || this->logMode == LogMode::kUnreachable) {
    this->Deliver(aNode, LogReadFailed({ .stream = aStream }));
  } else {
    const LogRead read = this->log.Read(aStream, node->logPositions[aStream]);
    node->logPositions[aStream] = read.Next();
    this->Deliver(aNode, read);
  }
  this->Schedule(this->now + kLogPollInterval,
                 [this, aNode, aStream] { this->ReadLog(aNode, aStream); });
}

void
Session::On(Node& aNode, const StopFollowing& aEffect)
{
  aNode.logPositions.erase(aEffect.Stream());
}

void
Session::On(Node& /*aNode*/, const ForgetPeer& /*aEffect*/)
{
}

void
Session::On(Node& aNode, const LogLine& aEffect)
{
  if (LevelOf(aEffect.GetEvent()) != LogLevel::kDebug) {
    this->Record(aNode.spec.node + " logs " + std::string(ToText(aEffect.GetEvent())) +
                 (aEffect.Detail().empty() ? "" : ": " + aEffect.Detail()));
  }
}

void
Session::On(Node& /*aNode*/, const CallMeasured& /*aEffect*/)
{
}

void
Session::On(Node& aNode, const PhaseChanged& aEffect)
{
  this->Record(aNode.spec.node + " is " + std::string(ToText(aEffect.GetPhase())));
}

void
Session::On(Node& /*aNode*/, const StatusReady& aEffect)
{
  this->lastStatus = aEffect.Status();
}

void
Session::On(Node& aNode, const DrainFinished& /*aEffect*/)
{
  const std::string name = aNode.spec.node;
  this->Record(name + " exits");
  this->Schedule(this->now, [this, name] { this->Kill(name); });
}

void
Session::Record(const std::string& aText)
{
  if (!this->recording) {
    return;
  }
  const double time = static_cast<double>(this->now.time_since_epoch().count()) / 1e6;
  this->transcript << std::fixed << std::setprecision(4) << std::setw(9) << time << "  " << aText
                   << '\n';
}

std::string
CompareWithGolden(const std::string& aName, const std::string& aTranscript)
{
  const std::string path = std::string(JACKDAW_GOLDEN_DIR) + "/" + aName;
  if (std::getenv("JACKDAW_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << aTranscript;
    return "";
  }
  std::ifstream file(path);
  std::istringstream actual(aTranscript);
  std::string expectedLine;
  std::string actualLine;
  for (int number = 1;; ++number) {
    const bool expectedMore = static_cast<bool>(std::getline(file, expectedLine));
    const bool actualMore = static_cast<bool>(std::getline(actual, actualLine));
    if (!expectedMore && !actualMore) {
      return "";
    }
    if (expectedMore != actualMore || expectedLine != actualLine) {
      return aName + ":" + std::to_string(number) +
             "\n  expected: " + (expectedMore ? expectedLine : "end") +
             "\n  actual:   " + (actualMore ? actualLine : "end");
    }
  }
}

} // namespace jackdawwind
