#include <gtest/gtest.h>

#include "fleet/demand_tracker.h"

namespace celeryspread::test {

class DemandTrackerTest : public ::testing::Test
{
protected:
  /// Records the same demand twice a second for a while.
  void RecordFor(std::chrono::seconds aTime, const CallDemand& aPerHalfSecond)
  {
    for (int i = 0; i < 2 * aTime.count(); ++i) {
      m_tracker.Record(m_key, aPerHalfSecond);
      m_now += std::chrono::milliseconds(500);
      m_tracker.Tick(m_now);
    }
  }
  [[nodiscard]] double EngineLoad(uint32_t aSlots) const
  {
    return m_tracker.EngineLoad(m_key.m_pool, "m", aSlots);
  }

  const DemandTracker::Key m_key{ PoolId("p"), { "m", "" } };
  TimePoint m_now{ std::chrono::seconds(100) };
  DemandTracker m_tracker;
};

/// Load pattern: long prompts at engines with many slots. With 28 of 64 slots
/// taken an engine had 0.7 s of prompts to read, and counted as half empty.
TEST_F(DemandTrackerTest, PromptReaderBindsBeforeTheSlots)
{
  m_tracker.Tick(m_now);
  // 8 calls a second, each with a prompt of 60 ms, that run for 2 s.
  RecordFor(std::chrono::seconds(20),
            { 4, std::chrono::seconds(8), std::chrono::milliseconds(240) });
  EXPECT_NEAR(EngineLoad(64), 0.96, 0.05);
}

TEST_F(DemandTrackerTest, SlotsBindWithShortPrompts)
{
  m_tracker.Tick(m_now);
  RecordFor(std::chrono::seconds(20),
            { 4, std::chrono::seconds(8), std::chrono::milliseconds(20) });
  EXPECT_NEAR(EngineLoad(16), 1.0, 0.05);
}

/// A target without new calls was dropped while its long streams ran.
TEST_F(DemandTrackerTest, RunningStreamsKeepTheirTarget)
{
  m_tracker.Tick(m_now);
  RecordFor(std::chrono::seconds(30),
            { 0, std::chrono::milliseconds(1000), Duration::zero() });
  EXPECT_NEAR(m_tracker.CallsInProgress(m_key), 2.0, 0.1);
}

} // namespace celeryspread::test
