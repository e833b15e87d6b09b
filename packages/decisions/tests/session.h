// Runs the decisions of several nodes against hand-written fakes of caller, target, network and
// log, on a manual clock, and records what happens.
//
//   Session session(seed);
//   session.AddNode({ .node = "n1", .domain = "ikeja", .region = "lagos", .service = "hires" });
//   session.Configure({ ... });
//   session.Run(seconds(10));
//   session.Call("n1", { .key = "north-key", .method = "POST", .service = "hires", .path = "/book"
//   }); session.Run(seconds(1)); EXPECT_EQ(session.Transcript(), golden);
//
// The same calls with the same seed give the same transcript.
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
  /// Service of the target beside the node; empty for none.
  std::string service;
};

/// A request of a caller, or of a target that makes a child call.
struct RequestSpec
{
  std::string key{};
  std::string method = "GET";
  std::string service{};
  std::string path = "/";
  std::string idempotencyKey{};
  std::optional<Duration> timeout{};
};

/// What a fake target does with a call of one service and path.
struct TargetPlan
{
  Duration serviceTime = std::chrono::milliseconds(5);
  std::uint32_t status = 200;
  /// Child calls, made one after the other; a refused child makes the answer 502.
  std::vector<RequestSpec> children{};
  /// Whether the connection breaks instead of an answer.
  bool breaks = false;
  /// Whether child calls that fail are repeated once by the target itself.
  bool repeatsChildren = false;
};

/// What a caller got.
struct Reply
{
  ResultCode code = ResultCode::kOk;
  RunState run = RunState::kRan;
  std::uint32_t status = 0;
};

/// How the fake log answers appends.
enum class LogMode
{
  kWorks,
  kLosesAnswers,
  kAway,
};

class Session
{
public:
  explicit Session(std::uint64_t aSeed);
  ~Session();

  void AddNode(const NodeSpec& aSpec);
  /// Appends a configuration change that puts the items and removes the paths.
  void Configure(const std::vector<ItemBody>& aItems,
                 const std::vector<std::string>& aRemoves = {});
  void SetPlan(const std::string& aService, const std::string& aPath, const TargetPlan& aPlan);

  /// Sends a request to a node and returns its number.
  std::uint64_t Call(const std::string& aNode, const RequestSpec& aRequest);
  /// The caller of a request closes its connection.
  void HangUp(std::uint64_t aCall);
  /// Lets the time pass and handles everything that becomes due.
  void Run(Duration aTime);

  void Kill(const std::string& aNode);
  void Freeze(const std::string& aNode);
  void Wake(const std::string& aNode);
  void Drain(const std::string& aNode);
  void SetTargetState(const std::string& aNode, TargetState aState);
  /// Cuts every connection between the nodes and all others; the log too when aFromLog is set.
  void Cut(const std::set<std::string>& aNodes, bool aFromLog);
  void Heal();
  void SetLogMode(LogMode aMode);

  const std::map<std::uint64_t, Reply>& Replies() const { return this->replies; }
  /// Runs at targets by service and path.
  const std::map<std::string, int>& Runs() const { return this->runs; }
  /// Re-sends by the nodes, and attempts by service.
  int Retries() const { return this->retries; }
  const std::map<std::string, int>& Attempts() const { return this->attempts; }
  bool Running(const std::string& aNode) const { return this->nodes.contains(aNode); }
  NodeStatus Status(const std::string& aNode);
  Time Now() const { return this->now; }

  std::string Transcript() const { return this->transcript.str(); }
  /// Writes a line of the test itself.
  void Note(const std::string& aText);
  /// Stops recording, to keep long preparations out of a transcript.
  void SetRecording(bool aRecording) { this->recording = aRecording; }

private:
  struct Node;
  struct ActionKey
  {
    Time at{};
    std::uint64_t sequence = 0;
    friend std::strong_ordering operator<=>(const ActionKey&, const ActionKey&) = default;
  };
  /// Where the answer of an exchange goes.
  struct Origin
  {
    std::string node{};
    std::uint64_t exchange = 0;
    std::uint32_t attempt = 0;
    /// Gives the answer to the caller, or lets the target that made a child call go on.
    std::function<void(const Reply&)> onReply{};
    bool atEntry = false;
  };

  Node* Find(const std::string& aNode);
  void At(Time aTime, std::function<void()> aAction);
  void Deliver(const std::string& aNode, const Event& aEvent);
  void Perform(Node& aNode, const Effects& aEffects);
  void Announce(const std::string& aNode);
  void ReadLog(const std::string& aNode, const std::string& aStream);
  bool Reaches(const std::string& aFrom, const std::string& aTo) const;
  Duration Delay(const std::string& aFrom, const std::string& aTo);

  /// Effects of the core that routes by host and path.
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

  std::uint64_t Enter(Node& aNode,
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
                 bool aFailed);
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
  std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> answerStatus;
  std::map<std::string, int> runs;
  std::map<std::string, int> attempts;
  std::set<std::string> cutOff;
  bool cutFromLog = false;
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

/// Compares a transcript with a golden file; writes the file instead when JACKDAW_UPDATE_GOLDEN is
/// set. The result is empty when they agree, else the first line that differs.
std::string CompareWithGolden(const std::string& aName, const std::string& aTranscript);

} // namespace jackdawwind
