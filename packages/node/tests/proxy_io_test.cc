// Guards against answers that reach the wrong caller or are truncated, malformed input that is
// accepted or refused without a result code, and calls whose end is never reported to the
// decisions.
#include "node/proxy_io.h"

#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "node/peer_exchange.h"
#include "node/tests/fake_endpoints.h"

namespace jackdawwind::node {
namespace {

const std::string kGet = "GET /s/x HTTP/1.1\r\nHost: n\r\nX-Tenant-Key: key\r\n\r\n";
const std::string kPeerFields =
  "X-Jackdaw-Result: 0\r\nX-Jackdaw-Run: ran\r\nX-Jackdaw-Unused: 1\r\n"
  "X-Jackdaw-Level: 2\r\nX-Jackdaw-Load: 3\r\n";

std::string
PeerAnswer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + kPeerFields + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

TEST_F(ProxyFixture, RefusesMalformedInputWithAResultCodeAndCloses)
{
  struct Case
  {
    const char* name;
    std::string bytes;
    const char* result;
  };
  const std::vector<Case> cases{
    { "no HTTP", "hello\r\n\r\n", "100" },
    { "no version", "GET /s/x\r\n\r\n", "100" },
    { "space in a field name", "GET /s/x HTTP/1.1\r\nA B: c\r\n\r\n", "100" },
    { "two lengths",
      "POST /s/x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "100" },
    { "length and chunks",
      "POST /s/x HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "100" },
    { "length is no number", "POST /s/x HTTP/1.1\r\nContent-Length: x\r\n\r\n", "100" },
    { "bad chunk", "POST /s/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "100" },
    { "dot segment", "GET /s/../x HTTP/1.1\r\n\r\n", "100" },
    { "long header", "GET /s/x HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n", "101" },
    { "long body", "POST /s/x HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "102" },
    { "long chunked body",
      "POST /s/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'a') +
        "\r\n0\r\n\r\n",
      "102" },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.name);
    FakeConnection caller = this->ConnectCaller();
    caller.Write(one.bytes);
    const std::optional<HttpResponse> response = caller.ReadResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ((*response)[kResultHeader], one.result);
    EXPECT_EQ((*response)[kRunHeader], "not_run");
    EXPECT_FALSE(caller.ReadResponse());
  }
  EXPECT_TRUE(this->events.PopReady().empty());
}

TEST_F(ProxyFixture, RelaysACompleteAnswerAndForwardsNoKey)
{
  FakeServer peer;
  FakeConnection caller = this->ConnectCaller();
  caller.Write(kGet);
  const CallArrived arrived = this->Await<CallArrived>();
  this->SendForward(arrived.Exchange(), 1, peer.Port());
  FakeConnection connection = peer.Accept();
  const HttpRequest forwarded = connection.ReadRequest();
  EXPECT_EQ(forwarded.target(), "/x");
  EXPECT_EQ(forwarded.count(kTenantKeyHeader), 0U);
  EXPECT_EQ(ReadSealedCall(forwarded, "secret"), this->Context(1, true));
  connection.Write("HTTP/1.1 102 Processing\r\n\r\n" + PeerAnswer("answer"));
  const Answered expected({ .status = 200,
                            .code = ResultCode::kOk,
                            .run = RunState::kRan,
                            .unusedAllowance = 1,
                            .level = 2,
                            .load = 3 });
  EXPECT_EQ(this->Await<AttemptEnded>().Outcome(), AttemptOutcome(expected));
  this->proxy->Submit(Relay({ .exchange = arrived.Exchange(), .attempt = 1 }));
  const std::optional<HttpResponse> response = caller.ReadResponse();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "answer");
  EXPECT_EQ((*response)[kResultHeader], "0");
  EXPECT_EQ(response->count(kUnusedAllowanceHeader), 0U);
}

TEST_F(ProxyFixture, ReportsTruncatedOrInvalidPeerAnswersAsLost)
{
  struct Case
  {
    const char* name;
    std::string bytes;
  };
  const std::vector<Case> cases{
    { "no answer", "" },
    { "only an interim response", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "truncated header", "HTTP/1.1 200 OK\r\nContent-Le" },
    { "truncated body", "HTTP/1.1 200 OK\r\n" + kPeerFields + "Content-Length: 9\r\n\r\nanswer" },
    { "truncated chunks",
      "HTTP/1.1 200 OK\r\n" + kPeerFields + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n" },
    { "body ends with the connection", "HTTP/1.1 200 OK\r\n" + kPeerFields + "\r\nanswer" },
    { "no HTTP", "hello\r\n\r\n" },
    { "no result", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
    { "over the limit", PeerAnswer(std::string(5000, 'a')) },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.name);
    FakeServer peer;
    FakeConnection caller = this->ConnectCaller();
    caller.Write(kGet);
    const std::uint64_t exchange = this->Await<CallArrived>().Exchange();
    this->SendForward(exchange, 1, peer.Port());
    FakeConnection connection = peer.Accept();
    connection.ReadRequest();
    connection.Write(one.bytes);
    connection.Close();
    EXPECT_EQ(this->Await<AttemptEnded>().Outcome(), AttemptOutcome(Lost()));
    this->proxy->Submit(Refuse(
      { .exchange = exchange, .code = ResultCode::kAttemptLost, .run = RunState::kUnknown }));
    const std::optional<HttpResponse> response = caller.ReadResponse();
    ASSERT_TRUE(response);
    EXPECT_EQ((*response)[kRunHeader], "unknown");
  }
}

TEST_F(ProxyFixture, LateAnswerReachesNoOtherCaller)
{
  FakeServer peer;
  FakeConnection first = this->ConnectCaller();
  first.Write(kGet);
  const std::uint64_t abandoned = this->Await<CallArrived>().Exchange();
  this->SendForward(abandoned, 1, peer.Port());
  FakeConnection old = peer.Accept();
  old.ReadRequest();
  this->proxy->Submit(CancelAttempt({ .exchange = abandoned, .attempt = 1 }));
  this->proxy->Submit(Refuse(
    { .exchange = abandoned, .code = ResultCode::kAttemptTimedOut, .run = RunState::kUnknown }));
  ASSERT_TRUE(first.ReadResponse());
  old.Write(PeerAnswer("late"));
  FakeConnection second = this->ConnectCaller();
  second.Write(kGet);
  const std::uint64_t exchange = this->Await<CallArrived>().Exchange();
  this->SendForward(exchange, 1, peer.Port());
  FakeConnection fresh = peer.Accept();
  fresh.ReadRequest();
  fresh.Write(PeerAnswer("own"));
  EXPECT_EQ(this->Await<AttemptEnded>().Exchange(), exchange);
  this->proxy->Submit(Relay({ .exchange = exchange, .attempt = 1 }));
  const std::optional<HttpResponse> response = second.ReadResponse();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "own");
}

TEST_F(ProxyFixture, ReportsASilentPeerAsLostAndARefusedConnectionAsConnectFailed)
{
  FakeConnection caller = this->ConnectCaller();
  caller.Write(kGet);
  const std::uint64_t exchange = this->Await<CallArrived>().Exchange();
  std::uint16_t closedPort = 0;
  {
    const FakeServer closed;
    closedPort = closed.Port();
  }
  this->SendForward(exchange, 1, closedPort);
  EXPECT_EQ(this->Await<AttemptEnded>().Outcome(), AttemptOutcome(ConnectFailed()));
  const FakeServer silent;
  this->SendForward(exchange, 2, silent.Port());
  EXPECT_EQ(this->Await<AttemptEnded>().Outcome(), AttemptOutcome(Lost()));
}

TEST_F(ProxyFixture, ReportsThatACallerDisconnected)
{
  FakeConnection caller = this->ConnectCaller();
  // Pipelined bytes do not end the call; closing the connection does.
  caller.Write(kGet + "GET /s/y");
  const std::uint64_t exchange = this->Await<CallArrived>().Exchange();
  EXPECT_TRUE(this->events.PopReady().empty());
  caller.Close();
  EXPECT_EQ(this->Await<CallAbandoned>().Exchange(), exchange);
  // Effects for an ended exchange are ignored, but a Forward is still reported as failed.
  this->proxy->Submit(Relay({ .exchange = exchange, .attempt = 1 }));
  this->SendForward(exchange, 1, 1);
  EXPECT_EQ(this->Await<AttemptEnded>().Outcome(), AttemptOutcome(ConnectFailed()));
}

// Guards against a pipelined request that stays unread after the answer before it, although its
// bytes have arrived.
TEST_F(ProxyFixture, ReadsThePipelinedRequestBehindARefusedOne)
{
  FakeConnection caller = this->ConnectCaller();
  caller.Write(kGet + kGet);
  const std::uint64_t first = this->Await<CallArrived>().Exchange();
  this->proxy->Submit(
    Refuse({ .exchange = first, .code = ResultCode::kNodeBusy, .run = RunState::kNotRun }));
  ASSERT_TRUE(caller.ReadResponse());
  EXPECT_GT(this->Await<CallArrived>().Exchange(), first);
}

TEST_F(ProxyFixture, AcceptsOnlySealedCallsAndSendsInterimResponses)
{
  FakeConnection forger = this->Connect(this->proxy->ListenPorts().peerCalls);
  forger.Write("GET /x HTTP/1.1\r\nX-Jackdaw-Context: {}\r\nX-Jackdaw-Seal: 00\r\n\r\n");
  const std::optional<HttpResponse> refused = forger.ReadFinal();
  ASSERT_TRUE(refused);
  EXPECT_EQ((*refused)[kResultHeader], "111");

  FakeServer target;
  http::request<http::string_body> request(http::verb::get, "/x", 11);
  request.set("X-Jackdaw-Extra", "inside");
  SealCall(request.base(), this->Context(1, true), "", "secret");
  std::ostringstream text;
  text << request;
  FakeConnection entry = this->Connect(this->proxy->ListenPorts().peerCalls);
  entry.Write(text.str());
  const AttemptArrived arrived = this->Await<AttemptArrived>();
  EXPECT_EQ(arrived.Context(), this->Context(1, true));
  this->proxy->Submit(Dispatch({ .exchange = arrived.Exchange(),
                                 .callId = "call",
                                 .host = "127.0.0.1",
                                 .port = target.Port(),
                                 .remaining = std::chrono::seconds(20),
                                 .idempotent = true }));
  const std::optional<HttpResponse> interim = entry.ReadResponse();
  ASSERT_TRUE(interim);
  EXPECT_EQ(interim->result_int(), 102U);
  FakeConnection connection = target.Accept();
  const HttpRequest dispatched = connection.ReadRequest();
  EXPECT_EQ(dispatched[kCallIdHeader], "call");
  EXPECT_EQ(dispatched.count(kDeadlineHeader), 1U);
  EXPECT_EQ(dispatched.count(kContextHeader) + dispatched.count("X-Jackdaw-Extra"), 0U);
  connection.Write("HTTP/1.1 201 Made\r\nX-Jackdaw-Result: 5\r\nContent-Length: 4\r\n\r\nbody");
  EXPECT_EQ(this->Await<TargetEnded>().Outcome(), TargetOutcome(TargetAnswered({ .status = 201 })));
  this->proxy->Submit(
    Complete({ .exchange = arrived.Exchange(), .unusedAllowance = 1, .level = 2, .load = 3 }));
  const std::optional<HttpResponse> answer = entry.ReadFinal();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "body");
  EXPECT_EQ(ReadPeerResult(*answer), (PeerResult{ ResultCode::kOk, RunState::kRan, 1, 2, 3 }));
}

// Guards against a time that is lost between nodes, and against answers of earlier versions that
// are no longer read.
TEST(PeerExchange, StatesTheExpectedTimeIfItIsKnown)
{
  for (const Duration expected : { Duration::zero(), Duration(160'000) }) {
    const PeerResult result{
      .code = ResultCode::kOk, .run = RunState::kRan, .slots = 8, .expectedTime = expected
    };
    HttpResponse response;
    WritePeerResult(response, result);
    EXPECT_EQ(response.count(kExpectedTimeHeader), expected > Duration::zero() ? 1U : 0U);
    EXPECT_EQ(ReadPeerResult(response), result);
  }
}

class FullRingFixture : public ProxyFixture
{
protected:
  FullRingFixture()
    : ProxyFixture(1)
  {
  }
};

TEST_F(FullRingFixture, RefusesNewCallsAndRetriesEndEvents)
{
  FakeConnection running = this->ConnectCaller();
  running.Write(kGet);
  const std::uint64_t exchange = this->Await<CallArrived>().Exchange();
  ASSERT_TRUE(this->events.TryPush(TimerFired()));
  running.Close();
  FakeConnection caller = this->ConnectCaller();
  caller.Write(kGet);
  const std::optional<HttpResponse> refused = caller.ReadResponse();
  ASSERT_TRUE(refused);
  EXPECT_EQ((*refused)[kResultHeader], "207");
  EXPECT_EQ((*refused)[kRunHeader], "not_run");
  this->Await<TimerFired>();
  EXPECT_EQ(this->Await<CallAbandoned>().Exchange(), exchange);
}

} // namespace
} // namespace jackdawwind::node
