#include <cstdlib>

#include <gtest/gtest.h>

#include "tests/support/control_cluster.h"

namespace celeryspread::test {

namespace {

/// Enough for an election and for every change of the replica set.
constexpr Duration kSettled = std::chrono::seconds(8);
/// Time between the changes of the operator.
constexpr Duration kChangePeriod = std::chrono::milliseconds(250);
/// Time from when no disk is full any more until a change must be accepted.
constexpr Duration kAckTime = std::chrono::seconds(5);

/// Sends a change every kChangePeriod for aTime to the instance that leads.
void SendChangesFor(ControlCluster& aCluster,
                    Duration aTime,
                    const std::string& aPrefix)
{
  int count = 0;
  for (Duration at{}; at < aTime; at += kChangePeriod) {
    const std::string leader = aCluster.Leader();
    if (!leader.empty()) {
      aCluster.SendChange(leader, aPrefix + std::to_string(count++));
    }
    aCluster.RunFor(kChangePeriod);
  }
}

/// Returns what is wrong after all disks have room again, empty if a change is
/// accepted and every instance has taken part since.
std::string CheckService(ControlCluster& aCluster)
{
  SendChangesFor(aCluster, kAckTime, "after-");
  const std::string leader = aCluster.Leader();
  if (leader.empty()) {
    return "no leader";
  }
  aCluster.SendChange(leader, "last");
  aCluster.RunFor(kAckTime);
  if (aCluster.AcceptedRevision("last") == Revision()) {
    return "no change is accepted";
  }
  const Revision revision = aCluster.AcceptedRevision("last");
  for (const std::string& name : aCluster.Names()) {
    if (aCluster.Host(name).State().Settings().CurrentRevision() != revision) {
      return name + " takes no part any more";
    }
  }
  return "";
}

/// Each disk is full for a time, one after the other and never two at once.
std::string FillOneAfterAnother(size_t aInstances,
                                uint64_t aSeed,
                                Duration aFullTime)
{
  ControlCluster cluster(aInstances, aSeed);
  cluster.SetToleratedLosses(aInstances > 4 ? 2 : 1);
  cluster.RunFor(kSettled);
  for (const std::string& name : cluster.Names()) {
    cluster.Disk(name).SetFull(true);
    SendChangesFor(cluster, aFullTime, name + "-");
    cluster.Disk(name).SetFull(false);
    SendChangesFor(cluster, std::chrono::seconds(2), name + "-room-");
  }
  return CheckService(cluster);
}

} // namespace

// Guards against a control instance that takes no part any more once its disk
// has been full: after the last one of the set, changes are refused for good
// although all disks have room.
TEST(FullDiskTest, InstancesTakePartAgainOnceTheirDisksHaveRoom)
{
  for (const size_t instances : { 3U, 5U, 6U }) {
    for (const int seconds : { 1, 2, 4, 7 }) {
      for (uint64_t seed = 1; seed <= 3; ++seed) {
        EXPECT_EQ(
          FillOneAfterAnother(instances, seed, std::chrono::seconds(seconds)),
          "")
          << instances << " instances, full for " << seconds << " s, seed "
          << seed;
      }
    }
  }
}

// Guards against an instance that ends or stops for want of room for a whole
// snapshot although each record of its log still fits.
TEST(FullDiskTest, InstancesGoOnWithoutRoomForASnapshot)
{
  ControlCluster cluster(3, 5);
  cluster.SetToleratedLosses(1);
  cluster.RunFor(kSettled);
  for (const std::string& name : cluster.Names()) {
    cluster.Disk(name).SetRoomForFiles(16);
  }
  // A snapshot is due after 40 changes.
  SendChangesFor(cluster, std::chrono::seconds(30), "change-");
  for (const std::string& name : cluster.Names()) {
    EXPECT_FALSE(cluster.Host(name).IsSuspended()) << name;
    EXPECT_LE(cluster.Host(name).Replica().Log().SnapshotIndex(), LogIndex(1));
    cluster.Disk(name).SetRoomForFiles(std::nullopt);
  }
  EXPECT_EQ(CheckService(cluster), "");
  for (const std::string& name : cluster.Names()) {
    EXPECT_GT(cluster.Host(name).Replica().Log().SnapshotIndex(), LogIndex(40));
  }
}

// Guards against a change that its sender was told nothing of, and that blocks
// the ones after it: the leader had it in its log when its disk took no writes.
TEST(FullDiskTest, AnotherInstanceLeadsWhileTheLeadersDiskIsFull)
{
  ControlCluster cluster(3, 9);
  cluster.RunFor(kSettled);
  const std::string full = cluster.Leader();
  cluster.Disk(full).SetFull(true);
  cluster.SendChange(full, "unstored");
  cluster.RunFor(std::chrono::seconds(4));
  ASSERT_TRUE(cluster.Host(full).IsSuspended());
  ASSERT_NE(cluster.Leader(), "");
  EXPECT_NE(cluster.Leader(), full);
  cluster.SendChange(cluster.Leader(), "next");
  cluster.RunFor(std::chrono::seconds(1));
  EXPECT_NE(cluster.AcceptedRevision("next"), Revision());
  cluster.Disk(full).SetFull(false);
  EXPECT_EQ(CheckService(cluster), "");
}

// Guards against a replica that was removed for its silence while its disk was
// full, and whose identity could not be erased for want of room.
TEST(FullDiskTest, RemovedReplicaJoinsAnewOnceThereIsRoom)
{
  ControlCluster cluster(6, 11);
  cluster.SetToleratedLosses(2);
  cluster.RunFor(kSettled);
  std::string full;
  for (const std::string& name : cluster.Names()) {
    full = name == cluster.Leader() ? full : name;
  }
  cluster.Crash(full);
  SendChangesFor(cluster, kSettled, "away-");
  ASSERT_EQ(cluster.Host(cluster.Leader()).Replica().Replicas().m_voters.size(),
            5U);
  cluster.Disk(full).SetFull(true);
  cluster.Start(full);
  SendChangesFor(cluster, kSettled, "full-");
  cluster.Disk(full).SetFull(false);
  cluster.RunFor(kSettled);
  EXPECT_EQ(CheckService(cluster), "");
  EXPECT_EQ(cluster.Host(cluster.Leader()).Replica().Replicas().m_voters.size(),
            6U);
}

/// Disks that are full, that fail to sync a file or its folder, and instances
/// that lose power meanwhile, one instance at a time, beside changes.
/// @return what went wrong, empty for nothing.
std::string RunFailingDisks(size_t aInstances, uint64_t aSeed)
{
  SeededRandomSource random(aSeed);
  ControlCluster cluster(aInstances, aSeed);
  cluster.SetToleratedLosses(aInstances > 4 ? 2 : 1);
  cluster.RunFor(kSettled);
  const std::vector<std::string> names = cluster.Names();
  for (int event = 0; event < 12; ++event) {
    const std::string name = names[random.Below(names.size())];
    FakeFileSystem& disk = cluster.Disk(name);
    const uint64_t kind = random.Below(4);
    disk.SetFull(kind == 0);
    disk.SetFailsSync(kind == 1);
    disk.SetFailsFolderSync(kind == 2);
    if (kind == 3) {
      disk.SetRoomForFiles(random.Below(400));
    }
    const std::string prefix = "e" + std::to_string(event);
    SendChangesFor(
      cluster, std::chrono::milliseconds(random.Below(6000)), prefix);
    if (random.Below(3) == 0) {
      cluster.Crash(name);
      cluster.RunFor(std::chrono::milliseconds(500 + random.Below(2000)));
      cluster.Start(name);
    }
    disk.SetFull(false);
    disk.SetFailsSync(false);
    disk.SetFailsFolderSync(false);
    disk.SetRoomForFiles(std::nullopt);
    cluster.ReadEverywhere();
    SendChangesFor(cluster, std::chrono::seconds(5), prefix + "-room-");
    cluster.ReadEverywhere();
  }
  const std::string fault = CheckService(cluster);
  cluster.ReadEverywhere();
  return fault.empty() ? cluster.History().FindViolation() : fault;
}

// By hand: CELERYSPREAD_SOAK_SEEDS=60 runs 60 seeds.
TEST(FullDiskTest, SoakOfFailingDisks)
{
  constexpr uint64_t kSeedsInCi = 5;
  const char* text = std::getenv("CELERYSPREAD_SOAK_SEEDS");
  const uint64_t seeds = text == nullptr ? kSeedsInCi : std::stoull(text);
  for (const size_t instances : { 3U, 6U }) {
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      EXPECT_EQ(RunFailingDisks(instances, seed), "")
        << instances << " instances, seed " << seed;
    }
  }
}

} // namespace celeryspread::test
