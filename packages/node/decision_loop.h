// Decision thread: takes events from its ring, passes them to the core and routes the effects that
// the core returns.
//
//   DecisionLoop<NodeCore> loop(core, events, routes);
//   loop.Start();
//   ...                          // routes.drained() runs on the core's DrainFinished
//   loop.Stop();
//
// Events are handled one at a time. Between events the thread sleeps until the next event or the
// core's NextWake(). Core is a template parameter so that tests can supply a core of their own.
#pragma once

#include <functional>
#include <thread>
#include <utility>
#include <variant>

#include "decisions/effects.h"
#include "node/mesh_io.h"
#include "node/proxy_io.h"
#include "node/report_item.h"
#include "util/ring.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Destinations of the effects. Each function applies the overflow policy of its ring.
struct EffectRoutes
{
  std::function<void(ProxyEffect)> proxy;
  /// Set only in a node that routes by host name and path.
  std::function<void(MeshEffect)> mesh = nullptr;
  std::function<void(const SendPeer&)> peers;
  /// Set only in a node on a platform with a store.
  std::function<void(const FollowStore&)> followStore = nullptr;
  std::function<void(const RecordDeparture&)> recordDeparture = nullptr;
  std::function<void(const AppendLog&)> append;
  std::function<void(const FollowLog&)> follow;
  std::function<void(const StopFollowing&)> stopFollowing;
  ReportSink report;
  /// Called once on the decision thread when the process may exit.
  std::function<void()> drained;
};

/// Visitor that passes an effect to its destination.
class EffectRouter
{
public:
  explicit EffectRouter(const EffectRoutes& aRoutes)
    : routes(aRoutes)
  {
  }

  void operator()(const Forward& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const Refuse& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const Relay& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const CancelAttempt& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const Dispatch& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const Complete& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const CancelDispatch& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const ForgetPeer& aEffect) const { this->routes.proxy(aEffect); }
  void operator()(const ForwardHop& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const CallTarget& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const RelayReply& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const RejectRequest& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const CancelSend& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const ForgetExchange& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const SendPeer& aEffect) const { this->routes.peers(aEffect); }
  void operator()(const FollowStore& aEffect) const { this->routes.followStore(aEffect); }
  void operator()(const RecordDeparture& aEffect) const { this->routes.recordDeparture(aEffect); }
  void operator()(const AnswerReport& aEffect) const { this->routes.mesh(aEffect); }
  void operator()(const AppendLog& aEffect) const { this->routes.append(aEffect); }
  void operator()(const FollowLog& aEffect) const { this->routes.follow(aEffect); }
  void operator()(const StopFollowing& aEffect) const { this->routes.stopFollowing(aEffect); }
  void operator()(const LogLine& aEffect) const { this->routes.report(aEffect); }
  void operator()(const CallMeasured& aEffect) const { this->routes.report(aEffect); }
  void operator()(const MetricUpdated& aEffect) const { this->routes.report(aEffect); }
  void operator()(const StatusReady& aEffect) const { this->routes.report(aEffect); }
  void operator()(const PhaseChanged& aEffect) const
  {
    this->routes.proxy(aEffect);
    this->routes.report(aEffect);
  }
  void operator()(const DrainFinished&) const { this->routes.drained(); }

private:
  const EffectRoutes& routes;
};

template<typename Core>
class DecisionLoop
{
public:
  DecisionLoop(Core& aCore, Ring<Event>& aEvents, EffectRoutes aRoutes)
    : core(aCore)
    , events(aEvents)
    , routes(std::move(aRoutes))
  {
  }
  ~DecisionLoop() { this->Stop(); }
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  void Start()
  {
    this->thread = std::thread([this] { this->Run(); });
  }

  /// Closes the event ring and joins the thread, which handles the events in the ring first.
  void Stop()
  {
    this->events.Close();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

private:
  void Run()
  {
    this->Route(this->core.Start(Clock::now()));
    bool closed = false;
    while (!closed) {
      // A pass that begins with the ring closed takes the last events: requests that were read just
      // before the stop, which the core has to reject.
      closed = this->events.Closed();
      const std::vector<Event> batch = this->events.PopAll(this->core.NextWake());
      for (const Event& event : batch) {
        this->Route(this->core.Handle(event, Clock::now()));
      }
      const Time now = Clock::now();
      if (now >= this->core.NextWake()) {
        this->Route(this->core.Handle(TimerFired(), now));
      }
    }
  }

  void Route(const Effects& aEffects) const
  {
    for (const Effect& effect : aEffects) {
      std::visit(EffectRouter(this->routes), effect);
    }
  }

  Core& core;
  Ring<Event>& events;
  EffectRoutes routes;
  std::thread thread;
};

} // namespace jackdawwind::node
