#include <gtest/gtest.h>

#include "gateway/route_freshness.h"

namespace celeryspread::test {

namespace {

constexpr Duration kOneMs = std::chrono::milliseconds(1);
constexpr Duration kMaxLag = RouteFreshness::kMaxLag;

TimePoint At(Duration aTime)
{
  return TimePoint(std::chrono::hours(1) + aTime);
}

RouteStatement Statement(uint64_t aOffered, uint64_t aProven)
{
  return { "control", Revision(aOffered), Revision(aProven), std::nullopt };
}

} // namespace

// Guards against an entry that stays for good with an instance whose engine
// directory is fresh and whose routes are not.
TEST(RouteFreshnessTest, InstanceThatLacksAnOverdueVersionIsOutdated)
{
  RouteFreshness freshness;
  freshness.RecordInForce(Revision(4), "relay", At({}));
  freshness.RecordStatement(Statement(4, 5), At({}));
  EXPECT_FALSE(
    freshness.IsInstanceOutdated(Statement(4, 5), At(kMaxLag - kOneMs)));
  EXPECT_TRUE(freshness.IsInstanceOutdated(Statement(4, 5), At(kMaxLag)));
  EXPECT_FALSE(freshness.IsInstanceOutdated(Statement(5, 5), At(kMaxLag)));
}

// Guards against entries that take their own lag for that of the instance: one
// that reads slowly while changes come in quick succession always lacks some
// version, and every instance lacks the one that another has just named.
TEST(RouteFreshnessTest, LagOfTheEntryDoesNotMakeAnInstanceOutdated)
{
  constexpr Duration kPeriod = kMaxLag / 4;
  RouteFreshness freshness;
  freshness.RecordInForce(Revision(1), "relay", At({}));
  for (uint64_t version = 2; version < 200; ++version) {
    const TimePoint now = At(kPeriod * static_cast<int64_t>(version));
    freshness.RecordStatement(Statement(version, version), now);
    const RouteStatement behind = Statement(version - 1, version - 1);
    freshness.RecordStatement(behind, now);
    EXPECT_FALSE(freshness.IsInstanceOutdated(behind, now)) << version;
  }
  const TimePoint end = At(kPeriod * 199);
  EXPECT_GT(freshness.Lag(end), kMaxLag);
  EXPECT_TRUE(freshness.IsInstanceOutdated(Statement(190, 190), end));
}

// An instance of an earlier release does not say what it offers.
TEST(RouteFreshnessTest, InstanceThatOffersNothingIsNotJudged)
{
  RouteFreshness freshness;
  freshness.RecordStatement(Statement(0, 5), At({}));
  EXPECT_FALSE(freshness.IsInstanceOutdated(Statement(0, 5), At(2 * kMaxLag)));
}

// Guards against entries that leave sound instances while changes come in
// series, so that a newer version always exists.
TEST(RouteFreshnessTest, LagCountsFromTheOldestVersionThatIsMissing)
{
  RouteFreshness freshness;
  freshness.RecordInForce(Revision(1), "relay", At({}));
  constexpr Duration kPeriod = kMaxLag / 4;
  for (uint64_t version = 2; version < 200; ++version) {
    const TimePoint now = At(kPeriod * static_cast<int64_t>(version));
    freshness.RecordStatement(Statement(version - 1, version), now);
    freshness.RecordInForce(Revision(version - 1), "relay", now);
    EXPECT_LE(freshness.Lag(now), kPeriod);
  }
  freshness.RecordInForce(Revision(199), "relay", At(kPeriod * 200));
  EXPECT_EQ(freshness.Lag(At(kPeriod * 300)), Duration::zero());
}

// Guards against an entry that stays with an instance which follows a former
// owner: its proof gets older, and nothing newer is heard of there.
TEST(RouteFreshnessTest, InstanceWhoseProofGetsOldIsOutdated)
{
  constexpr Duration kMaxProofAge = RouteFreshness::kMaxProofAge;
  const RouteStatement proven{ "relay", Revision(4), Revision(4), At({}) };
  const RouteStatement unproven = Statement(4, 0);
  RouteFreshness freshness;
  freshness.RecordStatement(unproven, At({}));
  EXPECT_FALSE(freshness.IsInstanceOutdated(unproven, At(4 * kMaxProofAge)));
  freshness.RecordStatement(proven, At({}));
  EXPECT_FALSE(freshness.IsInstanceOutdated(proven, At(kMaxProofAge)));
  EXPECT_TRUE(freshness.IsInstanceOutdated(proven, At(kMaxProofAge + kOneMs)));
  EXPECT_FALSE(freshness.IsInstanceOutdated(unproven, At(kMaxProofAge)));
  EXPECT_TRUE(
    freshness.IsInstanceOutdated(unproven, At(kMaxProofAge + kOneMs)));
}

TEST(RouteFreshnessTest, KnowsSinceWhenAndFromWhomAVersionIsInForce)
{
  RouteFreshness freshness;
  EXPECT_FALSE(freshness.TimeInForce(At({})));
  freshness.RecordInForce(Revision(7), "relay", At({}));
  freshness.RecordInForce(Revision(6), "other", At(kMaxLag));
  EXPECT_EQ(freshness.Version(), Revision(7));
  EXPECT_EQ(freshness.Source(), "relay");
  EXPECT_EQ(freshness.TimeInForce(At(kMaxLag)), kMaxLag);
}

} // namespace celeryspread::test
