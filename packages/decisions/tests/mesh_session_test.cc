// Whole sessions of a fleet on the platform against golden files: what the nodes log and what the
// callers are told, from the first message to the last.
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

class Recording
{
public:
  explicit Recording(FakeMesh& aMesh)
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

  /// Log lines since the start of the recording, then the answers.
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
  Recording recording(mesh);
  for (const char* node : { "a1", "a2", "b2" }) {
    mesh.SetBehaviour(node, FakeMesh::TargetBehaviour::kBreakConnection);
  }
  recording.Request("a2", "/fleet/1");
  recording.Request("a1", "/book/1");
  mesh.Advance(seconds(2));
  EXPECT_EQ(CompareWithGolden("mesh_lost_answers.txt", recording.Text()), "");
}

TEST(MeshSession, ATargetLeaves)
{
  FakeMesh mesh(1);
  Recording recording(mesh);
  mesh.SetWork("/fleet/", { .time = milliseconds(600) });
  recording.Request("a2", "/fleet/1");
  mesh.Advance(milliseconds(100));
  mesh.SetState("a1", TargetState::kDraining);
  recording.Request("a1", "/fleet/2");
  mesh.Advance(seconds(1));
  mesh.RemoveTarget("a1");
  recording.Request("a1", "/fleet/3");
  mesh.Advance(seconds(2));
  EXPECT_EQ(CompareWithGolden("mesh_target_leaves.txt", recording.Text()), "");
}

TEST(MeshSession, ANodeIsCutOff)
{
  FakeMesh mesh(1);
  Recording recording(mesh);
  mesh.SetIsolated("b1", true);
  mesh.SetState("a1", TargetState::kDraining);
  recording.Request("a2", "/fleet/1");
  mesh.Advance(seconds(8));
  recording.Request("a2", "/fleet/2");
  mesh.Advance(seconds(1));
  mesh.SetIsolated("b1", false);
  mesh.Advance(seconds(3));
  recording.Request("a2", "/fleet/3");
  mesh.Advance(seconds(2));
  EXPECT_EQ(CompareWithGolden("mesh_cut_node.txt", recording.Text()), "");
}

TEST(MeshSession, AKeyIsRevokedAndANodeStops)
{
  FakeMesh mesh(1);
  Recording recording(mesh);
  mesh.ConfigureOnly({ "a1" }, MakeConfiguration(7, { "new-key" }));
  mesh.Advance(seconds(2));
  recording.Request("b2", "/fleet/1");
  mesh.Drain("b3");
  mesh.Advance(seconds(6));
  EXPECT_EQ(CompareWithGolden("mesh_revoked_key.txt", recording.Text()), "");
}

} // namespace
} // namespace jackdawwind
