#include <gtest/gtest.h>

#include "tests/support/control_cluster.h"

namespace celeryspread::test {

namespace {

/// Enough for an election and for every change of the replica set.
constexpr Duration kSettled = std::chrono::seconds(8);

/// An instance loses its disk twice, the second time while its new replica is
/// being added. However long that takes, the cluster must keep a quorum.
/// @return what went wrong, empty when a change is accepted afterwards.
std::string LoseDiskTwiceDuringRepair(Duration aBetween)
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
  return cluster.AcceptedRevision("after") == Revision() ? "nothing is accepted"
                                                         : "";
}

size_t VoterCount(ControlCluster& aCluster)
{
  return aCluster.Host(aCluster.Leader()).Replica().Replicas().m_voters.size();
}

/// Returns the instances without the leader.
std::vector<std::string> Followers(const ControlCluster& aCluster)
{
  std::vector<std::string> followers = aCluster.Names();
  std::erase(followers, aCluster.Leader());
  return followers;
}

/// Two voters lose power and return nearly together, after a silence that is
/// long enough for their removal.
/// @return what went wrong, empty when the replica set is the same afterwards.
std::string ReturnTwoVoters(uint64_t aSeed, Duration aBetween)
{
  ControlCluster cluster(6, aSeed);
  cluster.SetToleratedLosses(2);
  cluster.RunFor(kSettled);
  const std::vector<std::string> followers = Followers(cluster);
  cluster.Crash(followers[0]);
  cluster.Crash(followers[1]);
  cluster.RunFor(kSettled);
  const ReplicaSet before = cluster.Host(cluster.Leader()).Replica().Replicas();
  cluster.Start(followers[0]);
  cluster.RunFor(aBetween);
  cluster.Start(followers[1]);
  cluster.RunFor(std::chrono::seconds(2));
  if (cluster.Leader().empty()) {
    return "no leader";
  }
  const ReplicaSet after = cluster.Host(cluster.Leader()).Replica().Replicas();
  return after.m_voters == before.m_voters ? "" : "a voter was removed";
}

} // namespace

// Guards against the removal of a voter that has just come back: the answer of
// another one that came back with it made the number of answering voters high
// enough, and the silence was counted from before the return.
TEST(MembershipTest, VotersThatReturnTogetherStayVoters)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (int milliseconds = 0; milliseconds <= 700; milliseconds += 50) {
      EXPECT_EQ(ReturnTwoVoters(seed, std::chrono::milliseconds(milliseconds)),
                "")
        << "seed " << seed << ", " << milliseconds << " ms between the starts";
    }
  }
}

// Guards against replicas that can't join because they ask the seeds only and
// none of these leads.
TEST(MembershipTest, ReplicaJoinsWhileNoSeedLeads)
{
  ControlCluster cluster(5, 17);
  cluster.SetToleratedLosses(2);
  cluster.RunFor(kSettled);
  cluster.SetSeeds(Followers(cluster));
  const std::string lost = Followers(cluster).front();
  cluster.LoseDisk(lost);
  cluster.Start(lost);
  constexpr Duration kCatchUpTime = std::chrono::seconds(4);
  cluster.RunFor(kCatchUpTime);
  ASSERT_NE(cluster.Leader(), "");
  EXPECT_TRUE(cluster.Host(cluster.Leader())
                .Replica()
                .Replicas()
                .m_voters.contains(ReplicaId(lost + ".2")));
}

// The same for a replica that was removed while it was away: it believes that
// it is a voter, so it learns of the removal only by asking.
TEST(MembershipTest, RemovedReplicaRejoinsWhileNoSeedLeads)
{
  ControlCluster cluster(6, 19);
  cluster.SetToleratedLosses(2);
  cluster.RunFor(kSettled);
  cluster.SetSeeds(Followers(cluster));
  const std::string away = Followers(cluster).front();
  cluster.Crash(away);
  cluster.RunFor(kSettled);
  ASSERT_EQ(VoterCount(cluster), 5U);
  cluster.Start(away);
  cluster.RunFor(kSettled);
  ASSERT_NE(cluster.Leader(), "");
  EXPECT_TRUE(cluster.Host(cluster.Leader())
                .Replica()
                .Replicas()
                .m_voters.contains(ReplicaId(away + ".2")));
}

TEST(MembershipTest, SecondLossOfADiskDuringTheRepairKeepsTheQuorum)
{
  for (int milliseconds = 0; milliseconds < 2000; milliseconds += 10) {
    EXPECT_EQ(
      LoseDiskTwiceDuringRepair(std::chrono::milliseconds(milliseconds)), "")
      << milliseconds << " ms between the losses";
  }
}

TEST(MembershipTest, NewInstanceReplacesALostOne)
{
  ControlCluster cluster(3, 7);
  cluster.SetToleratedLosses(1);
  cluster.RunFor(kSettled);
  cluster.Crash("c2");
  cluster.AddInstance("c4");
  cluster.RunFor(kSettled);
  ASSERT_NE(cluster.Leader(), "");
  EXPECT_EQ(VoterCount(cluster), 3U);
  // The cluster tolerates the next loss as well.
  cluster.Crash(cluster.Leader());
  cluster.RunFor(kSettled);
  EXPECT_NE(cluster.Leader(), "");
}

TEST(MembershipTest, SilentVoterStaysWithoutAReplacement)
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

TEST(MembershipTest, RemovedReplicaLearnsOfItsRemoval)
{
  ControlCluster cluster(3, 11);
  cluster.SetToleratedLosses(1);
  cluster.RunFor(kSettled);
  const ReplicaId replaced("c2.1");
  cluster.Crash("c2");
  cluster.AddInstance("c4");
  cluster.RunFor(kSettled);
  ReplicaHost& leader = cluster.Host(cluster.Leader());
  EXPECT_EQ(leader.Join(replaced, { InstanceId("c2"), "c2", 1 }),
            JoinVerdict::Removed);
}

TEST(MembershipTest, UncommittedRemovalIsNotReported)
{
  ControlCluster cluster(3, 13);
  cluster.RunFor(kSettled);
  const std::string leader = cluster.Leader();
  ASSERT_NE(leader, "");
  std::string other;
  for (const std::string& name : cluster.Names()) {
    other = name == leader ? other : name;
  }
  // Cut off from the others, the leader receives a request to join from a new
  // replica of another instance. The removal of the earlier replica can't be
  // committed, and another leader may never see it.
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
