// Guards against requests that were read in full and get no answer, because the decision thread
// ends with their events in its ring.
#include "node/decision_loop.h"

#include <future>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace jackdawwind::node {
namespace {

constexpr std::uint64_t kFirst = 1;

/// Rejects every request that arrives; the first one only once the test releases it.
class FakeCore
{
public:
  Effects Start(Time /*aNow*/) { return {}; }
  Time NextWake() const { return Time::max(); }

  Effects Handle(const Event& aEvent, Time /*aNow*/)
  {
    const std::uint64_t exchange = std::get<MeshRequestArrived>(aEvent).Exchange();
    if (exchange == kFirst) {
      this->handling.set_value();
      this->released.get_future().wait();
    }
    return { RejectRequest({ .exchange = exchange, .code = ResultCode::kNodeDraining }) };
  }

  std::promise<void> handling;
  std::promise<void> released;
};

TEST(DecisionLoop, HandlesTheEventsThatAreQueuedWhenItStops)
{
  FakeCore core;
  std::future<void> handling = core.handling.get_future();
  Ring<Event> events(8);
  std::vector<MeshEffect> rejections;
  EffectRoutes routes;
  routes.mesh = [&rejections](MeshEffect aEffect) { rejections.push_back(std::move(aEffect)); };
  DecisionLoop<FakeCore> loop(core, events, std::move(routes));
  loop.Start();
  events.TryPush(MeshRequestArrived({ .exchange = kFirst }));
  handling.wait();
  events.TryPush(MeshRequestArrived({ .exchange = kFirst + 1 }));
  std::thread stopping([&loop] { loop.Stop(); });
  while (!events.Closed()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  core.released.set_value();
  stopping.join();
  EXPECT_EQ(rejections.size(), 2U);
}

} // namespace
} // namespace jackdawwind::node
