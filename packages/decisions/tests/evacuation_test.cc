// Guards against requests to targets of a domain that the operator evacuates, and against an order
// that is lost, that returns after its withdrawal, or that a node learns too late.
#include "decisions/mesh/evacuation.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"
#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EvacuationOrder
Order(const std::string& aDomain,
      bool aActive,
      std::uint64_t aOffset,
      std::optional<std::uint64_t> aEra = std::nullopt)
{
  return EvacuationOrder({ .domain = aDomain, .active = aActive, .era = aEra, .offset = aOffset });
}

EvacuationsRead
Poll(const EvacuationOrder& aOrder)
{
  return EvacuationsRead({ .orders = { aOrder }, .endOffset = aOrder.Offset() + 1 });
}

TEST(Evacuation, NodesThatHaveTheSameOrdersAgree)
{
  // The reference keeps the highest era and offset of each domain.
  const std::vector<std::string> domains = { "ikeja", "sharada", "apapa" };
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    std::vector<EvacuationOrder> orders;
    std::map<std::string, EvacuationOrder> newest;
    for (std::uint64_t offset = 0; offset < 20; ++offset) {
      const EvacuationOrder order =
        Order(domains[random.Below(domains.size())], random.Below(2) == 0, offset % 7, offset / 7);
      orders.push_back(order);
      newest[order.GetDomain()] = order;
    }
    Evacuation first;
    first.Adopt(orders);
    Evacuation second;
    for (int message = 0; message < 30; ++message) {
      const std::size_t at = random.Below(orders.size());
      second.Adopt({ orders[at] });
      std::rotate(orders.begin(), orders.begin() + static_cast<std::ptrdiff_t>(at), orders.end());
    }
    second.Adopt(first.Orders());
    EXPECT_EQ(first.Orders(), second.Orders()) << "seed " << seed;
    EXPECT_EQ(first.Hash(), second.Hash());
    for (const std::pair<const std::string, EvacuationOrder>& entry : newest) {
      EXPECT_EQ(second.Domains().contains(entry.first), entry.second.Active()) << "seed " << seed;
    }
  }
}

TEST(Evacuation, CompleteReadWithoutTheOrderWithdrawsIt)
{
  struct Case
  {
    const char* name;
    bool complete;
    std::uint64_t endOffset;
    bool evacuated;
  };
  const Case cases[] = {
    { "complete", true, 9, false },
    { "page is missing", false, 9, true },
    { "read is older than the order", true, 5, true },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    Evacuation evacuation;
    evacuation.Receive(Poll(Order("ikeja", true, 5)));
    evacuation.Receive(
      EvacuationsRead({ .complete = testCase.complete, .endOffset = testCase.endOffset }));
    EXPECT_EQ(evacuation.Domains().contains("ikeja"), testCase.evacuated);
    // An earlier order of a peer does not return; the operator's next one holds.
    evacuation.Adopt({ Order("ikeja", true, 5) });
    EXPECT_EQ(evacuation.Domains().contains("ikeja"), testCase.evacuated);
    evacuation.Adopt({ Order("ikeja", true, 9) });
    EXPECT_TRUE(evacuation.Domains().contains("ikeja"));
  }
}

// Guards against an order that is ignored because it is the first record of the store, after a read
// that found none, and against nodes that disagree about it.
TEST(Evacuation, OrderAtTheFirstOffsetHolds)
{
  const EvacuationOrder first = Order("ikeja", true, 0, 1);
  const EvacuationsRead empty({ .complete = true, .era = 1, .endOffset = 0 });
  Evacuation reader;
  reader.Receive(Poll(Order("ikeja", true, 6, 0)));
  ASSERT_TRUE(reader.Receive(empty));
  EXPECT_TRUE(reader.Domains().empty());
  Evacuation peer;
  EXPECT_TRUE(peer.Receive(Poll(first)));
  EXPECT_TRUE(reader.Receive(Poll(first)));
  EXPECT_TRUE(reader.Domains().contains("ikeja"));
  EXPECT_EQ(reader.Hash(), peer.Hash());
  EXPECT_FALSE(reader.Receive(empty));
  // The operator withdraws it with the next record.
  reader.Receive(Poll(Order("ikeja", false, 1, 1)));
  EXPECT_TRUE(reader.Domains().empty());
}

/// Sends a request of a1 to the service fleet, whose targets are a1 (ikeja) and b1 (sharada).
/// Returns the node that ran it, or the result code.
std::string
WhereItRuns(FakeMesh& aMesh, const std::string& aEntry = "a1")
{
  const std::uint64_t request = aMesh.Request(aEntry, "api", "/fleet/1", "north-key");
  aMesh.Advance(seconds(1));
  const FakeMesh::Answer* answer = aMesh.AnswerTo(request);
  if (answer == nullptr) {
    return "no answer";
  }
  if (answer->code != ResultCode::kOk) {
    EXPECT_EQ(answer->status, 503U);
    EXPECT_EQ(answer->run, RunState::kNotRun);
    EXPECT_EQ(aMesh.RunsOf(request), 0U);
    return std::string(ToText(answer->code));
  }
  return aMesh.Runs().back().node;
}

TEST(Evacuation, OrderOfOneReaderHoldsEverywhereUntilItIsWithdrawn)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  EXPECT_EQ(WhereItRuns(mesh), "a1");
  mesh.Deliver("b3", Poll(Order("ikeja", true, 3)));
  mesh.Advance(seconds(2));
  EXPECT_EQ(WhereItRuns(mesh), "b1");
  EXPECT_EQ(WhereItRuns(mesh, "a2"), "b1");
  mesh.Deliver("b2", Poll(Order("sharada", true, 4)));
  mesh.Advance(seconds(2));
  EXPECT_EQ(WhereItRuns(mesh), "domain_evacuated");
  mesh.Deliver("a2", Poll(Order("ikeja", false, 5)));
  mesh.Advance(seconds(2));
  EXPECT_EQ(WhereItRuns(mesh, "b1"), "a1");
}

TEST(Evacuation, NodeWithoutTheStoreLearnsTheOrderFromPeers)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  // All messages that pass the order on are lost; probes repair it.
  mesh.LoseMessages(true);
  mesh.Deliver("b3", Poll(Order("ikeja", true, 3)));
  mesh.Advance(milliseconds(100));
  mesh.LoseMessages(false);
  mesh.Advance(seconds(3));
  EXPECT_EQ(WhereItRuns(mesh), "b1");
  // A restart loses the node's memory.
  mesh.Restart("a1");
  mesh.Advance(seconds(3));
  mesh.ConfigureOnly({ "a1" }, MakeConfiguration(1));
  EXPECT_EQ(WhereItRuns(mesh), "b1");
}

TEST(Evacuation, NodeBesideTheTargetRefusesButLetsRunningRequestsEnd)
{
  FakeMesh mesh(1);
  StartFleet(mesh);
  mesh.SetWork("/fleet/", { .time = milliseconds(600) });
  // One request more than the target has slots.
  std::vector<std::uint64_t> requests;
  requests.reserve(10);
  for (int index = 0; index < 9; ++index) {
    requests.push_back(mesh.Request("a1", "api", "/fleet/1", "north-key"));
  }
  ASSERT_EQ(mesh.RunningAt("a1"), 8U);
  // Entry nodes that do not know the order yet still send here.
  mesh.LoseMessages(true);
  mesh.Deliver("a1", Poll(Order("ikeja", true, 3)));
  requests.push_back(mesh.Request("a2", "api", "/fleet/1", "north-key"));
  mesh.Advance(seconds(2));
  for (const std::uint64_t request : requests) {
    ASSERT_NE(mesh.AnswerTo(request), nullptr);
    EXPECT_EQ(mesh.AnswerTo(request)->code, ResultCode::kOk);
    EXPECT_EQ(mesh.RunsOf(request), 1U);
  }
  const std::ptrdiff_t here =
    std::count_if(mesh.Runs().begin(), mesh.Runs().end(), [](const FakeMesh::Run& aRun) {
      return aRun.node == "a1";
    });
  EXPECT_EQ(here, 8);
  const bool refused =
    std::any_of(mesh.Lines().begin(), mesh.Lines().end(), [](const std::string& aLine) {
      return aLine.find("a1 hop_refused") != std::string::npos &&
             aLine.find("code=target_draining") != std::string::npos;
    });
  EXPECT_TRUE(refused);
}

} // namespace
} // namespace jackdawwind
