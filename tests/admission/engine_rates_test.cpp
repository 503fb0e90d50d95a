#include <gtest/gtest.h>

#include "admission/engine_rates.h"

namespace celeryspread::test {

namespace {

const UpstreamId kEngine("e1");

/// Requests granted when one is asked for every 10 ms.
size_t GrantedIn(EngineRates& aRates,
                 double aRate,
                 TimePoint aFrom,
                 Duration aTime)
{
  size_t granted = 0;
  for (TimePoint now = aFrom; now < aFrom + aTime;
       now += std::chrono::milliseconds(10)) {
    granted += aRates.TryTake(kEngine, aRate, now).m_isGranted ? 1 : 0;
  }
  return granted;
}

} // namespace

TEST(EngineRatesTest, GrantsNoMoreThanTheRate)
{
  const TimePoint start{ std::chrono::seconds(1000) };
  for (const double rate : { 0.5, 1.0, 4.8, 40.0 }) {
    EngineRates rates;
    const size_t granted =
      GrantedIn(rates, rate, start, std::chrono::seconds(20));
    EXPECT_LE(static_cast<double>(granted), 20 * rate + 1) << rate;
    EXPECT_GE(static_cast<double>(granted), 20 * rate - 1) << rate;
  }
}

/// After an idle time, requests of a second at most are made up for.
TEST(EngineRatesTest, BoundsABurstAfterAnIdleTime)
{
  const TimePoint start{ std::chrono::seconds(1000) };
  EngineRates rates;
  EXPECT_TRUE(rates.TryTake(kEngine, 5, start).m_isGranted);
  const TimePoint later = start + std::chrono::minutes(5);
  EXPECT_LE(GrantedIn(rates, 5, later, std::chrono::seconds(4)), 25U);
}

TEST(EngineRatesTest, SaysWhenToAskAgain)
{
  const TimePoint start{ std::chrono::seconds(1000) };
  EngineRates rates;
  EXPECT_TRUE(rates.TryTake(kEngine, 2, start).m_isGranted);
  const auto denied = rates.TryTake(kEngine, 2, start);
  EXPECT_FALSE(denied.m_isGranted);
  EXPECT_EQ(denied.m_retryAfter, std::chrono::milliseconds(500));
  EXPECT_TRUE(
    rates
      .TryTake(
        kEngine, 2, start + denied.m_retryAfter + std::chrono::milliseconds(1))
      .m_isGranted);
}

TEST(EngineRatesTest, FollowsARateThatChanges)
{
  const TimePoint start{ std::chrono::seconds(1000) };
  EngineRates rates;
  GrantedIn(rates, 50, start, std::chrono::seconds(2));
  const size_t granted = GrantedIn(
    rates, 1, start + std::chrono::seconds(2), std::chrono::seconds(10));
  EXPECT_LE(granted, 12U);
}

} // namespace celeryspread::test
