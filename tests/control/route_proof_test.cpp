#include "tests/support/control_instance_fixture.h"

namespace celeryspread::test {

using RouteProofTest = ControlInstanceFixture;

/// Guards against proofs of an instance that leads no more, or not yet.
TEST_F(RouteProofTest, LeaderProvesItsVersionUnderItsLeaseOnly)
{
  Start(true);
  Follow();
  EXPECT_FALSE(m_host->HasLease());
  EXPECT_LT(m_age, Duration::zero());
  ASSERT_TRUE(m_loop.RunUntil([this] { return m_host->HasLease(); }));
  Follow();
  EXPECT_EQ(m_age, Duration::zero());
  EXPECT_EQ(m_version, m_host->State().Routes().m_version.Value());
}

/// Guards against a proof that gets younger on its way, or stays as young while
/// the owner does not answer.
TEST_F(RouteProofTest, RelayPassesOnTheOwnersProofWithItsAge)
{
  constexpr milliseconds kAge(300);
  constexpr milliseconds kSilence(200);
  m_script.m_proofAge = kAge;
  Start(false);
  ASSERT_TRUE(FollowUntilProven());
  EXPECT_EQ(m_version, kProvenVersion);
  EXPECT_GE(m_age, kAge);
  m_script.m_isSilent = true;
  Follow();
  const Duration before = m_age;
  m_loop.RunFor(kSilence);
  Follow();
  EXPECT_EQ(m_version, kProvenVersion);
  EXPECT_GE(m_age, before + kSilence);
}

/// A new owner reads the list of engines first. Callers must not be refused
/// for that.
TEST_F(RouteProofTest, RelayPassesOnTheProofOfAnOwnerWithoutDirectory)
{
  m_script.m_hasDirectory = false;
  Start(false);
  ASSERT_TRUE(FollowUntilProven());
  EXPECT_EQ(m_version, kProvenVersion);
}

/// Guards against a relay that states a proof of its own.
TEST_F(RouteProofTest, RelayWithoutAnAnswerProvesNothing)
{
  m_script.m_proofAge = milliseconds(-1);
  Start(false);
  m_loop.RunFor(milliseconds(500));
  Follow();
  EXPECT_LT(m_age, Duration::zero());
}

/// Guards against entries on an older configuration while the replica of their
/// relay lags: it was removed, or still replays its log.
TEST_F(RouteProofTest, RelayWhoseReplicaLagsServesTheOwnersRoutes)
{
  Start(false);
  ASSERT_TRUE(FollowUntilProven());
  EXPECT_TRUE(FollowUntilOffered(kProvenVersion));
  EXPECT_EQ(m_document, "document 3");
  EXPECT_EQ(m_host->State().Routes().m_version, Revision());
}

/// Guards against entries on an older configuration for as long as the disk of
/// their relay is full, since its replica takes no part meanwhile.
TEST_F(RouteProofTest, RelayWithAFullDiskServesTheOwnersRoutes)
{
  Start(false);
  ASSERT_TRUE(FollowUntilProven());
  m_disk.SetFull(true);
  m_term = Term(3);
  ASSERT_TRUE(m_loop.RunUntil([this] { return m_host->IsSuspended(); }));
  m_script.m_version = kProvenVersion + 1;
  EXPECT_TRUE(FollowUntilOffered(kProvenVersion + 1));
  EXPECT_TRUE(m_host->IsSuspended());
}

} // namespace celeryspread::test
