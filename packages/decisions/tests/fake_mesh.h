// Hand-written fleet for tests of MeshCore: cores, targets, callers and the ways between them, in
// simulated time.
//
//   FakeMesh mesh(seed);
//   mesh.AddHost({ .node = "a1", .domain = "ikeja", .region = "lagos", .service = "fleet" });
//   mesh.Configure(configuration);
//   mesh.Advance(std::chrono::seconds(3));
//   const std::uint64_t id = mesh.Request("a1", "api", "/fleet/1", "key-of-north");
//   mesh.Advance(std::chrono::seconds(1));
//   mesh.AnswerTo(id);
//
// Targets run at most their slots and refuse what is beyond, work for a fixed time, make their
// calls through the node beside them, one after the other, and answer 500 when a call fails.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/mesh/mesh_core.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class FakeMesh
{
public:
  struct Host
  {
    std::string node;
    std::string domain;
    std::string region;
    std::string service;
  };

  /// What a request of a path prefix does at a target.
  struct Work
  {
    Duration time = std::chrono::milliseconds(20);
    /// Paths that it calls on the host "inner".
    std::vector<std::string> calls = {};
  };

  /// How a target treats requests.
  enum class TargetBehaviour
  {
    kServe,
    /// Runs them and never answers.
    kNeverAnswer,
    /// Runs them and breaks the connection instead of an answer.
    kBreakConnection,
    /// States that it did not run them.
    kRefuse,
    /// Accepts no connection.
    kDown,
  };

  struct Answer
  {
    std::uint32_t status = 0;
    ResultCode code = ResultCode::kOk;
    RunState run = RunState::kUnknown;
    Duration retryAfter{};
    Duration took{};
  };

  /// One run at a target.
  struct Run
  {
    std::string requestId;
    std::string node;
    std::string organisation;
    std::string callerService;
    Time at{};
    Duration timeout{};
  };

  explicit FakeMesh(std::uint64_t aSeed);
  ~FakeMesh();

  /// Starts a host: its node knows nothing and its target reports at once and every second.
  void AddHost(const Host& aHost, std::uint32_t aSlots = 8);
  void SetWork(const std::string& aPrefix, Work aWork) { this->work[aPrefix] = std::move(aWork); }
  void SetBehaviour(const std::string& aNode, TargetBehaviour aMood);
  void SetState(const std::string& aNode, TargetState aState);
  void SignOff(const std::string& aNode);
  /// Ends the process of the node; its memory is lost, its target goes on.
  void Restart(const std::string& aNode);
  /// No message passes between a cut node and any other node.
  void Cut(const std::string& aNode, bool aCut);
  /// No message passes between these nodes and the others; an empty set ends the split.
  void Split(std::set<std::string> aNodes) { this->side = std::move(aNodes); }
  void Drain(const std::string& aNode) { this->Deliver(aNode, DrainRequested()); }

  /// The store shows the configuration to all nodes, or to some.
  void Configure(const MeshConfiguration& aConfiguration);
  void ConfigureOnly(const std::set<std::string>& aNodes, const MeshConfiguration& aConfiguration);
  /// Hands an event to a node at once.
  void Deliver(const std::string& aNode, const Event& aEvent);

  std::uint64_t Request(const std::string& aNode,
                        const std::string& aHostName,
                        const std::string& aPath,
                        const std::optional<std::string>& aKey,
                        Duration aTimeout = std::chrono::seconds(5));
  /// The caller closes its connection.
  void Disconnect(std::uint64_t aRequest);
  void Advance(Duration aTime);

  Time Now() const { return this->now; }
  /// Nothing while the request is not answered.
  const Answer* AnswerTo(std::uint64_t aRequest) const;
  const std::vector<Run>& Runs() const { return this->runs; }
  std::size_t RunsOf(std::uint64_t aRequest) const;
  /// Requests running at the target of a node now.
  std::size_t RunningAt(const std::string& aNode) const;
  Phase PhaseOf(const std::string& aNode) const;
  bool Drained(const std::string& aNode) const;
  /// Messages by which nodes have drawn on a quota that another node keeps.
  std::size_t Draws() const { return this->draws; }
  /// Log lines of all nodes, in order.
  const std::vector<std::string>& Lines() const { return this->lines; }

private:
  struct Node;
  struct Task;
  struct Step;
  struct EffectVisitor;

  Node& Of(const std::string& aNode) { return *this->nodes.at(aNode); }
  void Start(Node& aNode);
  void At(Time aTime, std::function<void()> aStep);
  void After(Duration aTime, std::function<void()> aStep)
  {
    this->At(this->now + aTime, std::move(aStep));
  }
  void Beat(const std::string& aNode);
  void Apply(Node& aNode, const std::vector<Effect>& aEffects);
  void Apply(Node& aNode, const Effect& aEffect);
  void Send(Node& aFrom, const ForwardHop& aEffect);
  void Call(Node& aNode, const CallTarget& aEffect);
  void BeginTask(const std::shared_ptr<Task>& aTask);
  void Continue(const std::shared_ptr<Task>& aTask, std::size_t aCall);
  void EndTask(const std::shared_ptr<Task>& aTask, std::uint32_t aStatus);
  void Finish(Node& aNode, std::uint64_t aExchange, const Answer& aAnswer, std::uint32_t aLoad);
  void Drop(Node& aNode, std::uint64_t aExchange);
  Duration Way(const Node& aFrom, const Node& aTo) const;
  bool Reachable(const std::string& aFrom, const std::string& aTo) const;
  std::uint64_t Enter(const std::string& aNode,
                      const std::string& aId,
                      const std::string& aHostName,
                      const std::string& aPath,
                      const std::optional<std::string>& aKey,
                      Duration aTimeout,
                      std::function<void(const Answer&)> aDone);

  std::uint64_t seed;
  Time now{ std::chrono::seconds(1) };
  std::uint64_t lastNumber = 0;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::map<std::string, Work> work;
  std::set<std::string> cut;
  std::set<std::string> side;
  std::vector<NodeAnnounced> registered;
  std::map<std::uint64_t, Answer> answers;
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> places;
  std::vector<Run> runs;
  std::vector<std::string> lines;
  std::size_t draws = 0;
  std::vector<Step> heap;
};

} // namespace jackdawwind
