#include <gtest/gtest.h>

#include "quarantine/crash_investigation.h"

namespace celeryspread::test {

namespace {

PromptParts Parts(const std::vector<std::string>& aNames)
{
  PromptParts parts;
  for (const std::string& name : aNames) {
    parts.emplace_back(name);
  }
  return parts;
}

} // namespace

class CrashInvestigationTest : public ::testing::Test
{
protected:
  void Crash(const std::string& aEngine,
             const std::vector<std::vector<std::string>>& aCalls)
  {
    CrashRecord record{ UpstreamId(aEngine), m_now, {} };
    for (const auto& call : aCalls) {
      record.m_calls.push_back(Parts(call));
    }
    m_crashes.RecordCrash(record, m_now);
  }
  /// Lets the time pass after which another crash has another cause.
  void NextMoment() { m_now += std::chrono::milliseconds(100); }
  void Sound(const std::string& aPart)
  {
    m_crashes.RecordSound(PromptPartId(aPart), m_now, m_now);
  }
  /// Lets a time pass in which nothing happens.
  void Wait(Duration aTime)
  {
    constexpr Duration kTick = std::chrono::milliseconds(50);
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kTick) {
      m_crashes.Tick(m_now);
    }
    m_crashes.Tick(m_now);
  }
  bool IsHeld(const std::string& aPart)
  {
    const auto found = m_crashes.Suspects().find(PromptPartId(aPart));
    return found != m_crashes.Suspects().end() && found->second.m_isHeld;
  }

  static constexpr Duration kGrace = std::chrono::milliseconds(300);
  TimePoint m_now{ std::chrono::seconds(1000) };
  CrashInvestigation m_crashes;
};

TEST_F(CrashInvestigationTest, HoldsAPartAfterTwoCrashes)
{
  Crash("e1", { { "a", "bad" } });
  Wait(kGrace);
  EXPECT_FALSE(IsHeld("bad"));
  Crash("e2", { { "b", "bad" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad"));
  EXPECT_FALSE(IsHeld("a"));
  EXPECT_FALSE(IsHeld("b"));
}

/// The engines of a rack end together. Calls with a sound part may have begun
/// their answers on several of them.
TEST_F(CrashInvestigationTest, EnginesThatEndTogetherCountOnce)
{
  Crash("e1", { { "a" } });
  m_now += std::chrono::milliseconds(30);
  Crash("e2", { { "a" } });
  Wait(kGrace);
  EXPECT_FALSE(IsHeld("a"));
}

/// Each entry sees only its own calls of an engine.
TEST_F(CrashInvestigationTest, JoinsTheReportsOfOneCrash)
{
  Crash("e1", { { "bad" } });
  Crash("e1", { { "bad" } });
  Wait(kGrace);
  EXPECT_FALSE(IsHeld("bad"));
}

/// All calls of a route may share their first part. Holding it back would stop
/// the whole route.
TEST_F(CrashInvestigationTest, PartWithSoundAnswersIsNotBlamed)
{
  Sound("first");
  Crash("e1", { { "first", "bad" } });
  NextMoment();
  Crash("e2", { { "first", "bad" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad"));
  EXPECT_FALSE(IsHeld("first"));
}

/// While most engines are down, not even a common part has sound answers.
TEST_F(CrashInvestigationTest, PartThatNeverHadASoundAnswerIsBlamedFirst)
{
  Sound("first");
  Wait(std::chrono::seconds(10));
  Crash("e1", { { "first", "bad1" } });
  NextMoment();
  Crash("e2", { { "first", "bad2" } });
  NextMoment();
  Crash("e3", { { "first", "bad1" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad1"));
  EXPECT_FALSE(IsHeld("first"));
  EXPECT_FALSE(IsHeld("bad2"));
  Crash("e4", { { "first", "bad2" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad2"));
  EXPECT_FALSE(IsHeld("first"));
}

/// Right after a start no part had a sound answer. The part further back in the
/// prompt is the one that fewer calls share.
TEST_F(CrashInvestigationTest, BlamesThePartFurthestBackWhenNothingElseIsKnown)
{
  Crash("e1", { { "first", "bad" } });
  NextMoment();
  Crash("e2", { { "first", "bad" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad"));
  EXPECT_FALSE(IsHeld("first"));
}

TEST_F(CrashInvestigationTest, BlamesTheFirstPartIfTheOthersDiffer)
{
  Crash("e1", { { "bad", "a" } });
  NextMoment();
  Crash("e2", { { "bad", "b" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad"));
}

/// A part may turn poisonous, as with a new version of the engines.
TEST_F(CrashInvestigationTest, BlamesAPartThatWasSoundLongBefore)
{
  Sound("bad");
  Wait(std::chrono::seconds(5));
  Crash("e1", { { "bad" } });
  NextMoment();
  Crash("e2", { { "bad" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("bad"));
}

TEST_F(CrashInvestigationTest, SoundAnswerAfterTheCrashReleasesThePart)
{
  Crash("e1", { { "a" } });
  NextMoment();
  Crash("e2", { { "a" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("a"));
  Sound("a");
  EXPECT_FALSE(IsHeld("a"));
  // Entries have to hear of it.
  EXPECT_TRUE(m_crashes.Suspects().contains(PromptPartId("a")));
  Wait(std::chrono::minutes(2));
  EXPECT_TRUE(m_crashes.Suspects().empty());
}

TEST_F(CrashInvestigationTest, ReleasedPartIsHeldAgainAfterNewCrashes)
{
  Crash("e1", { { "a" } });
  NextMoment();
  Crash("e2", { { "a" } });
  Wait(kGrace);
  Sound("a");
  Wait(std::chrono::seconds(5));
  Crash("e3", { { "a" } });
  Wait(kGrace);
  EXPECT_FALSE(IsHeld("a"));
  Crash("e4", { { "a" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("a"));
}

/// An entry whose connections were reset takes that for the end of all its
/// engines at once.
TEST_F(CrashInvestigationTest, EngineThatAnswersHasNotEnded)
{
  Crash("e1", { { "a" } });
  NextMoment();
  Crash("e2", { { "a" } });
  const TimePoint sentAt = m_now + std::chrono::milliseconds(20);
  m_crashes.RecordAlive(UpstreamId("e1"), sentAt, sentAt);
  Wait(kGrace);
  EXPECT_FALSE(IsHeld("a"));
}

/// An engine may start again under the same id.
TEST_F(CrashInvestigationTest, AnswerOfALaterProcessDoesNotUndoACrash)
{
  Crash("e1", { { "a" } });
  Wait(std::chrono::seconds(3));
  m_crashes.RecordAlive(UpstreamId("e1"), m_now, m_now);
  Crash("e1", { { "a" } });
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("a"));
}

TEST_F(CrashInvestigationTest, PermitsOneTrialAfterTheHoldTime)
{
  const PromptPartId part("a");
  EXPECT_TRUE(m_crashes.TryStartTrial(part, m_now));
  Crash("e1", { { "a" } });
  NextMoment();
  Crash("e2", { { "a" } });
  Wait(kGrace);
  EXPECT_FALSE(m_crashes.TryStartTrial(part, m_now));
  Wait(std::chrono::seconds(15));
  EXPECT_TRUE(m_crashes.TryStartTrial(part, m_now));
  EXPECT_FALSE(m_crashes.TryStartTrial(part, m_now));
  // The trial ends another engine, so the next one comes later.
  Crash("e3", { { "a" } });
  Wait(std::chrono::seconds(20));
  EXPECT_FALSE(m_crashes.TryStartTrial(part, m_now));
  Wait(std::chrono::seconds(11));
  EXPECT_TRUE(m_crashes.TryStartTrial(part, m_now));
}

TEST_F(CrashInvestigationTest, OperatorReleasesAPart)
{
  EXPECT_FALSE(m_crashes.Release(PromptPartId("a"), m_now));
  Crash("e1", { { "a" } });
  NextMoment();
  Crash("e2", { { "a" } });
  Wait(kGrace);
  EXPECT_TRUE(m_crashes.Release(PromptPartId("a"), m_now));
  EXPECT_FALSE(IsHeld("a"));
}

/// What a former owner knew reaches the new one through several entries.
TEST_F(CrashInvestigationTest, RestoresWhatAnotherOwnerKnew)
{
  SuspectPart part;
  part.m_part = PromptPartId("a");
  part.m_crashes = 3;
  part.m_lastCrashAt = m_now - std::chrono::seconds(1);
  part.m_isHeld = true;
  m_crashes.Restore(part, m_now);
  const uint64_t version = m_crashes.Version();
  m_crashes.Restore(part, m_now);
  EXPECT_EQ(m_crashes.Version(), version);
  EXPECT_TRUE(IsHeld("a"));
  EXPECT_FALSE(m_crashes.TryStartTrial(part.m_part, m_now));
  Sound("a");
  m_crashes.Restore(part, m_now);
  EXPECT_FALSE(IsHeld("a"));
}

/// Days of crashes with ever new parts must not fill the memory, nor the list
/// that goes to every entry.
TEST_F(CrashInvestigationTest, ListIsBounded)
{
  for (int i = 0; i < 2000; ++i) {
    const std::string part = "p" + std::to_string(i / 2);
    Crash("e" + std::to_string(i), { { part } });
    Wait(std::chrono::milliseconds(50));
    ASSERT_LE(m_crashes.Suspects().size(), 64U);
  }
  Wait(kGrace);
  EXPECT_TRUE(IsHeld("p999"));
}

TEST_F(CrashInvestigationTest, VersionStaysWhenNothingChanges)
{
  Crash("e1", { { "a" } });
  NextMoment();
  Crash("e2", { { "a" } });
  Wait(kGrace);
  const uint64_t version = m_crashes.Version();
  Wait(std::chrono::seconds(5));
  EXPECT_EQ(m_crashes.Version(), version);
}

} // namespace celeryspread::test
