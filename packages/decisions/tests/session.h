// Scripted simulation of a fleet: runs the decision cores of several nodes against fake callers,
// targets, network and log on a manual clock, and records a transcript.
//
//   Session session(seed);
//   session.AddNode({ .node = "n1", .domain = "ikeja", .region = "lagos", .service = "hires" });
//   session.Configure({ ... });
//   session.Run(seconds(10));
//   session.Call("n1", { .key = "north-key", .service = "hires", .path = "/available" });
//   session.Run(seconds(1));
//   EXPECT_EQ(CompareWithGolden("name.txt", session.Transcript()), "");
//
// The same script with the same seed gives the same transcript.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "decisions/node_core.h"
#include "decisions/tests/fake_log.h"
#include "util/random.h"

namespace jackdawwind {

struct NodeSpec
{
  std::string node;
  std::string domain;
  std::string region;
  /// Service of the node's local target; empty for none.
  std::string service;
};

/// Request of a caller, or child call of a target.
struct RequestSpec
{
  std::string key{};
  std::string method = "GET";
  std::string service{};
  std::string path = "/";
  std::string idempotencyKey{};
  std::optional<Duration> timeout{};
};

/// Behaviour of a fake target for calls of one service and path.
struct TargetPlan
{
  Duration serviceTime = std::chrono::milliseconds(5);
  std::uint32_t status = 200;
  /// Child calls, made in sequence; the first one that fails ends the call with status 502.
  std::vector<RequestSpec> children{};
  /// Whether the target closes the connection instead of answering.
  bool breaksConnection = false;
  /// Whether the target itself retries once when a child call fails.
  bool retriesChildren = false;
};

/// Answer that a caller received, or the end of its connection.
struct Reply
{
  ResultCode code = ResultCode::kOk;
  RunState run = RunState::kRan;
  std::uint32_t status = 0;
  /// Whether the connection was closed without an answer.
  bool closed = false;
};

/// Behaviour of the fake log.
enum class LogMode
{
  kWorks,
  kLosesAppendAnswers,
  kUnreachable,
};

class Session
{
public:
  explicit Session(std::uint64_t aSeed);
  ~Session();

  void AddNode(const NodeSpec& aSpec);
  /// Publishes a configuration change that puts aItems and removes the items at the paths aRemoves.
  void Configure(const std::vector<ItemBody>& aItems,
                 const std::vector<std::string>& aRemoves = {});
  void SetPlan(const std::string& aService, const std::string& aPath, const TargetPlan& aPlan);

  /// Sends a request to a node; returns the number of the call.
  std::uint64_t Call(const std::string& aNode, const RequestSpec& aRequest);
  /// The caller closes the connection of a call that is in progress.
  void Disconnect(std::uint64_t aCall);
  /// Advances the clock by aTime and handles all events that become due.
  void Run(Duration aTime);

  /// Stops a node at once and breaks its connections.
  void Kill(const std::string& aNode);
  /// Suspends a node; its events are delivered when it resumes.
  void Freeze(const std::string& aNode);
  void Resume(const std::string& aNode);
  void Drain(const std::string& aNode);
  void SetTargetState(const std::string& aNode, TargetState aState);
  /// Partitions the nodes from all others, and from the log if aFromLog is set.
  void Partition(const std::set<std::string>& aNodes, bool aFromLog);
  /// Ends the partition.
  void Heal();
  void SetLogMode(LogMode aMode);

  const std::map<std::uint64_t, Reply>& Replies() const { return this->replies; }
  /// Number of executions at targets, by service and path.
  const std::map<std::string, int>& Runs() const { return this->runs; }
  /// Number of retries by nodes.
  int Retries() const { return this->retries; }
  /// Number of attempts by service.
  const std::map<std::string, int>& Attempts() const { return this->attempts; }
  bool IsRunning(const std::string& aNode) const { return this->nodes.contains(aNode); }
  NodeStatus Status(const std::string& aNode);
  Time Now() const { return this->now; }

  std::string Transcript() const { return this->transcript.str(); }
  /// Adds a line to the transcript.
  void AddComment(const std::string& aText);
  /// Stops or resumes recording, to leave the setup out of the transcript.
  void SetRecording(bool aRecording) { this->recording = aRecording; }

private:
  struct Node;
  struct ActionKey
  {
    Time at{};
    std::uint64_t sequence = 0;
    friend std::strong_ordering operator<=>(const ActionKey&, const ActionKey&) = default;
  };
  /// Recipient of the answer of an exchange.
  struct Origin
  {
    std::string node{};
    std::uint64_t exchange = 0;
    std::uint32_t attempt = 0;
    /// Passes the answer to the caller, or continues the target that made the child call.
    std::function<void(const Reply&)> onReply{};
    bool atEntry = false;
  };

  Node* Find(const std::string& aNode);
  void Schedule(Time aTime, std::function<void()> aAction);
  void Deliver(const std::string& aNode, const Event& aEvent);
  void Perform(Node& aNode, const Effects& aEffects);
  void Announce(const std::string& aNode);
  void ReadLog(const std::string& aNode, const std::string& aStream);
  bool Reaches(const std::string& aFrom, const std::string& aTo) const;
  Duration Delay(const std::string& aFrom, const std::string& aTo);

  /// Ignores the effects of MeshCore, which routes by host and path.
  template<typename Other>
  void On(Node& /*aNode*/, const Other& /*aEffect*/)
  {
  }
  void On(Node& aNode, const Forward& aEffect);
  void On(Node& aNode, const Refuse& aEffect);
  void On(Node& aNode, const Relay& aEffect);
  void On(Node& aNode, const CancelAttempt& aEffect);
  void On(Node& aNode, const Dispatch& aEffect);
  void On(Node& aNode, const Complete& aEffect);
  void On(Node& aNode, const CancelDispatch& aEffect);
  void On(Node& aNode, const SendPeer& aEffect);
  void On(Node& aNode, const AppendLog& aEffect);
  void On(Node& aNode, const FollowLog& aEffect);
  void On(Node& aNode, const StopFollowing& aEffect);
  void On(Node& aNode, const ForgetPeer& aEffect);
  void On(Node& aNode, const LogLine& aEffect);
  void On(Node& aNode, const CallMeasured& aEffect);
  void On(Node& aNode, const PhaseChanged& aEffect);
  void On(Node& aNode, const StatusReady& aEffect);
  void On(Node& aNode, const DrainFinished& aEffect);

  std::uint64_t SendRequest(Node& aNode,
                            const RequestSpec& aRequest,
                            const Credential& aCredential,
                            Origin aOrigin);
  void AnswerEntry(const std::string& aNode, std::uint64_t aExchange, const Reply& aReply);
  void AnswerAttempt(const std::string& aNode, std::uint64_t aExchange, const Answered& aAnswer);
  void RunTarget(const std::string& aNode,
                 std::uint64_t aExchange,
                 const std::string& aCallId,
                 TargetPlan aPlan,
                 std::size_t aChild,
                 bool aChildFailed);
  void Record(const std::string& aText);

  Random random;
  FakeLog log;
  LogMode logMode = LogMode::kWorks;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::map<ActionKey, std::function<void()>> actions;
  std::map<std::pair<std::string, std::uint64_t>, Origin> origins;
  std::map<std::pair<std::string, std::string>, TargetPlan> plans;
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> callers;
  std::map<std::uint64_t, Reply> replies;
  /// HTTP status of the last answered attempt of an entry exchange.
  std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> attemptStatus;
  std::map<std::string, int> runs;
  std::map<std::string, int> attempts;
  std::set<std::string> partitionedNodes;
  bool partitionedFromLog = false;
  std::optional<NodeStatus> lastStatus;
  std::string revision;
  int revisions = 0;
  int retries = 0;
  Time now{};
  std::uint64_t sequence = 0;
  std::uint64_t lastExchange = 0;
  std::uint64_t lastCall = 0;
  std::uint64_t lastIncarnation = 0;
  bool recording = true;
  std::ostringstream transcript;
};

/// Compares a transcript with a golden file; returns an empty string if they are equal, else the
/// first difference. If JACKDAW_UPDATE_GOLDEN is set, writes the golden file instead.
std::string CompareWithGolden(const std::string& aName, const std::string& aTranscript);

} // namespace jackdawwind
