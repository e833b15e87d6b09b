// Compares whole sessions of a simulated fleet with golden files: the log lines of all nodes and
// the answers to all requests.
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "decisions/tests/fake_mesh.h"
#include "decisions/tests/mesh_scenario.h"
#include "decisions/tests/session.h"
#include "values/text.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Starts a fleet, and records its later log lines and the answers to requests.
class SessionRecorder
{
public:
  explicit SessionRecorder(FakeMesh& aMesh)
    : mesh(aMesh)
  {
    StartFleet(this->mesh);
    this->firstLine = this->mesh.Lines().size();
  }

  std::uint64_t Request(const std::string& aNode, const std::string& aPath)
  {
    this->requests.push_back(this->mesh.Request(aNode, "api", aPath, "north-key"));
    return this->requests.back();
  }

  /// Log lines since the construction, then one line for each request with its answer.
  std::string Text() const
  {
    std::ostringstream text;
    for (std::size_t index = this->firstLine; index < this->mesh.Lines().size(); ++index) {
      text << this->mesh.Lines()[index] << '\n';
    }
    for (const std::uint64_t request : this->requests) {
      const FakeMesh::Answer* answer = this->mesh.AnswerTo(request);
      text << "answer " << request << ": ";
      if (answer == nullptr) {
        text << "none\n";
        continue;
      }
      text << answer->status << ' ' << ToText(answer->code) << ' ' << ToText(answer->run)
           << " took_us=" << answer->took.count() << " runs=" << this->mesh.RunsOf(request) << '\n';
    }
    return text.str();
  }

private:
  FakeMesh& mesh;
  std::size_t firstLine = 0;
  std::vector<std::uint64_t> requests;
};

TEST(MeshSession, LostAnswers)
{
  FakeMesh mesh(1);
  SessionRecorder recorder(mesh);
  for (const char* node : { "a1", "a2", "b2" }) {
    mesh.SetBehaviour(node, FakeMesh::TargetBehaviour::kBreakConnection);
  }
  recorder.Request("a2", "/fleet/1");
  recorder.Request("a1", "/book/1");
  mesh.Advance(seconds(2));
  EXPECT_EQ(CompareWithGolden("mesh_lost_answers.txt", recorder.Text()), "");
}

TEST(MeshSession, TargetDrainsAndSignsOff)
{
  FakeMesh mesh(1);
  SessionRecorder recorder(mesh);
  mesh.SetWork("/fleet/", { .time = milliseconds(600) });
  recorder.Request("a2", "/fleet/1");
  mesh.Advance(milliseconds(100));
  mesh.SetState("a1", TargetState::kDraining);
  recorder.Request("a1", "/fleet/2");
  mesh.Advance(seconds(1));
  mesh.RemoveTarget("a1");
  recorder.Request("a1", "/fleet/3");
  mesh.Advance(seconds(2));
  EXPECT_EQ(CompareWithGolden("mesh_target_leaves.txt", recorder.Text()), "");
}

TEST(MeshSession, NodeIsPartitioned)
{
  FakeMesh mesh(1);
  SessionRecorder recorder(mesh);
  mesh.SetIsolated("b1", true);
  mesh.SetState("a1", TargetState::kDraining);
  recorder.Request("a2", "/fleet/1");
  mesh.Advance(seconds(8));
  recorder.Request("a2", "/fleet/2");
  mesh.Advance(seconds(1));
  mesh.SetIsolated("b1", false);
  mesh.Advance(seconds(3));
  recorder.Request("a2", "/fleet/3");
  mesh.Advance(seconds(2));
  EXPECT_EQ(CompareWithGolden("mesh_cut_node.txt", recorder.Text()), "");
}

TEST(MeshSession, KeyIsRevokedAndNodeDrains)
{
  FakeMesh mesh(1);
  SessionRecorder recorder(mesh);
  mesh.ConfigureOnly({ "a1" }, MakeConfiguration(7, { "new-key" }));
  mesh.Advance(seconds(2));
  recorder.Request("b2", "/fleet/1");
  mesh.Drain("b3");
  mesh.Advance(seconds(6));
  EXPECT_EQ(CompareWithGolden("mesh_revoked_key.txt", recorder.Text()), "");
}

} // namespace
} // namespace jackdawwind
