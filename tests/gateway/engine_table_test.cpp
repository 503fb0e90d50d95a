#include <gtest/gtest.h>

#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

namespace {

const UpstreamId kEngine("e");
constexpr TimePoint kNow{ std::chrono::seconds(100) };

EngineRecord Engine(int64_t aStartedAt)
{
  EngineRecord record = MakeEngine("e", "here", "m");
  record.m_startedAt = aStartedAt;
  return record;
}

} // namespace

// Guards against requests to an engine that said in an answer that it leaves:
// the statement was lost with the record when the engine was missing from the
// directory for a moment, as at a change of the owner.
TEST(EngineTableTest, LeavingOutlivesTheRecord)
{
  EngineTable table;
  table.Update(Engine(7));
  table.RecordLeaving(kEngine);
  table.Remove(kEngine);
  table.Update(Engine(7));
  EXPECT_TRUE(table.Find(kEngine)->IsLeaving());
  table.KeepOnly({});
  table.Update(Engine(7));
  EXPECT_TRUE(table.Find(kEngine)->IsLeaving());
}

// The answer of a call that was under way may come after the removal.
TEST(EngineTableTest, LeavingIsHeardWhileTheRecordIsMissing)
{
  EngineTable table;
  table.Update(Engine(7));
  table.Remove(kEngine);
  table.RecordLeaving(kEngine);
  table.Update(Engine(7));
  EXPECT_TRUE(table.Find(kEngine)->IsLeaving());
}

TEST(EngineTableTest, BackOffOutlivesTheRecord)
{
  EngineTable table;
  table.Update(Engine(7));
  table.RecordBackOff(kEngine, kNow + std::chrono::seconds(4));
  table.Remove(kEngine);
  table.Update(Engine(7));
  EXPECT_TRUE(table.Find(kEngine)->BackOffEnd(kNow).has_value());
  EXPECT_FALSE(table.Find(kEngine)
                 ->BackOffEnd(kNow + std::chrono::seconds(4))
                 .has_value());
}

TEST(EngineTableTest, RateLimitOutlivesTheRecord)
{
  EngineTable table;
  table.Update(Engine(7));
  table.RecordRateLimit(kEngine, 4.5, kNow);
  table.Remove(kEngine);
  table.Update(Engine(7));
  EXPECT_EQ(table.Find(kEngine)->m_record.m_rateLimit, 4.5);
}

TEST(EngineTableTest, AnotherProcessHasSaidNothing)
{
  EngineTable table;
  table.Update(Engine(7));
  table.RecordLeaving(kEngine);
  table.RecordBackOff(kEngine, kNow + std::chrono::seconds(4));
  table.RecordRateLimit(kEngine, 4.5, kNow);
  table.Remove(kEngine);
  table.Update(Engine(8));
  EXPECT_FALSE(table.Find(kEngine)->IsLeaving());
  EXPECT_FALSE(table.Find(kEngine)->BackOffEnd(kNow).has_value());
  EXPECT_EQ(table.Find(kEngine)->m_record.m_rateLimit, 0);
}

// Engines come and go for months under ids of their own.
TEST(EngineTableTest, FormerEnginesAreForgottenInTheEnd)
{
  EngineTable table;
  constexpr size_t kEngines = 3 * EngineTable::kMaxFormerEngines;
  for (size_t i = 0; i < kEngines; ++i) {
    EngineRecord record = Engine(7);
    record.m_id = UpstreamId("e" + std::to_string(i));
    table.Update(record);
    table.RecordLeaving(record.m_id);
    table.Remove(record.m_id);
  }
  EXPECT_EQ(table.FormerCount(), EngineTable::kMaxFormerEngines);
  EXPECT_EQ(table.Size(), 0U);
}

} // namespace celeryspread::test
