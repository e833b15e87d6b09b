// Guards against an exception, for bytes that nobody foresaw, that ends the I/O thread of a node,
// or leaves a request without an end: its caller would wait, and its slot would be taken for ever.
#include "node/mesh_io.h"

#include <atomic>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>

#include <gtest/gtest.h>

#include "node/tests/fake_endpoints.h"

namespace jackdawwind::node {
namespace {

constexpr const char* kThrow = "throw";

void
ThrowIf(bool aCondition)
{
  if (aCondition) {
    throw std::invalid_argument("an exception of a test");
  }
}

/// Front end that throws for the path, the instance, the status reason or the id kThrow.
MeshFrontEnd
ThrowingFrontEnd()
{
  MeshFrontEnd front;
  front.readRequest = [](const HttpRequest& aRequest) -> std::variant<RequestHead, Rejection> {
    const std::string path(View(aRequest.target()));
    ThrowIf(path == std::string("/") + kThrow);
    RequestHead head;
    head.requestId = std::string(View(aRequest["Id"]));
    head.path = path;
    return head;
  };
  front.readRequestId = [](const http::request_header<>&) { return std::string(); };
  front.stripRequest = [](http::request_header<>&) {};
  front.writeTargetRequest = [](http::request_header<>&, const CallTarget& aCall) {
    ThrowIf(aCall.Instance() == kThrow);
  };
  front.answersRequest = [](const HttpResponse&, const std::string&, bool) { return true; };
  front.readReply = [](const HttpResponse& aResponse) {
    ThrowIf(View(aResponse.reason()) == kThrow);
    return TargetReplied({ .status = aResponse.result_int() });
  };
  front.writeRejection = [](const RejectRequest& aRejection, const std::string& aId) {
    ThrowIf(aId == kThrow);
    HttpResponse response;
    response.result(HttpStatus(aRejection.Code()));
    response.prepare_payload();
    return response;
  };
  return front;
}

class MeshExceptionTest : public EventFixture
{
protected:
  MeshExceptionTest()
  {
    MeshIo::OpenResult opened =
      MeshIo::Open(this->settings, this->front, this->events, [this](const ReportItem& aItem) {
        const LogLine* line = std::get_if<LogLine>(&aItem);
        if (line != nullptr && line->GetEvent() == LogEvent::kHandlerFailed) {
          ++this->exceptions;
        }
      });
    this->mesh = std::get<std::unique_ptr<MeshIo>>(std::move(opened));
    this->mesh->Start();
  }

  /// Sends a request of a caller and returns its connection.
  FakeConnection Send(const std::string& aPath, const std::string& aId)
  {
    FakeConnection caller = this->Connect(this->mesh->ListenPorts().callers);
    caller.Write("GET " + aPath + " HTTP/1.1\r\nHost: api\r\nId: " + aId + "\r\n\r\n");
    return caller;
  }

  void CallTargetAt(std::uint64_t aExchange, std::uint16_t aPort, const std::string& aInstance)
  {
    this->mesh->Submit(CallTarget({ .exchange = aExchange,
                                    .attempt = 1,
                                    .host = "127.0.0.1",
                                    .port = aPort,
                                    .instance = aInstance,
                                    .timeout = kEventTimeout }));
  }

  void Reject(std::uint64_t aExchange)
  {
    this->mesh->Submit(RejectRequest(
      { .exchange = aExchange, .code = ResultCode::kNoTarget, .run = RunState::kNotRun }));
  }

  const MeshSettings settings{ { .node = "n", .host = "127.0.0.1" } };
  const MeshFrontEnd front = ThrowingFrontEnd();
  std::atomic<int> exceptions{ 0 };
  std::unique_ptr<MeshIo> mesh;
};

TEST_F(MeshExceptionTest, ARequestThatCannotBeReadIsRefused)
{
  FakeConnection other = this->Send("/a", "1");
  const MeshRequestArrived arrived = this->Await<MeshRequestArrived>();
  const std::optional<HttpResponse> refusal =
    this->Send(std::string("/") + kThrow, "2").ReadResponse();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->result_int(), 503U);
  this->Reject(arrived.Exchange());
  EXPECT_TRUE(other.ReadResponse());
  EXPECT_EQ(this->exceptions.load(), 1);
}

TEST_F(MeshExceptionTest, ASendThatCannotBeWrittenCountsAsNotSent)
{
  FakeServer target;
  const FakeConnection caller = this->Send("/a", "1");
  const MeshRequestArrived arrived = this->Await<MeshRequestArrived>();
  this->CallTargetAt(arrived.Exchange(), target.Port(), kThrow);
  EXPECT_EQ(this->Await<SendEnded>().Outcome(), SendOutcome(ConnectFailed()));
  EXPECT_FALSE(target.HasConnection());
  EXPECT_EQ(this->exceptions.load(), 1);
}

TEST_F(MeshExceptionTest, AnAnswerThatCannotBeReadCountsAsLost)
{
  FakeServer target;
  const FakeConnection caller = this->Send("/a", "1");
  const MeshRequestArrived arrived = this->Await<MeshRequestArrived>();
  this->CallTargetAt(arrived.Exchange(), target.Port(), "i-1");
  FakeConnection connection = target.Accept();
  connection.ReadRequest();
  connection.Write(std::string("HTTP/1.1 200 ") + kThrow + "\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(this->Await<SendEnded>().Outcome(), SendOutcome(Lost()));
  EXPECT_EQ(this->exceptions.load(), 1);
}

TEST_F(MeshExceptionTest, AnAnswerThatCannotBeWrittenIsReplacedByOneThatPromisesNothing)
{
  FakeConnection caller = this->Send("/a", kThrow);
  FakeConnection other = this->Send("/a", "2");
  this->Reject(this->Await<MeshRequestArrived>().Exchange());
  this->Reject(this->Await<MeshRequestArrived>().Exchange());
  const std::optional<HttpResponse> response = caller.ReadResponse();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 502U);
  EXPECT_EQ(other.ReadResponse()->result_int(), 503U);
  EXPECT_EQ(this->exceptions.load(), 1);
}

} // namespace
} // namespace jackdawwind::node
