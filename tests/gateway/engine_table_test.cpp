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

/// Returns the ids of a pool's engines, sorted.
std::set<std::string> IdsInPool(const EngineTable& aTable,
                                const std::string& aPool)
{
  std::set<std::string> ids;
  for (const EngineState* state : aTable.InPool(PoolId(aPool))) {
    EXPECT_TRUE(ids.insert(state->m_record.m_id.Value()).second);
  }
  return ids;
}

TEST(EngineTableTest, PoolsFollowEveryChange)
{
  EngineTable table;
  EngineRecord a = Engine(7);
  a.m_id = UpstreamId("a");
  EngineRecord b = Engine(7);
  b.m_id = UpstreamId("b");
  table.Update(a);
  table.Update(b);
  table.Update(a);
  EXPECT_EQ(IdsInPool(table, "pool"), (std::set<std::string>{ "a", "b" }));
  a.m_pool = PoolId("other");
  table.Update(a);
  EXPECT_EQ(IdsInPool(table, "pool"), (std::set<std::string>{ "b" }));
  EXPECT_EQ(IdsInPool(table, "other"), (std::set<std::string>{ "a" }));
  table.Remove(b.m_id);
  table.Remove(b.m_id);
  EXPECT_TRUE(IdsInPool(table, "pool").empty());
  table.Update(b);
  table.KeepOnly({ b.m_id });
  EXPECT_EQ(IdsInPool(table, "pool"), (std::set<std::string>{ "b" }));
  EXPECT_TRUE(IdsInPool(table, "other").empty());
}

// A whole directory at the size to design for: 4,400 engines. The index was
// built anew for each of them.
TEST(EngineTableTest, WholeDirectoryOfManyEnginesIsIndexedOnce)
{
  EngineTable table;
  constexpr size_t kEngines = 4'400;
  for (size_t i = 0; i < kEngines; ++i) {
    EngineRecord record = Engine(7);
    record.m_id = UpstreamId("e" + std::to_string(i));
    table.Update(record);
  }
  EXPECT_EQ(table.InPool(PoolId("pool")).size(), kEngines);
  EXPECT_EQ(table.ReindexCount(), 0U);
  for (size_t i = 0; i < kEngines; i += 2) {
    table.Remove(UpstreamId("e" + std::to_string(i)));
  }
  EXPECT_EQ(table.InPool(PoolId("pool")).size(), kEngines / 2);
  EXPECT_EQ(table.ReindexCount(), 0U);
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
