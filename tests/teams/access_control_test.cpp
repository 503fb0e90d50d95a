#include <gtest/gtest.h>

#include "teams/access_control.h"

namespace celeryspread::test {

namespace {

using Verdict = AccessControl::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };

Route MakeRoute(const std::string& aPrefix, bool aIsPublic)
{
  Route route;
  route.m_id = RouteId(aPrefix);
  route.m_host = "shop.example";
  route.m_pathPrefix = aPrefix;
  route.m_timeout = seconds(1);
  route.m_pools = { { PoolId("p"), 1 } };
  route.m_isPublic = aIsPublic;
  return route;
}

std::shared_ptr<const RouteConfig> MakeConfig(uint64_t aVersion,
                                              std::vector<Team> aTeams)
{
  RouteConfigData data;
  data.m_version = Revision(aVersion);
  data.m_pools = { Pool{ PoolId("p"), "/healthz", 1, std::nullopt } };
  data.m_routes = { MakeRoute("/closed/", false), MakeRoute("/open/", true) };
  data.m_teams = std::move(aTeams);
  std::string reason;
  auto config = RouteConfig::Make(std::move(data), reason);
  EXPECT_NE(config, nullptr) << reason;
  return config;
}

Team MakeTeam(const std::string& aName, std::vector<std::string> aKeys)
{
  Team team;
  team.m_id = TeamId(aName);
  team.m_keys = std::move(aKeys);
  return team;
}

std::string ReasonFor(std::vector<Team> aTeams)
{
  RouteConfigData data;
  data.m_teams = std::move(aTeams);
  std::string reason;
  return RouteConfig::Make(std::move(data), reason) == nullptr ? reason
                                                               : "accepted";
}

} // namespace

class AccessControlTest : public ::testing::Test
{
protected:
  AccessControlTest()
  {
    Apply(7, { MakeTeam("one", { "k1", "k2" }), MakeTeam("two", { "k3" }) });
    m_access.RecordProof(Revision(7), kStart);
  }

  void Apply(uint64_t aVersion, std::vector<Team> aTeams)
  {
    m_config = MakeConfig(aVersion, std::move(aTeams));
    m_access.SetConfig(m_config);
  }
  Verdict Identify(const char* aPath,
                   std::optional<std::string_view> aKey,
                   TimePoint aNow = kStart)
  {
    return m_access.Identify(
      *m_config->Find("shop.example", aPath), aKey, aNow, m_identity);
  }
  [[nodiscard]] std::string TeamName() const
  {
    return m_identity.m_team == nullptr ? "" : m_identity.m_team->m_id.Value();
  }

  AccessControl m_access{ { true, seconds(5) } };
  std::shared_ptr<const RouteConfig> m_config;
  CallerIdentity m_identity;
};

TEST_F(AccessControlTest, FindsTheTeamOfEachKey)
{
  EXPECT_EQ(Identify("/closed/x", "k2"), Verdict::Allowed);
  EXPECT_EQ(TeamName(), "one");
  EXPECT_EQ(Identify("/closed/x", "k3"), Verdict::Allowed);
  EXPECT_EQ(TeamName(), "two");
}

TEST_F(AccessControlTest, DeniesUnknownAndMissingKeys)
{
  for (const char* key : { "", "k", "k22", "K2" }) {
    EXPECT_EQ(Identify("/closed/x", key), Verdict::Denied) << key;
    EXPECT_EQ(TeamName(), "");
  }
  EXPECT_EQ(Identify("/closed/x", std::nullopt), Verdict::Denied);
}

TEST_F(AccessControlTest, PublicRoutesNeedNeitherKeyNorProof)
{
  const TimePoint late = kStart + seconds(60);
  EXPECT_EQ(Identify("/open/x", std::nullopt, late), Verdict::Allowed);
  EXPECT_EQ(TeamName(), "");
  EXPECT_EQ(Identify("/open/x", "unknown", late), Verdict::Allowed);
  EXPECT_EQ(TeamName(), "");
  EXPECT_EQ(Identify("/open/x", "k1", late), Verdict::Allowed);
  EXPECT_EQ(TeamName(), "one");
  EXPECT_EQ(m_access.Recheck(m_identity, late), Verdict::Allowed);
}

TEST_F(AccessControlTest, WithoutTeamsNoKeyIsNeeded)
{
  Apply(8, {});
  EXPECT_EQ(Identify("/closed/x", std::nullopt, kStart + seconds(60)),
            Verdict::Allowed);
}

/// Guards against an entry that is cut off and goes on with keys that were
/// withdrawn meanwhile.
TEST_F(AccessControlTest, StopsWhenTheProofIsTooOld)
{
  EXPECT_EQ(Identify("/closed/x", "k1", kStart + milliseconds(4999)),
            Verdict::Allowed);
  EXPECT_EQ(m_access.Recheck(m_identity, kStart + milliseconds(4999)),
            Verdict::Allowed);
  EXPECT_EQ(m_access.Recheck(m_identity, kStart + seconds(5)),
            Verdict::Unproven);
  EXPECT_EQ(Identify("/closed/x", "k1", kStart + seconds(5)),
            Verdict::Unproven);
  // It can't know either that the key is wrong.
  EXPECT_EQ(Identify("/closed/x", "new", kStart + seconds(5)),
            Verdict::Unproven);
}

/// A call that waits, or is retried, may run only if its key is still held by
/// the same team.
TEST_F(AccessControlTest, RecheckSeesAWithdrawnKey)
{
  ASSERT_EQ(Identify("/closed/x", "k1"), Verdict::Allowed);
  const auto formerConfig = m_config;
  Apply(9, { MakeTeam("one", { "k2" }), MakeTeam("two", { "k3" }) });
  m_access.RecordProof(Revision(9), kStart);
  EXPECT_EQ(m_access.Recheck(m_identity, kStart), Verdict::Denied);
  Apply(10, { MakeTeam("two", { "k1" }) });
  EXPECT_EQ(m_access.Recheck(m_identity, kStart), Verdict::Denied);
  Apply(11, { MakeTeam("one", { "k1" }) });
  EXPECT_EQ(m_access.Recheck(m_identity, kStart), Verdict::Allowed);
}

/// Guards against a proof of a newer version that is counted for the older
/// document that the entry still has.
TEST_F(AccessControlTest, ProofOfANewerVersionNeedsItsDocument)
{
  const TimePoint later = kStart + seconds(4);
  m_access.RecordProof(Revision(8), later);
  EXPECT_EQ(Identify("/closed/x", "k1", kStart + seconds(6)),
            Verdict::Unproven);
  Apply(8, { MakeTeam("one", { "k1" }) });
  EXPECT_EQ(Identify("/closed/x", "k1", kStart + seconds(6)), Verdict::Allowed);
}

TEST_F(AccessControlTest, LateReplyDoesNotSetTheProofBack)
{
  m_access.RecordProof(Revision(7), kStart - seconds(3));
  EXPECT_EQ(m_access.ProofAge(kStart), Duration::zero());
}

TEST_F(AccessControlTest, WithoutFailClosedAnOldConfigurationStays)
{
  AccessControl open{ { false, seconds(5) } };
  open.SetConfig(m_config);
  EXPECT_EQ(open.Identify(*m_config->Find("shop.example", "/closed/x"),
                          "k1",
                          kStart + seconds(600),
                          m_identity),
            Verdict::Allowed);
}

TEST(TeamConfigTest, NamesTheFaultButNoKey)
{
  EXPECT_EQ(ReasonFor({ MakeTeam("one", { "secret" }), MakeTeam("two", {}) }),
            "accepted");
  EXPECT_EQ(
    ReasonFor({ MakeTeam("one", { "secret" }), MakeTeam("two", { "secret" }) }),
    "team \"two\": shares a key with team \"one\"");
  EXPECT_EQ(ReasonFor({ MakeTeam("one", { "" }) }),
            "team \"one\": a key is empty");
  EXPECT_EQ(ReasonFor({ MakeTeam("one", {}), MakeTeam("one", {}) }),
            "team \"one\": is declared twice or has no name");
  Team team = MakeTeam("one", {});
  team.m_quota.m_ratePerSecond = 1e13;
  EXPECT_EQ(ReasonFor({ team }), "team \"one\": the quota is out of range");
}

TEST(TeamConfigTest, CountsTokensOrCalls)
{
  TeamQuota quota;
  EXPECT_EQ(quota.CostOf(500), 1U);
  quota.m_countsTokens = true;
  quota.m_plainCost = 200;
  EXPECT_EQ(quota.CostOf(500), 500U);
  EXPECT_EQ(quota.CostOf(std::nullopt), 200U);
}

// Guards against a configuration whose age becomes unknown because many newer
// ones are proved while it is in force.
TEST(ConfigAgeTest, ProofOfTheVersionInForceStaysDuringManyChanges)
{
  AccessControl access({});
  access.SetConfig(MakeConfig(5, {}));
  access.RecordProof(Revision(4), kStart - seconds(1));
  access.RecordProof(Revision(5), kStart);
  for (uint64_t version = 6; version < 100; ++version) {
    const TimePoint now = kStart + milliseconds(10 * version);
    access.RecordProof(Revision(version), now);
    EXPECT_EQ(access.ProofAge(now), now - kStart) << version;
  }
  access.SetConfig(MakeConfig(99, {}));
  EXPECT_EQ(access.ProofAge(kStart + milliseconds(990)), Duration::zero());
}

// Guards against calls that run as only an older configuration allows.
TEST(ConfigAgeTest, OutdatedOnceANewerVersionIsOverdue)
{
  constexpr seconds kMaxAge(3);
  AccessControl access({});
  EXPECT_FALSE(access.IsOutdated(kMaxAge, kStart));
  access.SetConfig(MakeConfig(5, {}));
  access.RecordProof(Revision(5), kStart);
  EXPECT_FALSE(access.IsOutdated(kMaxAge, kStart + 2 * kMaxAge));
  access.RecordProof(Revision(6), kStart + seconds(1));
  EXPECT_FALSE(access.IsOutdated(kMaxAge, kStart + kMaxAge));
  EXPECT_TRUE(access.IsOutdated(kMaxAge, kStart + kMaxAge + milliseconds(1)));
  access.SetConfig(MakeConfig(6, {}));
  EXPECT_FALSE(access.IsOutdated(kMaxAge, kStart + 2 * kMaxAge));
}

} // namespace celeryspread::test
