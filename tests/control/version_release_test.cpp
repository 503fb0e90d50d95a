#include "tests/support/control_instance_fixture.h"

namespace celeryspread::test {

namespace {

const PoolId kPool("pool");

EngineRecord MakeListed(const std::string& aId, const std::string& aSoftware)
{
  EngineRecord record;
  record.m_id = UpstreamId(aId);
  record.m_pool = kPool;
  record.m_software = SoftwareVersion(aSoftware);
  return record;
}

} // namespace

class VersionReleaseTest : public ControlInstanceFixture
{
protected:
  /// Returns the versions at which a stream of the pool may have begun, as the
  /// instance tells entries; empty if it does not say.
  std::set<std::string> PoolVersions()
  {
    capnp::MallocMessageBuilder message;
    auto answer = message.initRoot<wire::StreamAnswer>();
    m_fleet->Streams().Find(kPool, StreamKey(1), answer);
    std::set<std::string> versions;
    for (const auto version : answer.asReader().getPoolVersions()) {
      versions.insert(TextOf(version));
    }
    return versions;
  }
  [[nodiscard]] bool IsUsed(const std::string& aId) const
  {
    return m_fleetOwner->Directory().Find(UpstreamId(aId)) != nullptr;
  }
  /// Runs until an engine is in the directory, and checks after each turn of
  /// the loop that the versions of all engines there are told.
  [[nodiscard]] bool RunUntilUsed(const std::string& aId)
  {
    bool isTold = true;
    const bool isUsed = m_loop.RunUntil([&] {
      const auto told = PoolVersions();
      for (const auto& [id, entry] : m_fleetOwner->Directory().All()) {
        const bool needsTelling = m_host->HasLease() && !entry.m_isGone;
        isTold = isTold && (!needsTelling ||
                            told.contains(entry.m_record.m_software.Value()));
      }
      return IsUsed(aId);
    });
    return isUsed && isTold;
  }
};

// Guards against streams of two versions: engines of a newer one were in use
// before the record of their version was committed, and an entry that asked in
// that time was told that the pool has the former version only.
TEST_F(VersionReleaseTest, EnginesAreUsedOnceTheirVersionIsRecorded)
{
  m_engines.m_list = { MakeListed("e1", "v1") };
  Start(true);
  EXPECT_TRUE(RunUntilUsed("e1"));
  m_engines.m_list.push_back(MakeListed("e2", "v2"));
  EXPECT_TRUE(RunUntilUsed("e2"));
  // The same id may come back with other software.
  m_engines.m_list.front() = MakeListed("e1", "v3");
  EXPECT_TRUE(m_loop.RunUntil([this] {
    const EngineRecord* record =
      m_fleetOwner->Directory().Find(UpstreamId("e1"));
    return record == nullptr || record->m_software == SoftwareVersion("v3");
  }));
  EXPECT_TRUE(RunUntilUsed("e1"));
  EXPECT_EQ(PoolVersions(), (std::set<std::string>{ "v1", "v2", "v3" }));
}

// Guards against entries that get engines of several versions from a relay and
// do not report their streams, as its replica does not know of them yet.
TEST_F(VersionReleaseTest, RelayWhoseReplicaIsBehindAsksForReports)
{
  Start(true);
  EngineDirectory directory;
  directory.ApplyList({ MakeListed("e1", "v1") }, m_clock.Now());
  EXPECT_FALSE(m_fleet->Streams().HasSeveralVersions(&directory));
  directory.ApplyList({ MakeListed("e1", "v1"), MakeListed("e2", "v2") },
                      m_clock.Now());
  EXPECT_TRUE(m_fleet->Streams().HasSeveralVersions(&directory));
  directory.ApplyList({ MakeListed("e2", "v2") }, m_clock.Now());
  EXPECT_FALSE(m_fleet->Streams().HasSeveralVersions(&directory));
  EXPECT_FALSE(m_fleet->Streams().HasSeveralVersions(nullptr));
}

} // namespace celeryspread::test
