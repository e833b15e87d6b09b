#include "decisions/tests/fake_mesh.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "values/text.h"

namespace jackdawwind {

namespace {

using std::chrono::milliseconds;

constexpr Duration kBeatInterval = std::chrono::seconds(1);
constexpr Duration kSameRegionDelay = milliseconds(1);
constexpr Duration kCrossRegionDelay = milliseconds(8);
/// Time until an append to the store is acknowledged.
constexpr Duration kStoreDelay = milliseconds(5);
/// Time until a connection to an unreachable node fails.
constexpr Duration kConnectTimeout = milliseconds(500);
constexpr std::uint32_t kSuccess = 200;
constexpr std::uint32_t kServerError = 500;

} // namespace

struct FakeMesh::Step
{
  Time at;
  std::uint64_t number;
  std::function<void()> run;

  bool operator<(const Step& aOther) const
  {
    return this->at != aOther.at ? this->at > aOther.at : this->number > aOther.number;
  }
};

/// A request that a target is running.
struct FakeMesh::Task
{
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t exchange = 0;
  std::uint32_t attempt = 0;
  std::string requestId;
  Work work;
  Time deadline{};
  bool cancelled = false;
};

struct FakeMesh::Node
{
  Host host;
  std::uint32_t slots = 8;
  TargetBehaviour behaviour = TargetBehaviour::kServe;
  TargetState state = TargetState::kReady;
  std::uint64_t sequence = 0;
  /// Number of starts of the node's process.
  std::uint64_t incarnation = 0;
  std::unique_ptr<MeshCore> core;
  Phase phase = Phase::kBooting;
  bool drained = false;
  std::uint64_t lastExchange = 0;
  struct Exchange
  {
    std::string id;
    std::string path;
    Time arrived{};
    std::function<void(const Answer&, std::uint32_t)> done;
    /// Functions that cancel a send, by attempt.
    std::map<std::uint32_t, std::function<void()>> cancels;
    std::map<std::uint32_t, Answer> replies;
  };
  std::map<std::uint64_t, Exchange> exchanges;
  std::vector<std::shared_ptr<Task>> tasks;
};

FakeMesh::FakeMesh(std::uint64_t aSeed)
  : seed(aSeed)
{
}

FakeMesh::~FakeMesh() = default;

void
FakeMesh::ScheduleAt(Time aTime, std::function<void()> aStep)
{
  this->steps.push_back({ aTime, ++this->lastNumber, std::move(aStep) });
  std::push_heap(this->steps.begin(), this->steps.end());
}

void
FakeMesh::AddHost(const Host& aHost, std::uint32_t aSlots)
{
  std::unique_ptr<Node>& node = this->nodes[aHost.node];
  node = std::make_unique<Node>();
  node->host = aHost;
  node->slots = aSlots;
  this->Start(*node);
  this->SendBeat(aHost.node);
}

void
FakeMesh::Start(Node& aNode)
{
  ++aNode.incarnation;
  aNode.exchanges.clear();
  aNode.phase = Phase::kBooting;
  aNode.drained = false;
  MeshCore::Options options;
  options.self = PeerAddress(
    { .node = aNode.host.node, .host = aNode.host.node, .callPort = 1, .controlPort = 2 });
  options.domain = aNode.host.domain;
  options.region = aNode.host.region;
  options.service = aNode.host.service;
  options.incarnation = aNode.incarnation;
  options.seed = this->seed + this->nodes.size() + aNode.incarnation;
  options.repeatRatio = 0.2;
  options.repeatExtra = 48;
  this->registered.push_back(NodeAnnounced({ .address = options.self,
                                             .domain = options.domain,
                                             .region = options.region,
                                             .incarnation = options.incarnation }));
  aNode.core = std::make_unique<MeshCore>(std::move(options));
  this->Apply(aNode, aNode.core->Start(this->now));
  const std::string name = aNode.host.node;
  this->ScheduleAfter(milliseconds(20), [this, name] {
    std::vector<NodeAnnounced> others;
    for (const NodeAnnounced& announced : this->registered) {
      if (announced.Address().Node() != name) {
        others.push_back(announced);
      }
    }
    this->ReadDepartures(name);
    this->Deliver(name, PeersRead({ .peers = std::move(others) }));
  });
}

void
FakeMesh::ReadDepartures(const std::string& aNode)
{
  if (!this->storeAvailable) {
    return;
  }
  std::vector<TargetDeparted> own;
  for (const TargetDeparted& departure : this->recordedDepartures) {
    if (departure.Node() == aNode) {
      own.push_back(departure);
    }
  }
  this->Deliver(aNode, DeparturesRead({ .departures = std::move(own) }));
}

void
FakeMesh::Restart(const std::string& aNode)
{
  this->Start(this->NodeAt(aNode));
}

void
FakeMesh::SetBehaviour(const std::string& aNode, TargetBehaviour aBehaviour)
{
  this->NodeAt(aNode).behaviour = aBehaviour;
}

void
FakeMesh::SetState(const std::string& aNode, TargetState aState)
{
  this->NodeAt(aNode).state = aState;
  this->SendBeat(aNode);
}

void
FakeMesh::RemoveTarget(const std::string& aNode)
{
  Node& node = this->NodeAt(aNode);
  node.state = TargetState::kNone;
  this->Deliver(aNode, TargetDeregistered({ .instance = "i-" + aNode, .startedAtMs = 1 }));
}

void
FakeMesh::SetIsolated(const std::string& aNode, bool aIsolated)
{
  if (aIsolated) {
    this->isolated.insert(aNode);
  } else {
    this->isolated.erase(aNode);
  }
}

void
FakeMesh::SendBeat(const std::string& aNode)
{
  Node& node = this->NodeAt(aNode);
  if (node.state != TargetState::kNone) {
    this->Deliver(aNode,
                  TargetHeartbeat({ .instance = "i-" + aNode,
                                    .host = aNode,
                                    .port = 80,
                                    .service = node.host.service,
                                    .state = node.state,
                                    .slots = node.slots,
                                    .sequence = ++node.sequence,
                                    .startedAtMs = 1 }));
  }
  if (node.sequence <= 1 || node.state == TargetState::kReady) {
    const std::uint64_t sequence = node.sequence;
    this->ScheduleAfter(kBeatInterval, [this, aNode, sequence] {
      if (this->NodeAt(aNode).sequence == sequence) {
        this->SendBeat(aNode);
      }
    });
  }
}

void
FakeMesh::Configure(const MeshConfiguration& aConfiguration)
{
  for (const std::pair<const std::string, std::unique_ptr<Node>>& entry : this->nodes) {
    this->Deliver(entry.first, ConfigurationRead({ .configuration = aConfiguration }));
  }
}

void
FakeMesh::ConfigureOnly(const std::set<std::string>& aNodes,
                        const MeshConfiguration& aConfiguration)
{
  for (const std::string& node : aNodes) {
    this->Deliver(node, ConfigurationRead({ .configuration = aConfiguration }));
  }
}

void
FakeMesh::Deliver(const std::string& aNode, const Event& aEvent)
{
  Node& node = this->NodeAt(aNode);
  this->Apply(node, node.core->Handle(aEvent, this->now));
}

std::uint64_t
FakeMesh::Request(const std::string& aNode,
                  const std::string& aHostName,
                  const std::string& aPath,
                  const std::optional<std::string>& aKey,
                  Duration aTimeout)
{
  const std::uint64_t request = ++this->lastNumber;
  const std::uint64_t exchange = this->StartExchange(
    aNode,
    "r" + std::to_string(request),
    aHostName,
    aPath,
    aKey,
    aTimeout,
    [this, request](const Answer& aAnswer) { this->answers[request] = aAnswer; });
  this->origins[request] = { aNode, exchange };
  return request;
}

std::uint64_t
FakeMesh::StartExchange(const std::string& aNode,
                        const std::string& aId,
                        const std::string& aHostName,
                        const std::string& aPath,
                        const std::optional<std::string>& aKey,
                        Duration aTimeout,
                        std::function<void(const Answer&)> aDone)
{
  Node& node = this->NodeAt(aNode);
  const std::uint64_t exchange = ++node.lastExchange;
  Node::Exchange& entry = node.exchanges[exchange];
  entry.id = aId;
  entry.path = aPath;
  entry.arrived = this->now;
  entry.done = [done = std::move(aDone)](const Answer& aAnswer, std::uint32_t) { done(aAnswer); };
  this->Deliver(aNode,
                MeshRequestArrived({ .exchange = exchange,
                                     .requestId = aId,
                                     .host = aHostName,
                                     .path = aPath,
                                     .keyHash = aKey,
                                     .timeout = aTimeout }));
  return exchange;
}

void
FakeMesh::Disconnect(std::uint64_t aRequest)
{
  const std::pair<std::string, std::uint64_t> origin = this->origins.at(aRequest);
  Node& node = this->NodeAt(origin.first);
  const auto found = node.exchanges.find(origin.second);
  if (found != node.exchanges.end()) {
    found->second.done = nullptr;
    this->Deliver(origin.first, ExchangeAbandoned({ .exchange = origin.second }));
  }
}

void
FakeMesh::Apply(Node& aNode, const std::vector<Effect>& aEffects)
{
  for (const Effect& effect : aEffects) {
    this->Apply(aNode, effect);
  }
}

/// Executes one effect of a node.
struct FakeMesh::EffectVisitor
{
  FakeMesh& mesh;
  Node& node;

  void operator()(const ForwardHop& aEffect) const { this->mesh.Send(this->node, aEffect); }
  void operator()(const CallTarget& aEffect) const { this->mesh.Call(this->node, aEffect); }
  void operator()(const RelayReply& aEffect) const
  {
    const Answer answer = this->node.exchanges[aEffect.Exchange()].replies[aEffect.Attempt()];
    this->mesh.Finish(this->node, aEffect.Exchange(), answer, aEffect.Load());
  }
  void operator()(const RejectRequest& aEffect) const
  {
    this->mesh.Finish(this->node,
                      aEffect.Exchange(),
                      Answer{ .status = HttpStatus(aEffect.Code()),
                              .code = aEffect.Code(),
                              .run = aEffect.Run(),
                              .retryAfter = aEffect.RetryAfter() },
                      aEffect.Load());
  }
  void operator()(const CancelSend& aEffect) const
  {
    const auto exchange = this->node.exchanges.find(aEffect.Exchange());
    if (exchange == this->node.exchanges.end()) {
      return;
    }
    const auto cancel = exchange->second.cancels.find(aEffect.Attempt());
    if (cancel != exchange->second.cancels.end()) {
      cancel->second();
    }
  }
  void operator()(const ForgetExchange& aEffect) const
  {
    this->node.exchanges.erase(aEffect.Exchange());
  }
  void operator()(const SendPeer& aEffect) const
  {
    const std::string to = aEffect.To().Node();
    if (this->mesh.losingMessages || !this->mesh.nodes.contains(to) ||
        !this->mesh.Reachable(this->node.host.node, to)) {
      return;
    }
    this->mesh.draws += std::holds_alternative<QuotaDraw>(aEffect.Message()) ? 1 : 0;
    this->mesh.configurationRequests +=
      std::holds_alternative<MeshConfigWant>(aEffect.Message()) ? 1 : 0;
    this->mesh.ScheduleAfter(this->mesh.LinkDelay(this->node, this->mesh.NodeAt(to)),
                             [&mesh = this->mesh, to, message = aEffect.Message()] {
                               mesh.Deliver(to, PeerReceived({ .message = message }));
                             });
  }
  void operator()(const LogLine& aEffect) const
  {
    this->mesh.lines.push_back(std::to_string(this->mesh.now.time_since_epoch().count()) + " " +
                               this->node.host.node + " " +
                               std::string(ToText(aEffect.GetEvent())) + " " + aEffect.Detail());
  }
  void operator()(const RecordDeparture& aEffect) const
  {
    if (!this->mesh.storeAvailable) {
      return;
    }
    this->mesh.recordedDepartures.push_back(aEffect.Departure());
    this->mesh.ScheduleAfter(
      kStoreDelay,
      [&mesh = this->mesh, name = this->node.host.node, departure = aEffect.Departure()] {
        if (mesh.NodeAt(name).incarnation == departure.Incarnation()) {
          mesh.Deliver(name, DepartureRecorded({ .departure = departure }));
        }
      });
  }
  void operator()(const AnswerReport& aEffect) const
  {
    this->mesh.reportAnswers[aEffect.Report()] = aEffect.Accepted();
  }
  void operator()(const PhaseChanged& aEffect) const { this->node.phase = aEffect.GetPhase(); }
  void operator()(const DrainFinished& /*aEffect*/) const { this->node.drained = true; }
  template<typename Other>
  void operator()(const Other& /*aEffect*/) const
  {
  }
};

void
FakeMesh::Apply(Node& aNode, const Effect& aEffect)
{
  std::visit(EffectVisitor{ *this, aNode }, aEffect);
}

bool
FakeMesh::Reachable(const std::string& aFrom, const std::string& aTo) const
{
  if (aFrom == aTo) {
    return true;
  }
  return !this->isolated.contains(aFrom) && !this->isolated.contains(aTo) &&
         this->partition.contains(aFrom) == this->partition.contains(aTo);
}

Duration
FakeMesh::LinkDelay(const Node& aFrom, const Node& aTo) const
{
  return aFrom.host.region == aTo.host.region ? kSameRegionDelay : kCrossRegionDelay;
}

void
FakeMesh::Send(Node& aFrom, const ForwardHop& aEffect)
{
  const std::string from = aFrom.host.node;
  const std::string to = aEffect.Peer().Node();
  const std::uint64_t exchange = aEffect.Exchange();
  const std::uint32_t attempt = aEffect.Attempt();
  const std::uint64_t incarnation = aFrom.incarnation;
  const auto end = [this, from, exchange, attempt, incarnation](const SendOutcome& aOutcome) {
    if (this->NodeAt(from).incarnation == incarnation) {
      this->Deliver(from,
                    SendEnded({ .exchange = exchange, .attempt = attempt, .outcome = aOutcome }));
    }
  };
  if (!this->Reachable(from, to)) {
    this->ScheduleAfter(std::min(kConnectTimeout, aEffect.Timeout()),
                        [end] { end(ConnectFailed()); });
    return;
  }
  const std::shared_ptr<bool> finished = std::make_shared<bool>(false);
  this->ScheduleAfter(aEffect.Timeout(), [finished, end] {
    if (!*finished) {
      *finished = true;
      end(TimedOut());
    }
  });
  const std::string id = aFrom.exchanges[exchange].id;
  const std::string path = aFrom.exchanges[exchange].path;
  const Duration delay = this->LinkDelay(aFrom, this->NodeAt(to));
  const std::shared_ptr<std::uint64_t> remote = std::make_shared<std::uint64_t>(0);
  aFrom.exchanges[exchange].cancels[attempt] = [this, finished, to, remote, delay] {
    *finished = true;
    this->ScheduleAfter(delay, [this, to, remote] {
      if (*remote != 0) {
        this->AbandonExchange(this->NodeAt(to), *remote);
      }
    });
  };
  this->ScheduleAfter(
    delay, [this, from, to, id, path, end, finished, remote, delay, context = aEffect.Context()] {
      if (*finished) {
        return;
      }
      Node& node = this->NodeAt(to);
      *remote = ++node.lastExchange;
      Node::Exchange& entry = node.exchanges[*remote];
      entry.id = id;
      entry.path = path;
      entry.arrived = this->now;
      entry.done = [this, from, to, finished, end, delay](const Answer& aAnswer,
                                                          std::uint32_t aLoad) {
        if (!this->Reachable(from, to)) {
          return;
        }
        this->ScheduleAfter(delay, [finished, end, aAnswer, aLoad] {
          if (!*finished) {
            *finished = true;
            end(HopAnswered({ .status = aAnswer.status,
                              .code = aAnswer.code,
                              .run = aAnswer.run,
                              .load = aLoad }));
          }
        });
      };
      this->Deliver(to, HopArrived({ .exchange = *remote, .requestId = id, .context = context }));
    });
}

void
FakeMesh::AbandonExchange(Node& aNode, std::uint64_t aExchange)
{
  const auto found = aNode.exchanges.find(aExchange);
  if (found != aNode.exchanges.end()) {
    found->second.done = nullptr;
    this->Deliver(aNode.host.node, ExchangeAbandoned({ .exchange = aExchange }));
  }
}

void
FakeMesh::Call(Node& aNode, const CallTarget& aEffect)
{
  const Node::Exchange& exchange = aNode.exchanges[aEffect.Exchange()];
  const std::shared_ptr<Task> task = std::make_shared<Task>();
  task->node = aNode.host.node;
  task->incarnation = aNode.incarnation;
  task->exchange = aEffect.Exchange();
  task->attempt = aEffect.Attempt();
  task->requestId = exchange.id;
  task->deadline = this->now + aEffect.Timeout();
  for (const std::pair<const std::string, Work>& entry : this->workByPrefix) {
    if (exchange.path.starts_with(entry.first)) {
      task->work = entry.second;
    }
  }
  const auto end = [this, task](const SendOutcome& aOutcome) {
    if (this->NodeAt(task->node).incarnation == task->incarnation) {
      this->Deliver(
        task->node,
        SendEnded({ .exchange = task->exchange, .attempt = task->attempt, .outcome = aOutcome }));
    }
  };
  if (aNode.behaviour == TargetBehaviour::kDown) {
    this->ScheduleAfter(milliseconds(1), [end] { end(ConnectFailed()); });
    return;
  }
  if (aNode.behaviour == TargetBehaviour::kRefuse || aNode.tasks.size() >= aNode.slots) {
    this->ScheduleAfter(milliseconds(1), [end] {
      end(TargetReplied({ .status = 503, .notExecuted = true, .genuine = false }));
    });
    return;
  }
  this->runs.push_back({ task->requestId,
                         task->node,
                         aEffect.GetOrganisation(),
                         aEffect.CallerService(),
                         this->now,
                         aEffect.Timeout() });
  aNode.tasks.push_back(task);
  aNode.exchanges[aEffect.Exchange()].cancels[aEffect.Attempt()] = [this, task] {
    task->cancelled = true;
    std::erase(this->NodeAt(task->node).tasks, task);
  };
  this->ScheduleAt(task->deadline, [this, task, end] {
    if (!task->cancelled) {
      task->cancelled = true;
      std::erase(this->NodeAt(task->node).tasks, task);
      end(TimedOut());
    }
  });
  if (aNode.behaviour == TargetBehaviour::kNeverAnswer) {
    return;
  }
  if (aNode.behaviour == TargetBehaviour::kBreakConnection) {
    this->ScheduleAfter(task->work.time, [this, task, end] {
      if (!task->cancelled) {
        task->cancelled = true;
        std::erase(this->NodeAt(task->node).tasks, task);
        end(Lost());
      }
    });
    return;
  }
  this->ScheduleAfter(task->work.time, [this, task] { this->RunCalls(task, 0); });
}

void
FakeMesh::RunCalls(const std::shared_ptr<Task>& aTask, std::size_t aCall)
{
  if (aTask->cancelled) {
    return;
  }
  if (aCall >= aTask->work.calls.size()) {
    this->FinishTask(aTask, kSuccess);
    return;
  }
  this->StartExchange(aTask->node,
                      aTask->requestId + "/" + std::to_string(aCall),
                      "inner",
                      aTask->work.calls[aCall],
                      std::nullopt,
                      aTask->deadline - this->now,
                      [this, aTask, aCall](const Answer& aAnswer) {
                        this->ScheduleAfter(milliseconds(1),
                                            [this, aTask, aCall, status = aAnswer.status] {
                                              if (status == kSuccess) {
                                                this->RunCalls(aTask, aCall + 1);
                                              } else {
                                                this->FinishTask(aTask, kServerError);
                                              }
                                            });
                      });
}

void
FakeMesh::FinishTask(const std::shared_ptr<Task>& aTask, std::uint32_t aStatus)
{
  Node& node = this->NodeAt(aTask->node);
  if (aTask->cancelled) {
    return;
  }
  aTask->cancelled = true;
  std::erase(node.tasks, aTask);
  if (node.incarnation != aTask->incarnation) {
    return;
  }
  node.exchanges[aTask->exchange].replies[aTask->attempt] =
    Answer{ .status = aStatus, .code = ResultCode::kOk, .run = RunState::kRan };
  this->Deliver(aTask->node,
                SendEnded({ .exchange = aTask->exchange,
                            .attempt = aTask->attempt,
                            .outcome = TargetReplied(
                              { .status = aStatus, .notExecuted = false, .genuine = true }) }));
}

void
FakeMesh::Finish(Node& aNode, std::uint64_t aExchange, const Answer& aAnswer, std::uint32_t aLoad)
{
  const auto found = aNode.exchanges.find(aExchange);
  if (found == aNode.exchanges.end()) {
    return;
  }
  // Replies of remote targets are not recorded; relaying one counts as a success.
  Answer answer = aAnswer;
  if (answer.status == 0) {
    answer.status = kSuccess;
    answer.run = RunState::kRan;
  }
  answer.took = this->now - found->second.arrived;
  const std::function<void(const Answer&, std::uint32_t)> done = found->second.done;
  aNode.exchanges.erase(found);
  if (done) {
    done(answer, aLoad);
  }
}

void
FakeMesh::Advance(Duration aTime)
{
  const Time end = this->now + aTime;
  while (true) {
    Time next = end;
    Node* wake = nullptr;
    for (const std::pair<const std::string, std::unique_ptr<Node>>& entry : this->nodes) {
      const Time due = entry.second->core->NextWake();
      if (due < next) {
        next = due;
        wake = entry.second.get();
      }
    }
    if (!this->steps.empty() && this->steps.front().at <= next) {
      std::pop_heap(this->steps.begin(), this->steps.end());
      const Step step = std::move(this->steps.back());
      this->steps.pop_back();
      this->now = std::max(this->now, step.at);
      step.run();
      continue;
    }
    if (wake == nullptr) {
      this->now = end;
      return;
    }
    this->now = std::max(this->now, next);
    this->Apply(*wake, wake->core->Handle(TimerFired(), this->now));
  }
}

const FakeMesh::Answer*
FakeMesh::AnswerTo(std::uint64_t aRequest) const
{
  const auto found = this->answers.find(aRequest);
  return found == this->answers.end() ? nullptr : &found->second;
}

std::size_t
FakeMesh::RunsOf(std::uint64_t aRequest) const
{
  const std::string id = "r" + std::to_string(aRequest);
  return static_cast<std::size_t>(std::count_if(
    this->runs.begin(), this->runs.end(), [&id](const Run& aRun) { return aRun.requestId == id; }));
}

std::vector<std::string>
FakeMesh::LinesOf(const std::string& aNode, LogEvent aEvent) const
{
  const std::string text = " " + aNode + " " + std::string(ToText(aEvent)) + " ";
  std::vector<std::string> found;
  std::copy_if(this->lines.begin(),
               this->lines.end(),
               std::back_inserter(found),
               [&text](const std::string& aLine) { return aLine.find(text) != std::string::npos; });
  return found;
}

std::size_t
FakeMesh::RunningAt(const std::string& aNode) const
{
  return this->nodes.at(aNode)->tasks.size();
}

Phase
FakeMesh::PhaseOf(const std::string& aNode) const
{
  return this->nodes.at(aNode)->phase;
}

bool
FakeMesh::Drained(const std::string& aNode) const
{
  return this->nodes.at(aNode)->drained;
}

} // namespace jackdawwind
