// Guards against the reuse of idle connections that may be silent or closed, or that hold the
// answer to another call.
#include "node/connection_pool.h"

#include <string>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jackdawwind::node {
namespace {

class ConnectionPoolTest : public testing::Test
{
protected:
  ConnectionPoolTest()
    : acceptor(this->io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , endpoint(this->acceptor.local_endpoint())
  {
  }

  /// Adds a new idle connection to the pool and returns its remote end.
  Tcp::socket AddIdle()
  {
    Tcp::socket socket(this->io);
    socket.connect(this->endpoint);
    Tcp::socket other = this->acceptor.accept();
    this->pool.Return(this->endpoint, { std::move(socket), Clock::now(), Clock::now() });
    return other;
  }

  ManualClock clock{ Time(std::chrono::hours(1)) };
  asio::io_context io;
  Tcp::acceptor acceptor;
  Tcp::endpoint endpoint;
  ConnectionPool pool;
};

TEST_F(ConnectionPoolTest, ReturnsOnlyRecentlyUsedConnectionsForReuseRecent)
{
  const Tcp::socket other = this->AddIdle();
  this->clock.Advance(ConnectionPool::kRecentUseLimit + Duration(1));
  EXPECT_FALSE(this->pool.Take(this->endpoint, Reuse::kRecent));
  EXPECT_TRUE(this->pool.Take(this->endpoint, Reuse::kAny));
  EXPECT_FALSE(this->pool.Take(this->endpoint, Reuse::kAny));
}

TEST_F(ConnectionPoolTest, SweepClosesConnectionsPastTheIdleLimit)
{
  const Tcp::socket other = this->AddIdle();
  this->clock.Advance(ConnectionPool::kIdleLimit + Duration(1));
  this->pool.Sweep(Clock::now());
  EXPECT_EQ(this->pool.IdleCount(this->endpoint), 0U);
}

TEST_F(ConnectionPoolTest, DropsConnectionsThatTheRemoteEndClosedOrWroteTo)
{
  Tcp::socket closed = this->AddIdle();
  closed.close();
  EXPECT_FALSE(this->pool.Take(this->endpoint, Reuse::kAny));
  Tcp::socket wrote = this->AddIdle();
  asio::write(wrote, asio::buffer(std::string("late answer")));
  EXPECT_FALSE(this->pool.Take(this->endpoint, Reuse::kAny));
}

TEST_F(ConnectionPoolTest, DiscardsConnectionsOpenedBeforeASilenceWasDetected)
{
  const Tcp::socket idle = this->AddIdle();
  Tcp::socket inUse(this->io);
  inUse.connect(this->endpoint);
  const Time opened = Clock::now();
  this->clock.Advance(Duration(1));
  this->pool.DiscardOpenedBefore(this->endpoint, Clock::now());
  EXPECT_EQ(this->pool.IdleCount(this->endpoint), 0U);
  this->pool.Return(this->endpoint, { std::move(inUse), opened, opened });
  EXPECT_EQ(this->pool.IdleCount(this->endpoint), 0U);
  const Tcp::socket fresh = this->AddIdle();
  EXPECT_TRUE(this->pool.Take(this->endpoint, Reuse::kRecent));
}

} // namespace
} // namespace jackdawwind::node
