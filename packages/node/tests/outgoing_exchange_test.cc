// Guards against an exchange that reports NothingSent although the other side received the request:
// the caller would be told that its request did not run, and it runs.
#include "node/outgoing_exchange.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <gtest/gtest.h>

#include "node/tests/fake_endpoints.h"

namespace jackdawwind::node {
namespace {

using std::chrono::milliseconds;

/// Time limit of the exchanges.
constexpr Duration kTimeout = milliseconds(20);

class OutgoingExchangeTest : public testing::Test
{
protected:
  void Start()
  {
    http::request_header<> header;
    header.method(http::verb::post);
    header.target("/book/1");
    this->exchange = OutgoingExchange::Start(
      this->network,
      { .endpoint = this->server.Endpoint(),
        .header = header,
        .body = std::make_shared<const std::string>("booking"),
        .timeout = kTimeout,
        .silenceLimit = std::nullopt },
      [this](OutgoingResult aResult) { this->result.emplace(std::move(aResult)); });
  }

  /// Runs the first handler of the exchange, which begins to connect.
  void BeginToConnect() { this->io.run_one(); }

  ManualClock clock{ Time(std::chrono::hours(1)) };
  asio::io_context io;
  ConnectionPool pool;
  BodyBudget budget{ 1U << 20U };
  OutgoingNetwork network{ .io = this->io,
                           .pool = this->pool,
                           .budget = this->budget,
                           .maxHeaderBytes = 1024,
                           .maxBodyBytes = 4096 };
  FakeServer server;
  std::shared_ptr<OutgoingExchange> exchange;
  std::optional<OutgoingResult> result;
};

// Guards against a booking that is reported as not sent and is sent after its time, when a process
// that was suspended while it connected resumes.
TEST_F(OutgoingExchangeTest, SendsNothingIfItsTimePassedWhileItConnected)
{
  this->Start();
  this->BeginToConnect();
  FakeConnection connection = this->server.Accept();
  this->clock.Advance(2 * kTimeout);
  // The connection is open and the time limit has passed, so that both handlers are ready.
  this->io.run();
  ASSERT_TRUE(this->result);
  EXPECT_TRUE(std::holds_alternative<NothingSent>(*this->result));
  EXPECT_EQ(connection.ReadAll(), "");
}

// Guards against a send whose time limit starts only when a suspended process resumes.
TEST_F(OutgoingExchangeTest, SendsNothingIfItsTimePassedBeforeItBegan)
{
  this->Start();
  this->clock.Advance(2 * kTimeout);
  this->io.run();
  ASSERT_TRUE(this->result);
  EXPECT_TRUE(std::holds_alternative<NothingSent>(*this->result));
  EXPECT_FALSE(this->server.HasConnection());
}

// Guards against an exchange that reports nothing sent once its request is written.
TEST_F(OutgoingExchangeTest, ReportsTheDeadlineOnceTheRequestIsWritten)
{
  this->Start();
  this->BeginToConnect();
  FakeConnection connection = this->server.Accept();
  // The connection is open, so that the next handler writes the request.
  this->io.run_one();
  this->clock.Advance(2 * kTimeout);
  this->io.run();
  ASSERT_TRUE(this->result);
  EXPECT_TRUE(std::holds_alternative<DeadlineExceeded>(*this->result));
  EXPECT_EQ(connection.ReadRequest().body(), "booking");
}

} // namespace
} // namespace jackdawwind::node
