// Guards against an exchange that reports NothingSent although the other side received the request:
// the caller would be told that its request did not run, and it runs. Guards also against a
// truncated or invalid answer that is reported as complete.
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
  void Start(const std::string& aBody = "booking", Duration aTimeout = kTimeout)
  {
    http::request_header<> header;
    header.method(http::verb::post);
    header.target("/book/1");
    this->exchange = OutgoingExchange::Start(
      this->network,
      { .endpoint = this->server.Endpoint(),
        .header = header,
        .body = std::make_shared<const std::string>(aBody),
        .timeout = aTimeout,
        .silenceLimit = std::nullopt,
        .allowCloseDelimited = true },
      [this](OutgoingResult aResult) { this->result.emplace(std::move(aResult)); });
  }

  /// Runs the first handler of the exchange, which begins to connect.
  void BeginToConnect() { this->io.run_one(); }

  /// Starts an exchange whose request is being written, or is written if it is short.
  FakeConnection BeginToWrite(const std::string& aBody)
  {
    this->Start(aBody, std::chrono::seconds(20));
    this->BeginToConnect();
    FakeConnection connection = this->server.Accept();
    this->io.run_one();
    return connection;
  }

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

/// More than the system buffers between two ends.
const std::string kUpload(16U << 20U, 'u');
const std::string kPart = "HTTP/1.1 200 OK\r\n\r\npart";

// Guards against a part of an answer that counts as complete: the failed write takes the error of
// the reset, and the read after it sees a clean end.
TEST_F(OutgoingExchangeTest, ResetDuringTheUploadIsNoEndOfAnAnswer)
{
  FakeConnection connection = this->BeginToWrite(kUpload);
  connection.Write(kPart);
  connection.Reset();
  this->io.run();
  EXPECT_TRUE(std::holds_alternative<ConnectionBroken>(this->result.value()));
}

// Guards against an end that is clean but comes before the request is written whole.
TEST_F(OutgoingExchangeTest, EndDuringTheUploadIsNoEndOfAnAnswer)
{
  FakeConnection connection = this->BeginToWrite(kUpload);
  connection.Write(kPart);
  connection.ShutdownSend();
  connection.Close(); // with RST, since the request is not read
  this->io.run();
  EXPECT_TRUE(std::holds_alternative<ConnectionBroken>(this->result.value()));
}

// Guards against a reset that counts as the end of an answer to a request that was written whole.
TEST_F(OutgoingExchangeTest, ResetAfterTheRequestIsNoEndOfAnAnswer)
{
  FakeConnection connection = this->BeginToWrite("booking");
  connection.ReadRequest();
  connection.Write(kPart);
  connection.Reset();
  this->io.run();
  EXPECT_TRUE(std::holds_alternative<ConnectionBroken>(this->result.value()));
}

// Guards against a refusal of an upload, or an answer without a length, that counts as broken.
TEST_F(OutgoingExchangeTest, CompleteAnswersStayComplete)
{
  FakeConnection refusing = this->BeginToWrite(kUpload);
  refusing.Write("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
  refusing.Reset();
  this->io.run();
  EXPECT_TRUE(std::holds_alternative<CompleteAnswer>(this->result.value()));
  this->result.reset();
  this->io.restart();
  FakeConnection connection = this->BeginToWrite("booking");
  connection.ReadRequest();
  connection.Write(kPart);
  connection.Close();
  this->io.run();
  EXPECT_TRUE(std::holds_alternative<CompleteAnswer>(this->result.value()));
}

// Guards against a status that no caller can read, or that promises that nothing ran.
TEST_F(OutgoingExchangeTest, InvalidStatusIsNoAnswer)
{
  const std::string endless = "HTTP/1.1 102 Processing\r\n\r\n";
  std::string interim;
  for (unsigned count = 0; count <= OutgoingExchange::kMaxInterimAnswers; ++count) {
    interim += endless;
  }
  for (const std::string& bytes : { std::string("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"),
                                    std::string("HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n"),
                                    std::string("HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"),
                                    std::string("HTTP/1.1 999 X\r\n\r\nbody"),
                                    std::string("HTTP/1.1 101 Switching\r\n\r\n"),
                                    std::string("HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n"
                                                "Content-Length: 0\r\n\r\n"),
                                    interim }) {
    SCOPED_TRACE(bytes.substr(0, 40));
    FakeConnection connection = this->BeginToWrite("booking");
    connection.ReadRequest();
    connection.Write(bytes);
    connection.ShutdownSend();
    this->io.run();
    EXPECT_TRUE(std::holds_alternative<ConnectionBroken>(this->result.value()));
    this->result.reset();
    this->io.restart();
  }
}

// Guards against an answer whose head is cut short and that counts as complete, with an empty body.
TEST_F(OutgoingExchangeTest, HeadCutShortIsNoAnswer)
{
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string start = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
  const std::string heads[] = {
    start + "Content-Length: 10\r\n\r\n",
    start + "Transfer-Encoding: chunked\r\n\r\n",
    start + "Connection: close\r\n\r\n",
    interim + start + "Content-Length: 0\r\n\r\n",
  };
  for (const std::string& head : heads) {
    for (std::size_t length = 0; length < head.size(); ++length) {
      for (const bool reset : { false, true }) {
        SCOPED_TRACE(head.substr(0, length) + (reset ? " and a reset" : " and an end"));
        FakeConnection connection = this->BeginToWrite("booking");
        connection.ReadRequest();
        connection.Write(head.substr(0, length));
        if (reset) {
          connection.Reset();
        } else {
          connection.ShutdownSend();
        }
        this->io.run();
        EXPECT_TRUE(std::holds_alternative<ConnectionBroken>(this->result.value()));
        this->result.reset();
        this->io.restart();
      }
    }
  }
}

} // namespace
} // namespace jackdawwind::node
