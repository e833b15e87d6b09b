// Hand-written fleet for tests of MeshCore: nodes, targets, callers and the network between them,
// in simulated time.
//
//   FakeMesh mesh(seed);
//   mesh.AddHost({ .node = "a1", .domain = "ikeja", .region = "lagos", .service = "fleet" });
//   mesh.Configure(configuration);
//   mesh.Advance(std::chrono::seconds(3));
//   const std::uint64_t id = mesh.Request("a1", "api", "/fleet/1", "key-of-north");
//   mesh.Advance(std::chrono::seconds(1));
//   mesh.AnswerTo(id);
//
// A target runs as many requests as it has slots and refuses the others. A request takes a fixed
// time, then makes its calls one after another through the node on the same host; the target
// answers 500 if one of them fails.
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

  /// Work that a target does for a request, selected by path prefix.
  struct Work
  {
    Duration time = std::chrono::milliseconds(20);
    /// Paths that the request calls on the host "inner".
    std::vector<std::string> calls = {};
  };

  /// Reaction of a target to requests.
  enum class TargetBehaviour
  {
    kServe,
    /// Runs them and never answers.
    kNeverAnswer,
    /// Runs them and breaks the connection instead of answering.
    kBreakConnection,
    /// Answers that it did not run them.
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

  /// Starts a host. Its node has no state yet; its target sends a TargetHeartbeat at once and then
  /// every second.
  void AddHost(const Host& aHost, std::uint32_t aSlots = 8);
  void SetWork(const std::string& aPrefix, Work aWork)
  {
    this->workByPrefix[aPrefix] = std::move(aWork);
  }
  void SetBehaviour(const std::string& aNode, TargetBehaviour aBehaviour);
  void SetState(const std::string& aNode, TargetState aState);
  /// Ends the target of a node; the node receives TargetDeregistered.
  void RemoveTarget(const std::string& aNode);
  /// Restarts the process of a node. The node loses its state; its target keeps running.
  void Restart(const std::string& aNode);
  /// Isolates a node from all other nodes, or ends its isolation.
  void SetIsolated(const std::string& aNode, bool aIsolated);
  /// Drops all messages between these nodes and the others; an empty set ends the partition.
  void Partition(std::set<std::string> aNodes) { this->partition = std::move(aNodes); }
  /// Drops all control messages between nodes, or delivers them again; requests still pass.
  void LoseMessages(bool aLose) { this->losingMessages = aLose; }
  void Drain(const std::string& aNode) { this->Deliver(aNode, DrainRequested()); }

  /// Makes all nodes read the configuration from the store.
  void Configure(const MeshConfiguration& aConfiguration);
  /// Makes only these nodes read the configuration from the store.
  void ConfigureOnly(const std::set<std::string>& aNodes, const MeshConfiguration& aConfiguration);
  /// Delivers an event to a node at once.
  void Deliver(const std::string& aNode, const Event& aEvent);

  std::uint64_t Request(const std::string& aNode,
                        const std::string& aHostName,
                        const std::string& aPath,
                        const std::optional<std::string>& aKey,
                        Duration aTimeout = std::chrono::seconds(5));
  /// Closes the connection of the caller.
  void Disconnect(std::uint64_t aRequest);
  /// Runs the simulation for this time.
  void Advance(Duration aTime);

  Time Now() const { return this->now; }
  /// Answer to a request; null until it is answered.
  const Answer* AnswerTo(std::uint64_t aRequest) const;
  const std::vector<Run>& Runs() const { return this->runs; }
  /// Number of times that targets started to run the request.
  std::size_t RunsOf(std::uint64_t aRequest) const;
  /// Requests that the target of a node is running.
  std::size_t RunningAt(const std::string& aNode) const;
  Phase PhaseOf(const std::string& aNode) const;
  bool Drained(const std::string& aNode) const;
  /// Number of QuotaDraw messages sent to quota owners.
  std::size_t Draws() const { return this->draws; }
  /// Number of MeshConfigWant messages sent to peers.
  std::size_t ConfigurationRequests() const { return this->configurationRequests; }
  /// Sets whether the store acknowledges records of departures and lets nodes read them.
  void SetStoreAvailable(bool aAvailable) { this->storeAvailable = aAvailable; }
  /// Whether a report with this number was acknowledged; nothing while it is not answered.
  std::optional<bool> ReportAccepted(std::uint64_t aReport) const
  {
    const std::map<std::uint64_t, bool>::const_iterator found = this->reportAnswers.find(aReport);
    return found == this->reportAnswers.end() ? std::nullopt : std::optional<bool>(found->second);
  }
  /// Log lines of all nodes, in order.
  const std::vector<std::string>& Lines() const { return this->lines; }
  /// Log lines of one node about one event, in order.
  std::vector<std::string> LinesOf(const std::string& aNode, LogEvent aEvent) const;

private:
  struct Node;
  struct Task;
  struct Step;
  struct EffectVisitor;

  Node& NodeAt(const std::string& aNode) { return *this->nodes.at(aNode); }
  void Start(Node& aNode);
  void ScheduleAt(Time aTime, std::function<void()> aStep);
  void ScheduleAfter(Duration aTime, std::function<void()> aStep)
  {
    this->ScheduleAt(this->now + aTime, std::move(aStep));
  }
  void ReadDepartures(const std::string& aNode);
  void SendBeat(const std::string& aNode);
  void Apply(Node& aNode, const std::vector<Effect>& aEffects);
  void Apply(Node& aNode, const Effect& aEffect);
  void Send(Node& aFrom, const ForwardHop& aEffect);
  void Call(Node& aNode, const CallTarget& aEffect);
  void BeginTask(const std::shared_ptr<Task>& aTask);
  void RunCalls(const std::shared_ptr<Task>& aTask, std::size_t aCall);
  void FinishTask(const std::shared_ptr<Task>& aTask, std::uint32_t aStatus);
  void Finish(Node& aNode, std::uint64_t aExchange, const Answer& aAnswer, std::uint32_t aLoad);
  void AbandonExchange(Node& aNode, std::uint64_t aExchange);
  Duration LinkDelay(const Node& aFrom, const Node& aTo) const;
  bool Reachable(const std::string& aFrom, const std::string& aTo) const;
  std::uint64_t StartExchange(const std::string& aNode,
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
  std::map<std::string, Work> workByPrefix;
  std::set<std::string> isolated;
  std::set<std::string> partition;
  bool losingMessages = false;
  std::vector<NodeAnnounced> registered;
  bool storeAvailable = true;
  /// Departures in the store.
  std::vector<TargetDeparted> recordedDepartures;
  std::map<std::uint64_t, bool> reportAnswers;
  std::map<std::uint64_t, Answer> answers;
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> origins;
  std::vector<Run> runs;
  std::vector<std::string> lines;
  std::size_t draws = 0;
  std::size_t configurationRequests = 0;
  std::vector<Step> steps;
};

} // namespace jackdawwind
