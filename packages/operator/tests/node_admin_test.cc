// Guards against requests without the administration token and against misinterpreted answers.
#include "operator/node_admin.h"

#include <thread>

#include <gtest/gtest.h>

#include "standins/common/http_server.h"
#include "wire/codec.h"
#include "wire/generated/calls_codec.h"

namespace jackdawwind::control {
namespace {

using standins::ServedRequest;

/// Administration listener that gives the same answer to every authorised request, and 401 to
/// others.
class FakeNode
{
public:
  FakeNode(unsigned aStatus, std::string aBody)
    : server(this->context,
             0,
             [aStatus, body = std::move(aBody)](const std::shared_ptr<ServedRequest>& aRequest) {
               const bool authorised = aRequest->Message()["Authorization"] == "Bearer t";
               aRequest->Answer(authorised ? aStatus : 401, body);
             })
    , thread([this] { this->context.run(); })
  {
  }
  ~FakeNode()
  {
    this->context.stop();
    this->thread.join();
  }
  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;

  NodeAdmin Admin(const std::string& aToken) const
  {
    return NodeAdmin({ "127.0.0.1", this->server.Port(), aToken, std::chrono::seconds(10) });
  }

private:
  boost::asio::io_context context;
  standins::HttpServer server;
  std::thread thread;
};

TEST(NodeAdmin, MapsHttpAnswersToOutcomes)
{
  const NodeStatus status({ .node = "n1", .domain = "d", .revision = "r" });
  const std::string statusText = wire::EncodeText(status);
  const StatusOutcome garbled = NodeUnreachable(
    { .reason = "the answer is not a status: node: expected a value for this required field" });
  struct Case
  {
    unsigned status;
    std::string body;
    const char* token;
    StatusOutcome expectedStatus;
    DrainOutcome expectedDrain;
  };
  const Case cases[] = {
    { 200, statusText, "t", status, DrainAccepted() },
    { 200, "{}", "t", garbled, DrainAccepted() },
    { 200, statusText, "other", NodeRefused({ .status = 401 }), NodeRefused({ .status = 401 }) },
    { 503, statusText, "t", NodeRefused({ .status = 503 }), NodeRefused({ .status = 503 }) },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testing::Message() << testCase.status << " " << testCase.token);
    const FakeNode node(testCase.status, testCase.body);
    EXPECT_EQ(node.Admin(testCase.token).Status(), testCase.expectedStatus);
    EXPECT_EQ(node.Admin(testCase.token).Drain(), testCase.expectedDrain);
  }
}

} // namespace
} // namespace jackdawwind::control
