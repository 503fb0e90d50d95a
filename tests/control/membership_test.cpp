#include <gtest/gtest.h>

#include "tests/support/control_cluster.h"

namespace celeryspread::test {

namespace {

constexpr Duration kSettled = std::chrono::seconds(8);

/// The same instance loses its disk twice, the second time while its first
/// new replica is on the way to become a voter.
std::string LoseDiskTwice(Duration aBetween)
{
  ControlCluster cluster(3, 4);
  cluster.RunFor(kSettled);
  cluster.LoseDisk("c1");
  cluster.Start("c1");
  cluster.RunFor(aBetween);
  cluster.LoseDisk("c1");
  cluster.Start("c1");
  cluster.RunFor(kSettled);
  const std::string leader = cluster.Leader();
  if (leader.empty()) {
    return "no leader";
  }
  cluster.SendChange(leader, "after");
  cluster.RunFor(kSettled);
  return cluster.AcceptedAs("after") == Revision() ? "nothing is accepted" : "";
}

size_t VoterCount(ControlCluster& aCluster)
{
  return aCluster.Host(aCluster.Leader()).Replica().Replicas().m_voters.size();
}

} // namespace

TEST(MembershipTest, SecondLossOfADiskDuringTheRepairKeepsTheQuorum)
{
  for (int milliseconds = 0; milliseconds < 2000; milliseconds += 10) {
    EXPECT_EQ(LoseDiskTwice(std::chrono::milliseconds(milliseconds)), "")
      << milliseconds << " ms between the losses";
  }
}

TEST(MembershipTest, InstanceAtANewAddressReplacesTheOneThatIsGone)
{
  ControlCluster cluster(3, 7);
  cluster.SetToleratedLosses(1);
  cluster.RunFor(kSettled);
  cluster.Crash("c2");
  cluster.AddEmpty("c4");
  cluster.RunFor(kSettled);
  ASSERT_NE(cluster.Leader(), "");
  EXPECT_EQ(VoterCount(cluster), 3U);
  // The next loss is borne as well.
  cluster.Crash(cluster.Leader());
  cluster.RunFor(kSettled);
  EXPECT_NE(cluster.Leader(), "");
}

TEST(MembershipTest, SilentVoterStaysWhileNobodyTakesItsPlace)
{
  ControlCluster cluster(3, 9);
  cluster.SetToleratedLosses(1);
  cluster.RunFor(kSettled);
  cluster.Crash("c2");
  cluster.RunFor(kSettled);
  EXPECT_EQ(VoterCount(cluster), 3U);
  cluster.Start("c2");
  cluster.RunFor(kSettled);
  EXPECT_EQ(VoterCount(cluster), 3U);
}

TEST(MembershipTest, ReplicaThatWasReplacedIsTold)
{
  ControlCluster cluster(3, 11);
  cluster.SetToleratedLosses(1);
  cluster.RunFor(kSettled);
  const ReplicaId replaced("c2.1");
  cluster.Crash("c2");
  cluster.AddEmpty("c4");
  cluster.RunFor(kSettled);
  ReplicaHost& leader = cluster.Host(cluster.Leader());
  EXPECT_EQ(leader.Join(replaced, { InstanceId("c2"), "c2", 1 }),
            JoinVerdict::Removed);
}

TEST(MembershipTest, RemovalThatIsNotCommittedIsNotTold)
{
  ControlCluster cluster(3, 13);
  cluster.RunFor(kSettled);
  const std::string leader = cluster.Leader();
  ASSERT_NE(leader, "");
  std::string other;
  for (const std::string& name : cluster.Names()) {
    other = name == leader ? other : name;
  }
  // The leader hears of a new disk of another instance and is cut off before
  // anyone else learns of the removal; another leader may never see it.
  cluster.SetGroups({ { leader } });
  const ReplicaId lost(other + ".1");
  ReplicaHost& host = cluster.Host(leader);
  EXPECT_EQ(host.Join(ReplicaId(other + ".9"), { InstanceId(other), other, 1 }),
            JoinVerdict::Accepted);
  ASSERT_TRUE(host.Replica().Replicas().m_removed.contains(lost));
  EXPECT_EQ(host.Join(lost, { InstanceId(other), other, 1 }),
            JoinVerdict::Accepted);
}

} // namespace celeryspread::test
