#include <gtest/gtest.h>

#include "gateway/reach_probe.h"
#include "tests/support/gateway_fixture.h"

namespace celeryspread::test {

namespace {

class ReachProbeTest : public GatewayFixture
{
protected:
  ReachProbeTest()
  {
    m_probe.SetConfig(m_gateway.Config());
    m_table.Update(MakeEngine("e3", "here", "m"));
  }
  void FailConnection(size_t aIndex)
  {
    Attempt(aIndex).m_observer->OnUpstreamFailed(
      { UpstreamFailureKind::ConnectFailed, false, "no connection" });
  }
  void FailAttempt(const std::string& aUpstream)
  {
    m_reach.RecordNoConnection(PoolId("pool"),
                               UpstreamId(aUpstream),
                               UpstreamReach::Source::Attempt,
                               3,
                               m_clock.Now());
  }

  UpstreamReach m_reach;
  ReachProbe m_probe{
    { m_clock, m_timers, m_client, m_table, m_reach, m_log }
  };
};

constexpr Duration kRound = std::chrono::milliseconds(150);

} // namespace

TEST_F(ReachProbeTest, SendsNothingWithoutDoubt)
{
  m_time.RunFor(std::chrono::seconds(10));
  EXPECT_TRUE(m_client.m_attempts.empty());
}

// A few attempts that fail don't say whether others would.
TEST_F(ReachProbeTest, AsksSeveralUpstreamsOnNewConnectionsAfterAFailure)
{
  FailAttempt("e1");
  m_time.RunFor(kRound);
  ASSERT_EQ(m_client.m_attempts.size(), 3U);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(Attempt(i).m_request.m_path, "/healthz");
    EXPECT_FALSE(Attempt(i).m_request.m_mayReuseConnection);
    FailConnection(i);
  }
  EXPECT_TRUE(m_reach.IsCutOff(PoolId("pool")));
}

TEST_F(ReachProbeTest, AnyAnswerShowsThatUpstreamsAreInReach)
{
  FailAttempt("e1");
  m_time.RunFor(kRound);
  FailConnection(0);
  FailConnection(1);
  Answer(2, 503, {});
  EXPECT_FALSE(m_reach.IsCutOff(PoolId("pool")));
  EXPECT_FALSE(m_reach.IsSuspect(PoolId("pool"), m_clock.Now()));
}

// Connections that hang bring no failure for long: calls wait until their
// deadline.
TEST_F(ReachProbeTest, AsksOnceAllBusyUpstreamsAreSilent)
{
  for (const char* id : { "e1", "e2" }) {
    m_table.RecordStart(UpstreamId(id), Duration::zero(), m_clock.Now());
  }
  m_time.RunFor(std::chrono::milliseconds(300));
  EXPECT_TRUE(m_client.m_attempts.empty());
  m_time.RunFor(std::chrono::milliseconds(500));
  EXPECT_EQ(m_client.m_attempts.size(), 3U);
}

TEST_F(ReachProbeTest, OneSilentUpstreamIsNoReasonToAsk)
{
  m_table.RecordStart(UpstreamId("e1"), Duration::zero(), m_clock.Now());
  m_time.RunFor(std::chrono::seconds(2));
  EXPECT_TRUE(m_client.m_attempts.empty());
}

// Callers must be served directly again soon after the partition has ended.
TEST_F(ReachProbeTest, AsksFromTimeToTimeWhileCutOff)
{
  for (const char* id : { "e1", "e2", "e3" }) {
    FailAttempt(id);
  }
  ASSERT_TRUE(m_reach.IsCutOff(PoolId("pool")));
  m_time.RunFor(std::chrono::seconds(1));
  const size_t sent = m_client.m_attempts.size();
  EXPECT_GE(sent, 2U);
  EXPECT_LE(sent, 5U);
  Answer(sent - 1, 200, m_good);
  EXPECT_FALSE(m_reach.IsCutOff(PoolId("pool")));
}

} // namespace celeryspread::test
