#include "decisions/tests/fake_mesh.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "values/text.h"

namespace jackdawwind {

namespace {

using std::chrono::milliseconds;

constexpr Duration kBeatInterval = std::chrono::seconds(1);
constexpr Duration kNearWay = milliseconds(1);
constexpr Duration kFarWay = milliseconds(8);
/// Time until a connection to a cut node counts as failed, and one that broke is noticed.
constexpr Duration kConnectTime = milliseconds(500);
constexpr std::uint32_t kSuccess = 200;
constexpr std::uint32_t kFailure = 500;

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

/// A request at a target.
struct FakeMesh::Task
{
  std::string node;
  std::uint64_t life = 0;
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
  Mood mood = Mood::kServe;
  TargetState state = TargetState::kReady;
  std::uint64_t sequence = 0;
  /// Counts starts of the node's process.
  std::uint64_t life = 0;
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
    /// Ends what a send caused, by attempt.
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
FakeMesh::At(Time aTime, std::function<void()> aStep)
{
  this->heap.push_back({ aTime, ++this->lastNumber, std::move(aStep) });
  std::push_heap(this->heap.begin(), this->heap.end());
}

void
FakeMesh::AddHost(const Host& aHost, std::uint32_t aSlots)
{
  std::unique_ptr<Node>& node = this->nodes[aHost.node];
  node = std::make_unique<Node>();
  node->host = aHost;
  node->slots = aSlots;
  this->Start(*node);
  this->Beat(aHost.node);
}

void
FakeMesh::Start(Node& aNode)
{
  ++aNode.life;
  aNode.exchanges.clear();
  aNode.phase = Phase::kBooting;
  aNode.drained = false;
  MeshCore::Options options;
  options.self = PeerAddress(
    { .node = aNode.host.node, .host = aNode.host.node, .callPort = 1, .controlPort = 2 });
  options.domain = aNode.host.domain;
  options.region = aNode.host.region;
  options.service = aNode.host.service;
  options.incarnation = aNode.life;
  options.seed = this->seed + this->nodes.size() + aNode.life;
  options.repeatRatio = 0.2;
  options.repeatExtra = 48;
  this->registered.push_back(NodeAnnounced({ .address = options.self,
                                             .domain = options.domain,
                                             .region = options.region,
                                             .incarnation = options.incarnation }));
  aNode.core = std::make_unique<MeshCore>(std::move(options));
  this->Apply(aNode, aNode.core->Start(this->now));
  const std::string name = aNode.host.node;
  this->After(milliseconds(20), [this, name] {
    std::vector<NodeAnnounced> others;
    for (const NodeAnnounced& one : this->registered) {
      if (one.Address().Node() != name) {
        others.push_back(one);
      }
    }
    this->Give(name, PeersRead({ .peers = std::move(others) }));
  });
}

void
FakeMesh::Restart(const std::string& aNode)
{
  this->Start(this->Of(aNode));
}

void
FakeMesh::SetMood(const std::string& aNode, Mood aMood)
{
  this->Of(aNode).mood = aMood;
}

void
FakeMesh::SetState(const std::string& aNode, TargetState aState)
{
  this->Of(aNode).state = aState;
  this->Beat(aNode);
}

void
FakeMesh::SignOff(const std::string& aNode)
{
  Node& node = this->Of(aNode);
  node.state = TargetState::kNone;
  this->Give(aNode, TargetDeregistered({ .instance = "i-" + aNode }));
}

void
FakeMesh::Cut(const std::string& aNode, bool aCut)
{
  if (aCut) {
    this->cut.insert(aNode);
  } else {
    this->cut.erase(aNode);
  }
}

void
FakeMesh::Beat(const std::string& aNode)
{
  Node& node = this->Of(aNode);
  if (node.state != TargetState::kNone) {
    this->Give(aNode,
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
    this->After(kBeatInterval, [this, aNode, sequence] {
      if (this->Of(aNode).sequence == sequence) {
        this->Beat(aNode);
      }
    });
  }
}

void
FakeMesh::Configure(const MeshConfiguration& aConfiguration)
{
  for (const std::pair<const std::string, std::unique_ptr<Node>>& entry : this->nodes) {
    this->Give(entry.first, ConfigurationRead({ .configuration = aConfiguration }));
  }
}

void
FakeMesh::ConfigureOnly(const std::set<std::string>& aNodes,
                        const MeshConfiguration& aConfiguration)
{
  for (const std::string& node : aNodes) {
    this->Give(node, ConfigurationRead({ .configuration = aConfiguration }));
  }
}

void
FakeMesh::Give(const std::string& aNode, const Event& aEvent)
{
  Node& node = this->Of(aNode);
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
  const std::uint64_t exchange =
    this->Enter(aNode,
                "r" + std::to_string(request),
                aHostName,
                aPath,
                aKey,
                aTimeout,
                [this, request](const Answer& aAnswer) { this->answers[request] = aAnswer; });
  this->places[request] = { aNode, exchange };
  return request;
}

std::uint64_t
FakeMesh::Enter(const std::string& aNode,
                const std::string& aId,
                const std::string& aHostName,
                const std::string& aPath,
                const std::optional<std::string>& aKey,
                Duration aTimeout,
                std::function<void(const Answer&)> aDone)
{
  Node& node = this->Of(aNode);
  const std::uint64_t exchange = ++node.lastExchange;
  Node::Exchange& entry = node.exchanges[exchange];
  entry.id = aId;
  entry.path = aPath;
  entry.arrived = this->now;
  entry.done = [done = std::move(aDone)](const Answer& aAnswer, std::uint32_t) { done(aAnswer); };
  this->Give(aNode,
             MeshRequestArrived({ .exchange = exchange,
                                  .requestId = aId,
                                  .host = aHostName,
                                  .path = aPath,
                                  .keyHash = aKey,
                                  .timeout = aTimeout }));
  return exchange;
}

void
FakeMesh::Leave(std::uint64_t aRequest)
{
  const std::pair<std::string, std::uint64_t> place = this->places.at(aRequest);
  Node& node = this->Of(place.first);
  const auto found = node.exchanges.find(place.second);
  if (found != node.exchanges.end()) {
    found->second.done = nullptr;
    this->Give(place.first, ExchangeAbandoned({ .exchange = place.second }));
  }
}

void
FakeMesh::Apply(Node& aNode, const std::vector<Effect>& aEffects)
{
  for (const Effect& effect : aEffects) {
    this->Apply(aNode, effect);
  }
}

/// Carries out one effect of a node.
struct FakeMesh::EffectVisitor
{
  FakeMesh& mesh;
  Node& node;

  void operator()(const ForwardHop& aOne) const { this->mesh.Send(this->node, aOne); }
  void operator()(const CallTarget& aOne) const { this->mesh.Call(this->node, aOne); }
  void operator()(const RelayReply& aOne) const
  {
    const Answer answer = this->node.exchanges[aOne.Exchange()].replies[aOne.Attempt()];
    this->mesh.Finish(this->node, aOne.Exchange(), answer, aOne.Load());
  }
  void operator()(const RejectRequest& aOne) const
  {
    this->mesh.Finish(this->node,
                      aOne.Exchange(),
                      Answer{ .status = HttpStatus(aOne.Code()),
                              .code = aOne.Code(),
                              .run = aOne.Run(),
                              .retryAfter = aOne.RetryAfter() },
                      aOne.Load());
  }
  void operator()(const CancelSend& aOne) const
  {
    const auto exchange = this->node.exchanges.find(aOne.Exchange());
    if (exchange == this->node.exchanges.end()) {
      return;
    }
    const auto cancel = exchange->second.cancels.find(aOne.Attempt());
    if (cancel != exchange->second.cancels.end()) {
      cancel->second();
    }
  }
  void operator()(const ForgetExchange& aOne) const { this->node.exchanges.erase(aOne.Exchange()); }
  void operator()(const SendPeer& aOne) const
  {
    const std::string to = aOne.To().Node();
    if (!this->mesh.nodes.contains(to) || !this->mesh.Reachable(this->node.host.node, to)) {
      return;
    }
    this->mesh.draws += std::holds_alternative<QuotaDraw>(aOne.Message()) ? 1 : 0;
    this->mesh.After(this->mesh.Way(this->node, this->mesh.Of(to)),
                     [&mesh = this->mesh, to, message = aOne.Message()] {
                       mesh.Give(to, PeerReceived({ .message = message }));
                     });
  }
  void operator()(const LogLine& aOne) const
  {
    this->mesh.lines.push_back(std::to_string(this->mesh.now.time_since_epoch().count()) + " " +
                               this->node.host.node + " " + std::string(ToText(aOne.GetEvent())) +
                               " " + aOne.Detail());
  }
  void operator()(const PhaseChanged& aOne) const { this->node.phase = aOne.GetPhase(); }
  void operator()(const DrainFinished& /*aOne*/) const { this->node.drained = true; }
  template<typename Other>
  void operator()(const Other& /*aOne*/) const
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
  return !this->cut.contains(aFrom) && !this->cut.contains(aTo) &&
         this->side.contains(aFrom) == this->side.contains(aTo);
}

Duration
FakeMesh::Way(const Node& aFrom, const Node& aTo) const
{
  return aFrom.host.region == aTo.host.region ? kNearWay : kFarWay;
}

void
FakeMesh::Send(Node& aFrom, const ForwardHop& aEffect)
{
  const std::string from = aFrom.host.node;
  const std::string to = aEffect.Peer().Node();
  const std::uint64_t exchange = aEffect.Exchange();
  const std::uint32_t attempt = aEffect.Attempt();
  const std::uint64_t life = aFrom.life;
  const auto end = [this, from, exchange, attempt, life](const SendOutcome& aOutcome) {
    if (this->Of(from).life == life) {
      this->Give(from,
                 SendEnded({ .exchange = exchange, .attempt = attempt, .outcome = aOutcome }));
    }
  };
  if (!this->Reachable(from, to)) {
    this->After(std::min(kConnectTime, aEffect.Timeout()), [end] { end(ConnectFailed()); });
    return;
  }
  const std::shared_ptr<bool> over = std::make_shared<bool>(false);
  this->After(aEffect.Timeout(), [over, end] {
    if (!*over) {
      *over = true;
      end(TimedOut());
    }
  });
  const std::string id = aFrom.exchanges[exchange].id;
  const std::string path = aFrom.exchanges[exchange].path;
  const Duration way = this->Way(aFrom, this->Of(to));
  const std::shared_ptr<std::uint64_t> remote = std::make_shared<std::uint64_t>(0);
  aFrom.exchanges[exchange].cancels[attempt] = [this, over, to, remote, way] {
    *over = true;
    this->After(way, [this, to, remote] {
      if (*remote != 0) {
        this->Drop(this->Of(to), *remote);
      }
    });
  };
  this->After(way, [this, from, to, id, path, end, over, remote, way, context = aEffect.Context()] {
    if (*over) {
      return;
    }
    Node& node = this->Of(to);
    *remote = ++node.lastExchange;
    Node::Exchange& entry = node.exchanges[*remote];
    entry.id = id;
    entry.path = path;
    entry.arrived = this->now;
    entry.done = [this, from, to, over, end, way](const Answer& aAnswer, std::uint32_t aLoad) {
      if (!this->Reachable(from, to)) {
        return;
      }
      this->After(way, [over, end, aAnswer, aLoad] {
        if (!*over) {
          *over = true;
          end(HopAnswered(
            { .status = aAnswer.status, .code = aAnswer.code, .run = aAnswer.run, .load = aLoad }));
        }
      });
    };
    this->Give(to, HopArrived({ .exchange = *remote, .requestId = id, .context = context }));
  });
}

void
FakeMesh::Drop(Node& aNode, std::uint64_t aExchange)
{
  const auto found = aNode.exchanges.find(aExchange);
  if (found != aNode.exchanges.end()) {
    found->second.done = nullptr;
    this->Give(aNode.host.node, ExchangeAbandoned({ .exchange = aExchange }));
  }
}

void
FakeMesh::Call(Node& aNode, const CallTarget& aEffect)
{
  const Node::Exchange& exchange = aNode.exchanges[aEffect.Exchange()];
  const std::shared_ptr<Task> task = std::make_shared<Task>();
  task->node = aNode.host.node;
  task->life = aNode.life;
  task->exchange = aEffect.Exchange();
  task->attempt = aEffect.Attempt();
  task->requestId = exchange.id;
  task->deadline = this->now + aEffect.Timeout();
  for (const std::pair<const std::string, Work>& entry : this->work) {
    if (exchange.path.starts_with(entry.first)) {
      task->work = entry.second;
    }
  }
  const auto end = [this, task](const SendOutcome& aOutcome) {
    if (this->Of(task->node).life == task->life) {
      this->Give(
        task->node,
        SendEnded({ .exchange = task->exchange, .attempt = task->attempt, .outcome = aOutcome }));
    }
  };
  if (aNode.mood == Mood::kDown) {
    this->After(milliseconds(1), [end] { end(ConnectFailed()); });
    return;
  }
  if (aNode.mood == Mood::kRefuse || aNode.tasks.size() >= aNode.slots) {
    this->After(milliseconds(1), [end] {
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
    std::erase(this->Of(task->node).tasks, task);
  };
  this->At(task->deadline, [this, task, end] {
    if (!task->cancelled) {
      task->cancelled = true;
      std::erase(this->Of(task->node).tasks, task);
      end(TimedOut());
    }
  });
  if (aNode.mood == Mood::kSilent) {
    return;
  }
  if (aNode.mood == Mood::kBreak) {
    this->After(task->work.time, [this, task, end] {
      if (!task->cancelled) {
        task->cancelled = true;
        std::erase(this->Of(task->node).tasks, task);
        end(Lost());
      }
    });
    return;
  }
  this->After(task->work.time, [this, task] { this->Continue(task, 0); });
}

void
FakeMesh::Continue(const std::shared_ptr<Task>& aTask, std::size_t aCall)
{
  if (aTask->cancelled) {
    return;
  }
  if (aCall >= aTask->work.calls.size()) {
    this->EndTask(aTask, kSuccess);
    return;
  }
  this->Enter(aTask->node,
              aTask->requestId + "/" + std::to_string(aCall),
              "inner",
              aTask->work.calls[aCall],
              std::nullopt,
              aTask->deadline - this->now,
              [this, aTask, aCall](const Answer& aAnswer) {
                this->After(milliseconds(1), [this, aTask, aCall, status = aAnswer.status] {
                  if (status == kSuccess) {
                    this->Continue(aTask, aCall + 1);
                  } else {
                    this->EndTask(aTask, kFailure);
                  }
                });
              });
}

void
FakeMesh::EndTask(const std::shared_ptr<Task>& aTask, std::uint32_t aStatus)
{
  Node& node = this->Of(aTask->node);
  if (aTask->cancelled) {
    return;
  }
  aTask->cancelled = true;
  std::erase(node.tasks, aTask);
  if (node.life != aTask->life) {
    return;
  }
  node.exchanges[aTask->exchange].replies[aTask->attempt] =
    Answer{ .status = aStatus, .code = ResultCode::kOk, .run = RunState::kRan };
  this->Give(aTask->node,
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
  // The reply of another node's target stands in the hop's own answer.
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
    if (!this->heap.empty() && this->heap.front().at <= next) {
      std::pop_heap(this->heap.begin(), this->heap.end());
      const Step step = std::move(this->heap.back());
      this->heap.pop_back();
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
