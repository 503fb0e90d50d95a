#include <gtest/gtest.h>

#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

class EngineSelectorTest : public ::testing::Test
{
protected:
  void Load(const std::string& aId, uint32_t aRunning, uint32_t aWaiting = 0)
  {
    m_table.RecordLoad(UpstreamId(aId), { aRunning, aWaiting, 4 }, m_now);
  }
  std::string Choose(const ModelTarget& aTarget,
                     std::set<UpstreamId> aTried = {})
  {
    const EngineState* state =
      m_selector.Choose({ PoolId("pool"), aTarget, std::move(aTried) }, m_now);
    return state == nullptr ? "" : state->m_record.m_id.Value();
  }

  TimePoint m_now{ std::chrono::seconds(100) };
  SeededRandomSource m_random{ 1 };
  EngineTable m_table;
  EngineSelector m_selector{ m_table,
                             FailureDomainId("here"),
                             { { FailureDomainId("here"), RegionId("r1") },
                               { FailureDomainId("far"), RegionId("r2") } },
                             m_random };
};

TEST_F(EngineSelectorTest, PrefersTheOwnDomainUntilItIsLoaded)
{
  m_table.Update(MakeEngine("near", "here", "m"));
  m_table.Update(MakeEngine("remote", "far", "m"));
  EXPECT_EQ(Choose({ "m", "" }), "near");
  Load("near", 4, 2);
  EXPECT_EQ(Choose({ "m", "" }), "remote");
}

TEST_F(EngineSelectorTest, AvoidsAnEngineWhileItsEventsAreSlow)
{
  const UpstreamId near("near");
  m_table.Update(MakeEngine("near", "here", "m"));
  m_table.Update(MakeEngine("remote", "far", "m"));
  for (int i = 0; i < 8; ++i) {
    m_table.RecordEventGap(near, std::chrono::milliseconds(20), m_now);
  }
  EXPECT_EQ(Choose({ "m", "" }), "near");
  // Prompts of other entries lengthen the gaps; the table does not count them.
  for (int i = 0; i < 3; ++i) {
    m_table.RecordEventGap(near, std::chrono::milliseconds(250), m_now);
  }
  EXPECT_EQ(Choose({ "m", "" }), "remote");
  m_now += std::chrono::seconds(2);
  EXPECT_EQ(Choose({ "m", "" }), "near");
}

TEST_F(EngineSelectorTest, PrefersTheEngineWithoutPendingPrefill)
{
  const Duration prompt = std::chrono::milliseconds(40);
  for (const char* name : { "reading", "generating" }) {
    m_table.Update(MakeEngine(name, "here", "m"));
    m_table.RecordStart(UpstreamId(name), prompt, m_now);
  }
  m_table.RecordPrefillEnd(UpstreamId("generating"), prompt);
  EXPECT_EQ(Choose({ "m", "" }), "generating");
}

TEST_F(EngineSelectorTest, SkipsUpstreamsThatLeaveOrWereTried)
{
  EngineRecord leaving = MakeEngine("leaving", "here", "m");
  leaving.m_isLeaving = true;
  m_table.Update(leaving);
  m_table.Update(MakeEngine("staying", "far", "m"));
  EXPECT_EQ(Choose({ "m", "" }), "staying");
  EXPECT_EQ(Choose({ "m", "" }, { UpstreamId("staying") }), "");
}

TEST_F(EngineSelectorTest, ReportsWhatIsMissing)
{
  EXPECT_EQ(Choose({ "m", "" }), "");
  EXPECT_EQ(m_selector.LastError(), SelectError::NoUpstream);
  m_table.Update(MakeEngine("e", "here", "other"));
  EXPECT_EQ(Choose({ "m", "" }), "");
  EXPECT_EQ(m_selector.LastError(), SelectError::ModelMissing);
  m_table.Update(MakeEngine("e", "here", "m"));
  EXPECT_EQ(Choose({ "m", "a1" }), "");
  EXPECT_EQ(m_selector.LastError(), SelectError::AdapterMissing);
}

TEST_F(EngineSelectorTest, AvoidsAnUnresponsiveUpstream)
{
  EngineRecord near = MakeEngine("near", "here", "m");
  near.m_slots = 40;
  m_table.Update(near);
  m_table.Update(MakeEngine("remote", "far", "m"));
  m_table.RecordStart(UpstreamId("near"), Duration::zero(), m_now);
  m_now += std::chrono::seconds(1);
  EXPECT_EQ(Choose({ "m", "" }), "remote");
  m_table.RecordBytes(UpstreamId("near"), m_now);
  EXPECT_EQ(Choose({ "m", "" }), "near");
}

TEST_F(EngineSelectorTest, AvoidsAnUpstreamAfterConsecutiveFailures)
{
  m_table.Update(MakeEngine("near", "here", "m"));
  m_table.Update(MakeEngine("remote", "far", "m"));
  for (int i = 0; i < 3; ++i) {
    m_table.RecordStart(UpstreamId("near"), Duration::zero(), m_now);
    m_table.RecordEnd(UpstreamId("near"), AttemptOutcome::Failed, m_now);
  }
  EXPECT_EQ(Choose({ "m", "" }), "remote");
  m_now += std::chrono::seconds(1);
  EXPECT_EQ(Choose({ "m", "" }), "near");
}

TEST_F(EngineSelectorTest, LoadsTheAdapterWhereTheCallStartsEarlier)
{
  EngineRecord holder = MakeEngine("holder", "here", "m");
  holder.m_models["m"].m_adapters.insert("a1");
  m_table.Update(holder);
  m_table.Update(MakeEngine("idle", "here", "m"));
  const SelectQuery query{ PoolId("pool"), { "m", "a1" }, {} };
  const EngineState* state = m_selector.Choose(query, m_now);
  ASSERT_NE(state, nullptr);
  EXPECT_EQ(m_selector.ChooseForAdapter(query, state, m_now), nullptr);
  Load("holder", 4, 6);
  const EngineState* better = m_selector.ChooseForAdapter(query, state, m_now);
  ASSERT_NE(better, nullptr);
  EXPECT_EQ(better->m_record.m_id, UpstreamId("idle"));
}

TEST(EngineTableTest, CorrectsAReadingByOwnStartsAndEnds)
{
  EngineTable table;
  const TimePoint now(std::chrono::seconds(5));
  const UpstreamId id("e");
  table.Update(MakeEngine("e", "here"));
  table.RecordLoad(id, { 3, 1, 4 }, now);
  table.RecordStart(id, Duration::zero(), now);
  table.RecordStart(id, Duration::zero(), now);
  EXPECT_EQ(table.Find(id)->EstimatedLoad(now), 6U);
  table.RecordEnd(id, AttemptOutcome::Answered, now);
  EXPECT_EQ(table.Find(id)->EstimatedLoad(now), 5U);
  // The reading is too old, so only the own calls count.
  EXPECT_EQ(table.Find(id)->EstimatedLoad(now + std::chrono::seconds(9)), 1U);
}

// An engine that turns calls away at once reports that it is idle, so it looked
// like the best choice again and again, and used up the retry budget.
TEST_F(EngineSelectorTest, AvoidsAnIdleEngineThatTurnsCallsAway)
{
  for (const AttemptOutcome outcome :
       { AttemptOutcome::Rejected, AttemptOutcome::Erred }) {
    m_table = EngineTable();
    m_table.Update(MakeEngine("refusing", "here", "m"));
    m_table.Update(MakeEngine("sound", "far", "m"));
    int refused = 0;
    for (int call = 0; call < 1000; ++call) {
      const UpstreamId chosen(Choose({ "m", "" }));
      const bool isRefused = chosen == UpstreamId("refusing");
      m_table.RecordStart(chosen, Duration::zero(), m_now);
      m_table.RecordLoad(chosen, { 0, 0, 4 }, m_now);
      m_table.RecordEnd(
        chosen, isRefused ? outcome : AttemptOutcome::Answered, m_now);
      refused += isRefused ? 1 : 0;
      m_now += std::chrono::milliseconds(10);
    }
    EXPECT_LE(refused, 20);
    // It is tried again, and preferred once it is sound.
    EXPECT_GE(refused, 3);
    m_now += std::chrono::seconds(10);
    EXPECT_EQ(Choose({ "m", "" }), "refusing");
  }
}

// A target that is not loaded says nothing about the calls that have theirs.
TEST_F(EngineSelectorTest, MisdirectedCallsDoNotCountAgainstAnEngine)
{
  m_table.Update(MakeEngine("near", "here", "m"));
  m_table.Update(MakeEngine("remote", "far", "m"));
  for (int call = 0; call < 20; ++call) {
    m_table.RecordStart(UpstreamId("near"), Duration::zero(), m_now);
    m_table.RecordEnd(UpstreamId("near"), AttemptOutcome::Misdirected, m_now);
  }
  EXPECT_EQ(Choose({ "m", "" }), "near");
}

} // namespace celeryspread::test
