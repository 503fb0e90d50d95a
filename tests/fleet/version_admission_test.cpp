#include <gtest/gtest.h>

#include "fleet/version_admission.h"

namespace celeryspread::test {

namespace {

EngineRecord MakeListed(const std::string& aId,
                        const std::string& aPool,
                        const std::string& aSoftware)
{
  EngineRecord record;
  record.m_id = UpstreamId(aId);
  record.m_pool = PoolId(aPool);
  record.m_software = SoftwareVersion(aSoftware);
  return record;
}

} // namespace

class VersionAdmissionTest : public ::testing::Test
{
protected:
  /// Returns the ids of the engines that may be used.
  std::string Admit(std::vector<EngineRecord> aList)
  {
    m_admission.Filter(aList);
    std::string ids;
    for (const EngineRecord& record : aList) {
      ids += record.m_id.Value() + " ";
    }
    return ids;
  }

  PoolVersions m_recorded;
  VersionAdmission m_admission{ [this](const PoolId& aPool,
                                       const SoftwareVersion& aVersion) {
    const auto pool = m_recorded.find(aPool);
    return pool != m_recorded.end() && pool->second.contains(aVersion);
  } };
};

// Guards against engines that are used before every owner knows that streams
// can begin at their version.
TEST_F(VersionAdmissionTest, EngineWaitsUntilItsVersionIsRecorded)
{
  const std::vector<EngineRecord> list = { MakeListed("a", "p", "v1"),
                                           MakeListed("b", "p", "v2"),
                                           MakeListed("c", "q", "v2") };
  EXPECT_EQ(Admit(list), "");
  EXPECT_EQ(m_admission.Listed().size(), 2U);
  EXPECT_FALSE(m_admission.TakeAdmitted());
  m_recorded[PoolId("p")] = { SoftwareVersion("v1") };
  EXPECT_FALSE(m_admission.TakeAdmitted());
  EXPECT_EQ(Admit(list), "a ");
  // A version counts in the pool of which it is recorded only.
  m_recorded[PoolId("p")].insert(SoftwareVersion("v2"));
  EXPECT_TRUE(m_admission.TakeAdmitted());
  EXPECT_FALSE(m_admission.TakeAdmitted());
  EXPECT_EQ(Admit(list), "a b ");
  m_recorded[PoolId("q")] = { SoftwareVersion("v2") };
  EXPECT_TRUE(m_admission.TakeAdmitted());
  EXPECT_EQ(Admit(list), "a b c ");
}

TEST_F(VersionAdmissionTest, ChangesOfTheListedVersionsAreNumbered)
{
  EXPECT_EQ(m_admission.ListedVersion(), 0U);
  Admit({});
  const uint64_t first = m_admission.ListedVersion();
  EXPECT_GT(first, 0U);
  Admit({ MakeListed("a", "p", "v1") });
  const uint64_t second = m_admission.ListedVersion();
  EXPECT_GT(second, first);
  Admit({ MakeListed("b", "p", "v1") });
  EXPECT_EQ(m_admission.ListedVersion(), second);
  m_admission.Clear();
  EXPECT_EQ(m_admission.ListedVersion(), 0U);
  EXPECT_TRUE(m_admission.Listed().empty());
}

} // namespace celeryspread::test
