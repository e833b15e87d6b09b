// Guards against control messages that are accepted without a valid seal or lost between two nodes,
// an administration API that is accessible without its token, and metrics whose number of series
// grows with the number of organisations.
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "node/control_frame.h"
#include "node/metrics.h"
#include "node/peer_control.h"
#include "node/reporting.h"
#include "node/tests/fake_endpoints.h"
#include "wire/crypto.h"

namespace jackdawwind::node {
namespace {

constexpr Duration kReceiveTimeout = std::chrono::seconds(20);

NodeSettings
MakeSettings()
{
  return NodeSettings(
    { .node = "n", .domain = "d", .region = "r", .adminToken = "token", .fleetSecret = "secret" });
}

HttpResponse
SendRequest(std::uint16_t aPort, const std::string& aRequest)
{
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), aPort));
  FakeConnection connection(std::move(socket));
  connection.Write(aRequest);
  return connection.ReadResponse().value_or(HttpResponse());
}

TEST(PeerControl, DeliversSealedMessages)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> senderEvents(16);
  Ring<Event> receiverEvents(16);
  PeerControl::OpenResult sender =
    PeerControl::Open(settings, senderEvents, [](const ReportItem&) {});
  PeerControl::OpenResult receiver =
    PeerControl::Open(settings, receiverEvents, [](const ReportItem&) {});
  PeerControl& from = *std::get<std::unique_ptr<PeerControl>>(sender);
  PeerControl& to = *std::get<std::unique_ptr<PeerControl>>(receiver);
  from.Start();
  to.Start();
  const PeerAddress address({ .node = "m", .host = "127.0.0.1", .controlPort = to.Port() });
  const std::vector<PeerMessage> messages{
    Probe({ .sequence = 1, .sender = address, .tableHash = 18446744073709551615U }),
    MemberSync({ .sender = address, .members = {}, .reply = true }),
    StewardGrant({ .sender = "m", .sequence = 2, .mark = 3, .elected = true }),
  };
  for (const PeerMessage& message : messages) {
    from.Submit(SendPeer({ .to = address, .message = message }), Distance::kOwnDomain);
  }
  std::vector<Event> received;
  const Time deadline = Clock::now() + kReceiveTimeout;
  while (received.size() < messages.size() && Clock::now() < deadline) {
    for (Event& event : receiverEvents.PopAll(deadline)) {
      received.push_back(std::move(event));
    }
  }
  ASSERT_EQ(received.size(), messages.size());
  for (std::size_t index = 0; index < messages.size(); ++index) {
    EXPECT_EQ(std::get<PeerReceived>(received[index]).Message(), messages[index]);
  }
}

TEST(PeerControl, DeliversMessagesLongerThanADatagram)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> senderEvents(16);
  Ring<Event> receiverEvents(16);
  PeerControl::OpenResult sender =
    PeerControl::Open(settings, senderEvents, [](const ReportItem&) {});
  PeerControl::OpenResult receiver =
    PeerControl::Open(settings, receiverEvents, [](const ReportItem&) {});
  PeerControl& from = *std::get<std::unique_ptr<PeerControl>>(sender);
  PeerControl& to = *std::get<std::unique_ptr<PeerControl>>(receiver);
  from.Start();
  to.Start();
  const PeerAddress address({ .node = "m", .host = "127.0.0.1", .controlPort = to.Port() });
  constexpr std::size_t kMembers = 1000;
  std::vector<Member> members;
  members.reserve(kMembers);
  for (std::size_t index = 0; index < kMembers; ++index) {
    members.push_back(Member({ .address = PeerAddress({ .node = wire::RandomId() }) }));
  }
  const MemberSync message({ .sender = address, .members = members, .reply = true });
  from.Submit(SendPeer({ .to = address, .message = message }), Distance::kOtherRegion);
  const std::vector<Event> received = receiverEvents.PopAll(Clock::now() + kReceiveTimeout);
  ASSERT_EQ(received.size(), 1U);
  EXPECT_EQ(std::get<PeerReceived>(received[0]).Message(), PeerMessage(message));
}

TEST(PeerControl, IgnoresDatagramsWithoutAValidSeal)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> events(16);
  PeerControl::OpenResult opened = PeerControl::Open(settings, events, [](const ReportItem&) {});
  PeerControl& control = *std::get<std::unique_ptr<PeerControl>>(opened);
  control.Start();
  const std::string text = "{\"jsonrpc\":\"2.0\",\"method\":\"mesh_config_offer\",\"params\":"
                           "{\"sender\":{\"node\":\"a\",\"host\":\"h\",\"call_port\":1,"
                           "\"control_port\":2},\"version\":7}}";
  std::string damaged = EncodeFrame("secret", text);
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  asio::io_context io;
  Udp::socket socket(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  const Udp::endpoint to(asio::ip::address_v4::loopback(), control.Port());
  const std::vector<std::string> datagrams{
    "",
    "x",
    text,
    damaged,
    EncodeFrame("other", text),
    EncodeFrame("secret", "{"),
    // The only valid one; when it arrives, the others have been read.
    EncodeFrame("secret", text)
  };
  for (const std::string& datagram : datagrams) {
    socket.send_to(asio::buffer(datagram), to);
  }
  const std::vector<Event> received = events.PopAll(Clock::now() + kReceiveTimeout);
  ASSERT_EQ(received.size(), 1U);
  const PeerReceived& message = std::get<PeerReceived>(received[0]);
  EXPECT_EQ(std::get<MeshConfigOffer>(message.Message()).Version(), 7U);
}

TEST(PeerControl, AnswersANodeOfAnEarlierVersionInItsForm)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> events(16);
  PeerControl::OpenResult opened = PeerControl::Open(settings, events, [](const ReportItem&) {});
  PeerControl& control = *std::get<std::unique_ptr<PeerControl>>(opened);
  control.Start();
  const std::string notification = "{\"jsonrpc\":\"2.0\",\"method\":\"probe_request\",\"params\":"
                                   "{\"sequence\":1,\"subject\":{\"node\":\"a\",\"host\":\"h\","
                                   "\"call_port\":1,\"control_port\":2},\"sender\":{\"node\":\"b\","
                                   "\"host\":\"h\",\"call_port\":1,\"control_port\":2}}}";
  SendRequest(control.Port(),
              "POST /control HTTP/1.1\r\nX-Jackdaw-Seal: " + wire::Seal("secret", notification) +
                "\r\nContent-Length: " + std::to_string(notification.size()) + "\r\n\r\n" +
                notification);
  EXPECT_EQ(events.PopAll(Clock::now() + kReceiveTimeout).size(), 1U);
  FakeServer earlier;
  const PeerAddress address({ .node = "m", .host = "127.0.0.1", .controlPort = earlier.Port() });
  control.Submit(
    SendPeer({ .to = address, .message = MeshConfigOffer({ .sender = address, .version = 3 }) }),
    Distance::kOwnDomain);
  const HttpRequest request = earlier.Accept().ReadRequest();
  EXPECT_EQ(request.target(), "/control");
  EXPECT_TRUE(wire::SealMatches("secret", request.body(), View(request[kSealHeader])));
  EXPECT_NE(request.body().find("\"version\":3"), std::string::npos) << request.body();
}

TEST(PeerControl, RefusesUnsealedAndInvalidMessages)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> events(16);
  PeerControl::OpenResult opened = PeerControl::Open(settings, events, [](const ReportItem&) {});
  PeerControl& control = *std::get<std::unique_ptr<PeerControl>>(opened);
  control.Start();
  const std::string notification = "{\"jsonrpc\":\"2.0\",\"method\":\"probe\",\"params\":{}}";
  struct Case
  {
    const char* name;
    std::string body;
    std::string seal;
    unsigned status;
  };
  const std::vector<Case> cases{
    { "no seal", notification, "", 403 },
    { "other secret", notification, wire::Seal("other", notification), 403 },
    { "other body", notification + " ", wire::Seal("secret", notification), 403 },
    { "not JSON", "{", wire::Seal("secret", "{"), 400 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    const HttpResponse response = SendRequest(
      control.Port(),
      "POST /control HTTP/1.1\r\nX-Jackdaw-Seal: " + testCase.seal +
        "\r\nContent-Length: " + std::to_string(testCase.body.size()) + "\r\n\r\n" + testCase.body);
    EXPECT_EQ(response.result_int(), testCase.status);
  }
  // A validly sealed message whose parameters do not match the schema produces no event either.
  SendRequest(control.Port(),
              "POST /control HTTP/1.1\r\nX-Jackdaw-Seal: " + wire::Seal("secret", notification) +
                "\r\nContent-Length: " + std::to_string(notification.size()) + "\r\n\r\n" +
                notification);
  EXPECT_TRUE(events.PopReady().empty());
}

TEST(Reporting, RequiresTheTokenForStatusAndDrain)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> events(16);
  Reporting::OpenResult opened = Reporting::Open(settings, events);
  Reporting& reporting = *std::get<std::unique_ptr<Reporting>>(opened);
  reporting.Start();
  struct Case
  {
    std::string request;
    unsigned status;
  };
  const std::string token = "Authorization: Bearer token\r\n\r\n";
  const std::vector<Case> cases{
    { "GET /health HTTP/1.1\r\n\r\n", 200 },
    { "GET /health/ready HTTP/1.1\r\n\r\n", 503 },
    { "GET /metrics HTTP/1.1\r\n\r\n", 200 },
    { "GET /status HTTP/1.1\r\n\r\n", 401 },
    { "POST /drain HTTP/1.1\r\nAuthorization: Bearer tokem\r\n\r\n", 401 },
    { "POST /drain HTTP/1.1\r\nAuthorization: Bearer \r\n\r\n", 401 },
    { "GET /drain HTTP/1.1\r\n" + token, 404 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.request);
    EXPECT_EQ(SendRequest(reporting.Port(), testCase.request).result_int(), testCase.status);
  }
  EXPECT_TRUE(events.PopReady().empty());
  EXPECT_EQ(SendRequest(reporting.Port(), "POST /drain HTTP/1.1\r\n" + token).result_int(), 202U);
  EXPECT_EQ(events.PopReady(), std::vector<Event>{ DrainRequested() });
  reporting.Submit(PhaseChanged({ .phase = Phase::kServing }));
  reporting.Submit(StatusReady({ .ticket = 99, .status = NodeStatus() }));
  EXPECT_EQ(SendRequest(reporting.Port(), "GET /health/ready HTTP/1.1\r\n\r\n").result_int(), 200U);
}

TEST(Metrics, LimitsOrganisationLabelsAndCountsBuckets)
{
  Metrics metrics;
  for (std::size_t index = 0; index < Metrics::kMaxOrganisations + 5; ++index) {
    metrics.Record(CallMeasured({ .organisation = "o" + std::to_string(index),
                                  .code = ResultCode::kOk,
                                  .atEntry = true,
                                  .total = std::chrono::milliseconds(3),
                                  .retries = 1 }));
  }
  const std::string text = metrics.Text();
  const std::string labels = "{organisation=\"other\",importance=\"critical\",hop=\"entry\"";
  EXPECT_NE(text.find("jackdawwind_call_seconds_count" + labels + "} 5\n"), std::string::npos);
  EXPECT_NE(text.find("jackdawwind_call_seconds_bucket" + labels + ",le=\"0.002\"} 0\n"),
            std::string::npos);
  EXPECT_NE(text.find("jackdawwind_call_seconds_bucket" + labels + ",le=\"0.005\"} 5\n"),
            std::string::npos);
  EXPECT_NE(text.find("jackdawwind_retries_total 69\n"), std::string::npos);
  EXPECT_EQ(text.find("organisation=\"o64\""), std::string::npos);
}

} // namespace
} // namespace jackdawwind::node
