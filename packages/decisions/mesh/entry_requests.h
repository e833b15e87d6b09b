// Requests that begin on this host, from arrival to final answer.
//
//   EntryRequests entry(modules, options, seed);
//   entry.Receive(arrived, now, effects);          // and every other event of an exchange
//   entry.Continue(now, effects);                  // quota decisions, answers of the own target
//
// A request is checked against route, key and quota, sent to one target at a time, and answered
// once. It is sent again after a proof that it has not run, or when it may run twice; the latter,
// and whatever reached a target, draws on the repeat budget. Its answer never says "not run" when
// one of its sends may have run.
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
#include "decisions/mesh/local_target.h"
#include "decisions/mesh/node_picker.h"
#include "decisions/mesh/quota_pool.h"
#include "decisions/mesh/repeat_budget.h"
#include "decisions/mesh/split_chooser.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/calls.h"

namespace jackdawwind {

class EntryRequests
{
public:
  using Members = std::map<std::string, Member>;

  struct Modules
  {
    const ConfigurationGossip& configuration;
    const Members& members;
    QuotaPool& quota;
    RepeatBudget& budget;
    SplitChooser& splits;
    NodePicker& picker;
    LocalTarget& target;
  };

  struct Options
  {
    std::string node;
    /// Service of the target on this host.
    std::string service;
  };

  EntryRequests(Modules aModules, Options aOptions, std::uint64_t aSeed);

  void Receive(const MeshRequestArrived& aArrived, Time aNow, Effects& aEffects);
  /// False when the exchange is not one of these.
  bool Receive(const SendEnded& aEnded, Time aNow, Effects& aEffects);
  bool Abandon(std::uint64_t aExchange, Time aNow, Effects& aEffects);
  void Continue(Time aNow, Effects& aEffects);

  /// Nodes that did not answer since the last call.
  std::vector<std::string> TakeSilentNodes();

  /// New requests are refused from now on.
  void RefuseNew() { this->refusing = true; }
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
    std::uint64_t bodyBytes = 0;
    Time arrived{};
    Time deadline{};
    std::uint32_t attempt = 0;
    /// Sends that a target may have begun to run.
    std::uint32_t ran = 0;
    /// Sends that a node refused before its target.
    std::uint32_t refused = 0;
    std::set<std::string> tried;
    std::string node;
  };

  using Requests = std::map<std::uint64_t, Request>;
  using Admission = std::variant<Request, ResultCode>;

  Admission Admit(const MeshRequestArrived& aArrived, Time aNow);
  void TakeToken(Requests::iterator aRequest, Time aNow, Effects& aEffects);
  void Begin(Requests::iterator aRequest, Time aNow, Effects& aEffects);
  /// False when no target is left to try.
  bool Send(Requests::iterator aRequest, Time aNow, Effects& aEffects);
  void HandleAnswer(Requests::iterator aRequest,
                    const HopAnswered& aAnswer,
                    Time aNow,
                    Effects& aEffects);
  bool MaySendAgain(Request& aRequest, const HopAnswered& aAnswer, Time aNow);
  void FinishRelayed(Requests::iterator aRequest,
                     const HopAnswered& aAnswer,
                     Time aNow,
                     Effects& aEffects);
  void FinishRejected(Requests::iterator aRequest,
                      ResultCode aCode,
                      RunState aRun,
                      Time aNow,
                      Effects& aEffects);
  void RejectUnseen(const MeshRequestArrived& aArrived, ResultCode aCode, Effects& aEffects);
  Duration RetryAfter(ResultCode aCode);
  void Report(const Request& aRequest,
              ResultCode aCode,
              RunState aRun,
              std::uint32_t aStatus,
              Time aNow,
              Effects& aEffects) const;

  Modules modules;
  Options options;
  Random random;
  Requests requests;
  std::vector<std::string> silentNodes;
  bool refusing = false;
};

} // namespace jackdawwind
