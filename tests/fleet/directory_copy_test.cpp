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
