#include <gtest/gtest.h>

#include "fleet/engine_directory.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

class DirectoryCopyTest : public ::testing::Test
{
protected:
  /// Returns what an owner sends to a copy that is at aVersion.
  static std::vector<EngineDirectory::Entry> ChangesSince(
    const EngineDirectory& aOwner,
    uint64_t aVersion)
  {
    std::vector<EngineDirectory::Entry> changes;
    for (const auto& [id, entry] : aOwner.All()) {
      if (entry.m_changedInVersion > aVersion) {
        changes.push_back(entry);
      }
    }
    return changes;
  }

  static std::vector<EngineDirectory::Entry> EntriesOf(
    const EngineDirectory::Update& aUpdate)
  {
    std::vector<EngineDirectory::Entry> entries;
    for (const EngineDirectory::Entry* entry : aUpdate.m_entries) {
      entries.push_back(*entry);
    }
    return entries;
  }

  TimePoint m_now{ std::chrono::seconds(100) };
  EngineDirectory m_owner;
  EngineDirectory m_copy;
};

/// Engines report their caches all the time, and each report went to every
/// entry with the whole record.
TEST_F(DirectoryCopyTest, CachedWeightsAreNoChangeForEntries)
{
  EngineRecord record = MakeEngine("e", "here", "m");
  m_owner.ApplyList({ record }, m_now);
  const uint64_t version = m_owner.Version();
  record.m_cachedWeights = { "m", "n" };
  m_owner.ApplyList({ record }, m_now);
  EXPECT_EQ(m_owner.Version(), version);
  EXPECT_EQ(m_owner.Find(record.m_id)->m_cachedWeights.size(), 2U);
}

TEST_F(DirectoryCopyTest, CopyFollowsChangesAndRemovals)
{
  m_owner.ApplyList(
    { MakeEngine("a", "here", "m"), MakeEngine("b", "here", "m") }, m_now);
  m_copy.ApplyUpdate(true, m_owner.Version(), ChangesSince(m_owner, 0));
  EXPECT_EQ(m_copy.Version(), m_owner.Version());
  const uint64_t known = m_owner.Version();
  m_owner.ApplyList({ MakeEngine("a", "here", "n") }, m_now);
  m_copy.ApplyUpdate(false, m_owner.Version(), ChangesSince(m_owner, known));
  EXPECT_EQ(m_copy.Find(UpstreamId("b")), nullptr);
  EXPECT_TRUE(m_copy.Find(UpstreamId("a"))->m_models.contains("n"));
  EXPECT_EQ(ChangesSince(m_copy, known).size(), 2U);
}

// Guards against followers that keep engines for good that went before the copy
// they follow now got its first update: it had no record of these to send.
TEST_F(DirectoryCopyTest, FollowerFromBeforeTheFirstUpdateLosesGoneEngines)
{
  m_owner.ApplyList(
    { MakeEngine("a", "here", "m"), MakeEngine("b", "here", "m") }, m_now);
  EngineDirectory follower;
  follower.ApplyUpdate(true, m_owner.Version(), ChangesSince(m_owner, 0));
  m_owner.ApplyList({ MakeEngine("a", "here", "m") }, m_now);
  const auto toCopy = m_owner.UpdateSince(std::nullopt);
  EXPECT_TRUE(toCopy.m_isWhole);
  m_copy.ApplyUpdate(true, m_owner.Version(), EntriesOf(toCopy));
  const auto toFollower = m_copy.UpdateSince(follower.Version());
  follower.ApplyUpdate(
    toFollower.m_isWhole, m_copy.Version(), EntriesOf(toFollower));
  EXPECT_EQ(follower.Find(UpstreamId("b")), nullptr);
  EXPECT_NE(follower.Find(UpstreamId("a")), nullptr);
}

TEST_F(DirectoryCopyTest, FollowerFromAfterTheFirstUpdateGetsChangesOnly)
{
  m_owner.ApplyList(
    { MakeEngine("a", "here", "m"), MakeEngine("b", "here", "m") }, m_now);
  m_copy.ApplyUpdate(true, m_owner.Version(), ChangesSince(m_owner, 0));
  const uint64_t known = m_copy.Version();
  m_owner.ApplyList({ MakeEngine("a", "here", "m") }, m_now);
  m_copy.ApplyUpdate(false, m_owner.Version(), ChangesSince(m_owner, known));
  const auto update = m_copy.UpdateSince(known);
  EXPECT_FALSE(update.m_isWhole);
  EXPECT_EQ(update.m_entries.size(), 1U);
}

TEST_F(DirectoryCopyTest, WholeUpdateReplacesTheCopyOfAnEarlierTerm)
{
  m_owner.ApplyList(
    { MakeEngine("a", "here", "m"), MakeEngine("b", "here", "m") }, m_now);
  m_copy.ApplyUpdate(true, m_owner.Version(), ChangesSince(m_owner, 0));
  EngineDirectory next;
  next.ApplyList({ MakeEngine("c", "here", "m") }, m_now);
  m_copy.ApplyUpdate(true, next.Version(), ChangesSince(next, 0));
  EXPECT_EQ(m_copy.All().size(), 1U);
  EXPECT_EQ(m_copy.Version(), next.Version());
}

} // namespace celeryspread::test
