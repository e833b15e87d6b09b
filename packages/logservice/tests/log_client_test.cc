// Guards against an append that is reported as rejected although it may have taken effect, and
// against a read that fails, hangs or grows without limit when the log service misbehaves.
#include "logservice/log_client.h"

#include <optional>

#include <gtest/gtest.h>

#include "standins/log_service/log_service_thread.h"
#include "wire/codec.h"
#include "wire/generated/records_codec.h"

namespace jackdawwind::logservice {
namespace {

using standins::LogService;
using standins::LogServiceThread;

const Record kRecord =
  ClaimRelease({ .organisation = "o", .key = "k", .owner = "n1-1", .number = 7 });

LogServiceSettings
SettingsFor(std::uint16_t aPort)
{
  return LogServiceSettings(
    { .host = "127.0.0.1", .port = aPort, .timeoutMs = std::chrono::milliseconds(300) });
}

AppendOutcome
AppendOne(std::uint16_t aPort)
{
  boost::asio::io_context context;
  LogClient client(context, SettingsFor(aPort));
  std::optional<AppendOutcome> outcome;
  client.Append("s", { kRecord }, [&outcome](AppendOutcome aOutcome) { outcome = aOutcome; });
  context.run();
  return outcome.value();
}

LogReadResult
ReadFrom(std::uint16_t aPort, const LogReadRequest& aRequest)
{
  boost::asio::io_context context;
  LogClient client(context, SettingsFor(aPort));
  std::optional<LogReadResult> result;
  client.Read(aRequest, [&result](LogReadResult aResult) { result = std::move(aResult); });
  context.run();
  return result.value();
}

TEST(LogClient, DistinguishesRejectedFromUnknownAppends)
{
  struct Case
  {
    LogFaultMode mode;
    AppendOutcome outcome;
    std::size_t recordsAfter;
  };
  const Case cases[] = {
    { LogFaultMode::kNone, Appended({ .firstOffset = 0 }), 1 },
    { LogFaultMode::kSlow, Appended({ .firstOffset = 0 }), 1 },
    { LogFaultMode::kRefuse, AppendRejected(), 0 },
    { LogFaultMode::kStall, AppendUnknown(), 0 },
    { LogFaultMode::kLoseAppendAnswers, AppendUnknown(), 1 },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(ToText(testCase.mode));
    LogServiceThread service;
    service.Call([&testCase](LogService& aService) {
      aService.SetFaults(
        LogFaults({ .mode = testCase.mode, .delayMs = std::chrono::milliseconds(5) }));
    });
    EXPECT_EQ(AppendOne(service.Port()), testCase.outcome);
    EXPECT_EQ(service.Call([](LogService& aService) { return aService.Records("s").size(); }),
              testCase.recordsAfter);
  }
}

TEST(LogClient, ReadsPastExpiredAndCorruptRecords)
{
  LogServiceThread service;
  service.Call([](LogService& aService) {
    Json::Value records(Json::arrayValue);
    records.append(wire::Encode(kRecord));
    records.append(wire::Encode(kRecord));
    records[1]["number"] = "seven";
    records.append(wire::Encode(kRecord));
    aService.Append("s", records);
    aService.Expire(LogExpiry({ .stream = "s", .expireBefore = 1 }));
  });
  struct Case
  {
    const char* name;
    LogReadRequest request;
    LogRead expected;
  };
  const LogRecord corrupt(
    { .offset = 1,
      .record =
        CorruptRecord({ .reason = "number: expected a non-negative integer, found a string" }) });
  const LogRecord last({ .offset = 2, .record = kRecord });
  const Case cases[] = {
    { "expired and corrupt records",
      { .stream = "s", .from = 0 },
      LogRead(
        { .stream = "s", .firstRetained = 1, .records = { corrupt, last }, .next = 3, .end = 3 }) },
    { "a limit",
      { .stream = "s", .from = 0, .limit = 1 },
      LogRead({ .stream = "s", .firstRetained = 1, .records = { corrupt }, .next = 2, .end = 3 }) },
    { "nothing new",
      { .stream = "s", .from = 3, .wait = std::chrono::milliseconds(10) },
      LogRead({ .stream = "s", .firstRetained = 1, .next = 3, .end = 3 }) },
    { "unknown stream", { .stream = "t", .from = 4 }, LogRead({ .stream = "t", .next = 4 }) },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    EXPECT_EQ(ReadFrom(service.Port(), testCase.request), LogReadResult(testCase.expected));
  }
}

// Guards against one deeply nested record that makes its stream unreadable for every reader.
TEST(LogClient, DeeplyNestedRecordDoesNotBlockItsStream)
{
  LogServiceThread service;
  service.Call([](LogService& aService) {
    Json::Value deep(Json::arrayValue);
    for (int level = 0; level < 100; ++level) {
      Json::Value outer(Json::arrayValue);
      outer.append(deep);
      deep = outer;
    }
    Json::Value records(Json::arrayValue);
    records.append(deep);
    records.append(wire::Encode(kRecord));
    aService.Append("s", records);
  });
  const LogReadResult result = ReadFrom(service.Port(), { .stream = "s", .from = 0 });
  const LogRead* read = std::get_if<LogRead>(&result);
  ASSERT_NE(read, nullptr);
  ASSERT_EQ(read->Records().size(), 2U);
  EXPECT_TRUE(std::holds_alternative<CorruptRecord>(read->Records()[0].GetRecord()));
  EXPECT_EQ(read->Records()[1].GetRecord(), kRecord);
}

TEST(LogClient, ReportsRejectionOnlyWithProof)
{
  struct Case
  {
    const char* name;
    HttpOutcome outcome;
    AppendOutcome expected;
  };
  const Case cases[] = {
    { "no connection", HttpNotSent({ .reason = "refused" }), AppendRejected() },
    { "no answer", HttpNoAnswer({ .reason = "reset" }), AppendUnknown() },
    { "too large", HttpTooLarge({ .limit = 1 }), AppendUnknown() },
    { "taken",
      HttpAnswer({ .status = 200, .body = R"({"first_offset":18446744073709551615})" }),
      Appended({ .firstOffset = 18446744073709551615ULL }) },
    { "no offset", HttpAnswer({ .status = 200, .body = "{}" }), AppendUnknown() },
    { "no JSON", HttpAnswer({ .status = 201, .body = "taken" }), AppendUnknown() },
    { "redirect", HttpAnswer({ .status = 307 }), AppendUnknown() },
    { "bad request", HttpAnswer({ .status = 400 }), AppendRejected() },
    { "request timeout", HttpAnswer({ .status = 408 }), AppendUnknown() },
    { "internal error", HttpAnswer({ .status = 500 }), AppendUnknown() },
    { "unavailable", HttpAnswer({ .status = 503 }), AppendRejected() },
    { "gateway timeout", HttpAnswer({ .status = 504 }), AppendUnknown() },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.name);
    EXPECT_EQ(DecodeAppendOutcome(testCase.outcome), testCase.expected);
  }
}

TEST(LogClient, RejectsInvalidReadResponses)
{
  const char* const cases[] = {
    "",
    "[]",
    R"({"first_retained":0,"end":1})",
    R"({"first_retained":-1,"end":1,"records":[]})",
    R"({"first_retained":0,"end":"1","records":[]})",
    R"({"first_retained":0,"end":1,"records":[7]})",
    R"({"first_retained":0,"end":1,"records":[{"record":{}}]})",
    R"({"first_retained":0,"end":1,"records":[{"offset":1,"record":{}}]})",
    R"({"first_retained":0,"end":9,"records":[{"offset":4,"record":{}}]})",
    R"({"first_retained":0,"end":9,"records":[{"offset":6,"record":{}},{"offset":6,"record":{}}]})",
  };
  const LogReadRequest request{ .stream = "s", .from = 5 };
  for (const char* body : cases) {
    SCOPED_TRACE(body);
    const LogReadResult result =
      DecodeReadOutcome(request, HttpAnswer({ .status = 200, .body = body }));
    EXPECT_TRUE(std::holds_alternative<LogReadError>(result));
  }
}

TEST(LogClient, RejectsOversizedAppendsAndInvalidStreamNames)
{
  LogServiceThread service;
  struct Case
  {
    const char* stream;
    std::size_t bytes;
  };
  const Case cases[] = { { "s", kMaxAppendBytes }, { "s/../../faults", 1 }, { "", 1 } };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.stream);
    boost::asio::io_context context;
    LogClient client(context, SettingsFor(service.Port()));
    std::optional<AppendOutcome> outcome;
    client.Append(testCase.stream,
                  { CorruptRecord({ .reason = std::string(testCase.bytes, 'x') }) },
                  [&outcome](AppendOutcome aOutcome) { outcome = aOutcome; });
    context.run();
    EXPECT_EQ(outcome, AppendOutcome(AppendRejected()));
  }
  EXPECT_EQ(service.Call([](LogService& aService) { return aService.Requests(); }), 0U);
}

} // namespace
} // namespace jackdawwind::logservice
