#include <gtest/gtest.h>

#include "gateway/peer_list.h"

namespace celeryspread::test {

namespace {

EntryPeer MakePeer(const std::string& aName, const std::string& aDomain)
{
  return { InstanceId(aName), { "10.0.0.1", 7381 }, FailureDomainId(aDomain) };
}

class PeerListTest : public ::testing::Test
{
protected:
  PeerListTest()
  {
    m_peers.Set(
      { MakePeer("a", "here"), MakePeer("b", "near"), MakePeer("c", "far") });
  }
  std::string Choose(const std::set<InstanceId>& aTried = {})
  {
    const auto peer = m_peers.Choose(aTried, m_now);
    return peer ? peer->m_instance.Value() : "";
  }

  SeededRandomSource m_random{ 1 };
  PeerList m_peers{ FailureDomainId("here"),
                    { { FailureDomainId("here"), RegionId("r1") },
                      { FailureDomainId("near"), RegionId("r1") },
                      { FailureDomainId("far"), RegionId("r2") } },
                    m_random };
  TimePoint m_now{ std::chrono::seconds(100) };
};

} // namespace

// One peer that takes all forwarded calls would fall over in its turn.
TEST_F(PeerListTest, SpreadsCallsOverAllPeers)
{
  std::map<std::string, int> calls;
  constexpr int kCalls = 30;
  for (int i = 0; i < kCalls; ++i) {
    const std::string peer = Choose();
    ++calls[peer];
    m_peers.RecordStart(InstanceId(peer));
  }
  EXPECT_EQ(calls["a"], kCalls / 3);
  EXPECT_EQ(calls["b"], kCalls / 3);
  EXPECT_EQ(calls["c"], kCalls / 3);
}

TEST_F(PeerListTest, PrefersNearPeersWithEqualCalls)
{
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(Choose(), "c");
  }
  EXPECT_EQ(Choose({ InstanceId("a"), InstanceId("b") }), "c");
  EXPECT_EQ(Choose({ InstanceId("a"), InstanceId("b"), InstanceId("c") }), "");
}

// A peer that fails at once looks idle, and would get every call.
TEST_F(PeerListTest, AvoidsAPeerThatFailedAMomentAgo)
{
  m_peers.RecordStart(InstanceId("a"));
  m_peers.RecordEnd(InstanceId("a"), true, m_now);
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(Choose(), "a");
  }
  m_now += std::chrono::seconds(2);
  EXPECT_EQ(Choose({ InstanceId("b"), InstanceId("c") }), "a");
}

TEST_F(PeerListTest, KeepsWhatIsKnownOfPeersThatStay)
{
  m_peers.RecordStart(InstanceId("a"));
  m_peers.Set({ MakePeer("a", "here"), MakePeer("d", "here") });
  EXPECT_EQ(Choose(), "d");
  m_peers.Set({ MakePeer("d", "here") });
  m_peers.RecordEnd(InstanceId("a"), false, m_now);
  EXPECT_EQ(m_peers.Size(), 1U);
}

} // namespace celeryspread::test
