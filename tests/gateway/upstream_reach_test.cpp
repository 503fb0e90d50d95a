#include <gtest/gtest.h>

#include "gateway/upstream_reach.h"

namespace celeryspread::test {

namespace {

using Source = UpstreamReach::Source;

constexpr Duration kMoment = std::chrono::milliseconds(100);
constexpr size_t kUpstreams = 18;
const PoolId kPool{ "advice" };

class UpstreamReachTest : public ::testing::Test
{
protected:
  /// A new connection to an upstream fails.
  void Fail(int aUpstream, Source aSource = Source::Attempt)
  {
    m_now += kMoment;
    m_reach.RecordNoConnection(kPool,
                               UpstreamId("e" + std::to_string(aUpstream)),
                               aSource,
                               m_upstreams,
                               m_now);
  }

  UpstreamReach m_reach;
  size_t m_upstreams = kUpstreams;
  TimePoint m_now{ std::chrono::seconds(100) };
};

} // namespace

TEST_F(UpstreamReachTest, IsCutOffOnceNewConnectionsFailAtSeveralUpstreams)
{
  Fail(1);
  Fail(2);
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
  EXPECT_TRUE(m_reach.IsSuspect(kPool, m_now));
  Fail(3);
  EXPECT_TRUE(m_reach.IsCutOff(kPool));
  EXPECT_FALSE(m_reach.IsCutOff(PoolId("ledger")));
  EXPECT_EQ(m_reach.CutOffPools(), std::set<PoolId>{ kPool });
}

// An upstream that has ended fails again and again.
TEST_F(UpstreamReachTest, OneBadUpstreamIsNoPartition)
{
  for (int i = 0; i < 50; ++i) {
    Fail(1);
  }
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
}

TEST_F(UpstreamReachTest, NewConnectionThatWorksEndsTheState)
{
  Fail(1);
  Fail(2);
  m_reach.RecordConnected(kPool);
  Fail(3);
  Fail(4);
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
  Fail(5);
  EXPECT_TRUE(m_reach.IsCutOff(kPool));
  m_reach.RecordConnected(kPool);
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
  EXPECT_FALSE(m_reach.IsSuspect(kPool, m_now));
}

TEST_F(UpstreamReachTest, PoolWithFewUpstreamsIsCutOffFromAllOfThem)
{
  m_upstreams = 2;
  Fail(1);
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
  Fail(2);
  EXPECT_TRUE(m_reach.IsCutOff(kPool));
}

// Upstreams that end one after the other, as in a rolling restart.
TEST_F(UpstreamReachTest, FailuresFarApartHaveNothingToDoWithEachOther)
{
  for (int i = 0; i < 10; ++i) {
    Fail(i);
    m_now += std::chrono::seconds(2);
  }
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
}

// Some upstreams crash at once while others go on answering on connections that
// are open: attempts alone can't tell this from a partition.
TEST_F(UpstreamReachTest, AnswersOnOpenConnectionsNeedProbesToDecide)
{
  Fail(1);
  m_reach.RecordAnswer(kPool, m_now);
  for (int i = 2; i < 6; ++i) {
    Fail(i);
    m_reach.RecordAnswer(kPool, m_now);
  }
  EXPECT_FALSE(m_reach.IsCutOff(kPool));
  // Open connections live on while new ones are refused.
  for (int i = 6; i < 9; ++i) {
    Fail(i, Source::Probe);
    m_reach.RecordAnswer(kPool, m_now);
  }
  EXPECT_TRUE(m_reach.IsCutOff(kPool));
}

} // namespace celeryspread::test
