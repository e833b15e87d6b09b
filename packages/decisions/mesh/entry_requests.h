// Handles the requests that enter the mesh on this host, from arrival to final answer.
//
//   EntryRequests entry(modules, options, seed);
//   entry.Receive(arrived, now, effects);          // and every other event of an exchange
//   entry.Continue(now, effects);                  // quota decisions, answers of the local target
//
// A request is checked against route, key and quota, sent to one target at a time, and answered
// exactly once. It is retried when the previous attempt provably did not run or when its route is
// idempotent. Retries of attempts that reached a target are limited by the repeat budget. The
// answer never states "not run" if any attempt may have run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decisions/effects.h"
#include "decisions/mesh/configuration_gossip.h"
#include "decisions/mesh/entry_throttle.h"
#include "decisions/mesh/local_target.h"
#include "decisions/mesh/node_picker.h"
#include "decisions/mesh/quota_pool.h"
#include "decisions/mesh/repeat_budget.h"
#include "decisions/mesh/residency.h"
#include "decisions/mesh/split_chooser.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class EntryRequests
{
public:
  struct Modules
  {
    const ConfigurationGossip& configuration;
    QuotaPool& quota;
    RepeatBudget& budget;
    SplitChooser& splits;
    NodePicker& picker;
    LocalTarget& target;
  };

  struct Options
  {
    std::string node;
    /// Service that the target on this host provides.
    std::string service;
  };

  EntryRequests(Modules aModules, Options aOptions, std::uint64_t aSeed);

  void Receive(const MeshRequestArrived& aArrived, Time aNow, Effects& aEffects);
  /// Returns false if the exchange and attempt are not in progress here.
  bool Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects);
  /// Cancels a request whose caller closed its connection. Returns false if the exchange is
  /// unknown.
  bool Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects);
  /// Processes quota decisions and answers of the local target.
  void Continue(Time aNow, Effects& aEffects);

  /// Nodes to which a send failed or was lost since the last call.
  std::vector<std::string> TakeUnresponsiveNodes();

  /// Moves the deadlines of all requests, present and future, to aLatest or earlier, because the
  /// node exits then.
  void LimitDeadlines(Time aLatest);
  /// Requests in progress at other nodes that have been told a later deadline, by node.
  std::map<std::string, std::vector<std::string>> HopsWithLaterDeadline() const;
  /// Rejects new requests from now on. Calls of requests that the local target is running are still
  /// accepted: they belong to requests in progress.
  void RefuseNew() { this->rejectingNew = true; }
  /// Answers all requests in progress, because the node exits now.
  void FinishAll(Time aNow, Effects& aEffects);
  /// Requests in progress.
  std::size_t Count() const { return this->requests.size(); }

private:
  struct Request
  {
    std::uint64_t exchange = 0;
    std::string id;
    MeshRoute route;
    std::string service;
    std::string organisation;
    std::uint32_t rank = 0;
    Residency residency;
    std::uint64_t bodyBytes = 0;
    Time arrived{};
    Time deadline{};
    std::uint32_t attempt = 0;
    /// Whether a token of the organisation's quota was taken.
    bool hasToken = false;
    /// Attempts that a target may have started to run.
    std::uint32_t possibleRuns = 0;
    /// Attempts that a node refused before they reached its target.
    std::uint32_t refusals = 0;
    /// Whether the throttle has been told that a node accepted the request.
    bool noted = false;
    std::set<std::string> tried;
    /// Node of the current attempt, and the deadline that it was told.
    std::string node;
    Time nodeDeadline{};
  };

  enum class Retry
  {
    kNo,
    /// The attempt reached no target.
    kFree,
    /// A token of the repeat budget was taken.
    kCharged,
  };

  using Requests = std::map<std::uint64_t, Request>;
  using Admission = std::variant<Request, ResultCode>;

  Admission Admit(const MeshRequestArrived& aArrived, Time aNow);
  /// Whether a request on this route (null for none) may be a call of a request that the local
  /// target is running.
  bool MayBeNestedCall(const RouteTable& aTable, const MeshRoute* aRoute) const;
  void AcquireToken(Requests::iterator aRequest, Time aNow, Effects& aEffects);
  void SendFirst(Requests::iterator aRequest, Time aNow, Effects& aEffects);
  static NodePicker::Criteria CriteriaOf(const Request& aRequest, Duration aRemaining);
  /// Returns false if no target is left to try or too little time remains.
  bool Send(Requests::iterator aRequest, Time aNow, Effects& aEffects);
  void HandleAnswer(Requests::iterator aRequest,
                    const HopAnswered& aAnswer,
                    Time aNow,
                    Effects& aEffects);
  /// Counts the outcome of the attempt.
  Retry DecideRetry(Request& aRequest, const HopAnswered& aAnswer, Time aNow);
  void FinishRelayed(Requests::iterator aRequest,
                     const HopAnswered& aAnswer,
                     Time aNow,
                     Effects& aEffects);
  void FinishRejected(Requests::iterator aRequest,
                      ResultCode aCode,
                      RunState aRun,
                      Time aNow,
                      Effects& aEffects);
  /// Removes a request that has not run yet from the quota's or the local target's queue. Returns
  /// false if it may have run.
  bool Withdraw(const Request& aRequest);
  /// Rejects a request that was not admitted and has no entry in the map of requests.
  void RejectUnadmitted(const MeshRequestArrived& aArrived, ResultCode aCode, Effects& aEffects);
  /// Tells the throttle whether the nodes of the service have room.
  void NoteForThrottle(Request& aRequest, const HopAnswered& aAnswer, Time aNow);
  /// Jittered delay after which the caller should retry.
  Duration RetryAfter(ResultCode aCode);
  void ReportResult(const Request& aRequest,
                    ResultCode aCode,
                    RunState aRun,
                    std::uint32_t aStatus,
                    Time aNow,
                    Effects& aEffects) const;

  Modules modules;
  Options options;
  Random random;
  EntryThrottle throttle;
  Requests requests;
  std::vector<std::string> unresponsiveNodes;
  bool rejectingNew = false;
  Time latestDeadline = Time::max();
};

} // namespace jackdawwind
