// Guards against an exception of one handler that ends the thread, and with it the process.
#include "node/handler_guard.h"

#include <stdexcept>
#include <variant>
#include <vector>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace jackdawwind::node {
namespace {

class HandlerGuardTest : public testing::Test
{
protected:
  void ExpectReported(const std::string& aDetail) const
  {
    ASSERT_EQ(this->reports.size(), 2U);
    EXPECT_EQ(std::get<ItemDropped>(this->reports[0]), ItemDropped{ "handler_exceptions" });
    EXPECT_EQ(std::get<LogLine>(this->reports[1]),
              LogLine({ .event = LogEvent::kHandlerFailed, .detail = aDetail }));
  }

  std::vector<ReportItem> reports;
  ReportSink sink = [this](ReportItem aItem) { this->reports.push_back(std::move(aItem)); };
};

TEST_F(HandlerGuardTest, TheLoopRunsTheHandlersAfterAnException)
{
  asio::io_context io;
  int handled = 0;
  asio::post(io, [] { throw std::invalid_argument("odd"); });
  asio::post(io, [&handled] { ++handled; });
  RunEventLoop(io, this->sink, "test");
  EXPECT_EQ(handled, 1);
  this->ExpectReported("thread=test reason=\"odd\"");
}

TEST_F(HandlerGuardTest, AStepThatThrowsIsReported)
{
  EXPECT_TRUE(RunGuarded(this->sink, "test", [] {}));
  EXPECT_TRUE(this->reports.empty());
  EXPECT_FALSE(RunGuarded(this->sink, "test", [] { throw std::length_error("long"); }));
  this->ExpectReported("thread=test reason=\"long\"");
}

} // namespace
} // namespace jackdawwind::node
