#include <gtest/gtest.h>

#include "fleet/version_census.h"
#include "streams/stream_versions.h"

namespace celeryspread::test {

namespace {

constexpr Duration kOneMs = std::chrono::milliseconds(1);
const PoolId kPool("pool");
const SoftwareVersion kOld("v9");
const SoftwareVersion kNew("v10");

TimePoint At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1) + aTime);
}

PoolVersions Versions(std::set<SoftwareVersion> aVersions)
{
  return { { kPool, std::move(aVersions) } };
}

} // namespace

TEST(VersionCensusTest, RecordsAVersionAtOnce)
{
  VersionCensus census;
  census.Begin({}, At({}));
  census.Observe(Versions({ kOld }), At({}));
  EXPECT_EQ(census.Changes({}, At({})), Versions({ kOld }));
  EXPECT_TRUE(census.Changes(Versions({ kOld }), At({})).empty());
  census.Observe(Versions({ kOld, kNew }), At({}));
  EXPECT_EQ(census.Changes(Versions({ kOld }), At({})),
            Versions({ kOld, kNew }));
}

// Guards against a stream that began at a version whose last engine left, and
// goes on at the only one that is left.
TEST(VersionCensusTest, VersionStaysWhileItsStreamsMayComeBack)
{
  const PoolVersions both = Versions({ kOld, kNew });
  VersionCensus census;
  census.Begin({}, At({}));
  census.Observe(both, At({}));
  census.Observe(Versions({ kNew }), At(kStreamMemory - kOneMs));
  EXPECT_TRUE(census.Changes(both, At(kStreamMemory - kOneMs)).empty());
  EXPECT_EQ(census.Changes(both, At(kStreamMemory)), Versions({ kNew }));
}

// Guards against a new owner that drops a version which its predecessor saw a
// moment ago.
TEST(VersionCensusTest, NewOwnerKeepsWhatIsRecorded)
{
  const PoolVersions both = Versions({ kOld, kNew });
  VersionCensus census;
  census.Begin(both, At({}));
  census.Observe(Versions({ kNew }), At(kOneMs));
  EXPECT_TRUE(census.Changes(both, At(kStreamMemory - kOneMs)).empty());
  EXPECT_EQ(census.Changes(both, At(kStreamMemory)), Versions({ kNew }));
}

// All engines of a pool are gone for long, then they are back.
TEST(VersionCensusTest, LastVersionOfAPoolStays)
{
  VersionCensus census;
  census.Begin(Versions({ kOld }), At({}));
  EXPECT_TRUE(
    census.Changes(Versions({ kOld }), At(3 * kStreamMemory)).empty());
  census.Observe(Versions({ kNew }), At(3 * kStreamMemory));
  EXPECT_EQ(census.Changes(Versions({ kOld }), At(3 * kStreamMemory)),
            Versions({ kNew }));
}

} // namespace celeryspread::test
