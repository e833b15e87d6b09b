// Guards against control messages that are taken without a valid seal or lost between two nodes, an
// administration API that is open, and metrics that grow with the number of organisations.
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "node/metrics.h"
#include "node/peer_control.h"
#include "node/reporting.h"
#include "node/tests/fake_endpoints.h"
#include "wire/crypto.h"

namespace jackdawwind::node {
namespace {

constexpr Duration kPatience = std::chrono::seconds(20);

NodeSettings
MakeSettings()
{
  return NodeSettings(
    { .node = "n", .domain = "d", .region = "r", .adminToken = "token", .fleetSecret = "secret" });
}

HttpResponse
Exchange(std::uint16_t aPort, const std::string& aRequest)
{
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), aPort));
  FakeConnection connection(std::move(socket));
  connection.Write(aRequest);
  return connection.ReadResponse().value_or(HttpResponse());
}

TEST(PeerControl, DeliversASealedMessageToAnotherNode)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> senderEvents(16);
  Ring<Event> receiverEvents(16);
  PeerControl::Opened sender = PeerControl::Open(settings, senderEvents, [](const ReportItem&) {});
  PeerControl::Opened receiver =
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
    from.Submit(SendPeer({ .to = address, .message = message }));
  }
  std::vector<Event> received;
  const Time deadline = Clock::now() + kPatience;
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

TEST(PeerControl, RefusesMessagesThatAreNotSealedOrNotValid)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> events(16);
  PeerControl::Opened opened = PeerControl::Open(settings, events, [](const ReportItem&) {});
  PeerControl& control = *std::get<std::unique_ptr<PeerControl>>(opened);
  control.Start();
  const std::string sealed = "{\"jsonrpc\":\"2.0\",\"method\":\"probe\",\"params\":{}}";
  struct Case
  {
    const char* name;
    std::string body;
    std::string seal;
    unsigned status;
  };
  const std::vector<Case> cases{
    { "no seal", sealed, "", 403 },
    { "other secret", sealed, wire::Seal("other", sealed), 403 },
    { "other body", sealed + " ", wire::Seal("secret", sealed), 403 },
    { "not JSON", "{", wire::Seal("secret", "{"), 400 },
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.name);
    const HttpResponse response =
      Exchange(control.Port(),
               "POST /control HTTP/1.1\r\nX-Jackdaw-Seal: " + one.seal +
                 "\r\nContent-Length: " + std::to_string(one.body.size()) + "\r\n\r\n" + one.body);
    EXPECT_EQ(response.result_int(), one.status);
  }
  // A valid seal with parameters that do not match the schema makes no event either.
  Exchange(control.Port(),
           "POST /control HTTP/1.1\r\nX-Jackdaw-Seal: " + wire::Seal("secret", sealed) +
             "\r\nContent-Length: " + std::to_string(sealed.size()) + "\r\n\r\n" + sealed);
  EXPECT_TRUE(events.PopReady().empty());
}

TEST(Reporting, ServesStatusAndDrainOnlyWithTheToken)
{
  const NodeSettings settings = MakeSettings();
  Ring<Event> events(16);
  Reporting::Opened opened = Reporting::Open(settings, events);
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
  for (const Case& one : cases) {
    SCOPED_TRACE(one.request);
    EXPECT_EQ(Exchange(reporting.Port(), one.request).result_int(), one.status);
  }
  EXPECT_TRUE(events.PopReady().empty());
  EXPECT_EQ(Exchange(reporting.Port(), "POST /drain HTTP/1.1\r\n" + token).result_int(), 202U);
  EXPECT_EQ(events.PopReady(), std::vector<Event>{ DrainRequested() });
  reporting.Submit(PhaseChanged({ .phase = Phase::kServing }));
  reporting.Submit(StatusReady({ .ticket = 99, .status = NodeStatus() }));
  EXPECT_EQ(Exchange(reporting.Port(), "GET /health/ready HTTP/1.1\r\n\r\n").result_int(), 200U);
}

TEST(Metrics, BoundsOrganisationsAndCountsBuckets)
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
