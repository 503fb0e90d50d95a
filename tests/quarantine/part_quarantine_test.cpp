#include <gtest/gtest.h>

#include "quarantine/part_quarantine.h"
#include "quarantine/sound_parts.h"

namespace celeryspread::test {

namespace {

using Kind = QuarantineVerdict::Kind;

const PromptPartId kBad("bad");

} // namespace

class PartQuarantineTest : public ::testing::Test
{
protected:
  SuspectPart HeldPart() const
  {
    SuspectPart part;
    part.m_part = kBad;
    part.m_crashes = 2;
    part.m_lastCrashAt = m_now;
    part.m_isHeld = true;
    return part;
  }
  Kind Check(Duration aLater = Duration::zero())
  {
    return m_quarantine.Check({ PromptPartId("a"), kBad }, m_now + aLater)
      .m_kind;
  }

  const TimePoint m_now{ std::chrono::seconds(1000) };
  PartQuarantine m_quarantine;
};

TEST_F(PartQuarantineTest, HoldsListedPartsAndOffersATrialLater)
{
  EXPECT_EQ(Check(), Kind::Free);
  m_quarantine.Apply(1, 1, { { kBad, HeldPart() } });
  EXPECT_EQ(Check(), Kind::Held);
  EXPECT_EQ(Check(std::chrono::seconds(16)), Kind::TrialDue);
  EXPECT_EQ(m_quarantine.Check({ PromptPartId("a") }, m_now).m_kind,
            Kind::Free);
}

TEST_F(PartQuarantineTest, IgnoresAnOlderList)
{
  m_quarantine.Apply(2, 5, { { kBad, HeldPart() } });
  m_quarantine.Apply(2, 4, {});
  m_quarantine.Apply(1, 9, {});
  EXPECT_EQ(Check(), Kind::Held);
  m_quarantine.Apply(2, 6, {});
  EXPECT_EQ(Check(), Kind::Free);
}

/// A new owner starts without any list. Calls with a part that its predecessor
/// held back must not pass meanwhile.
TEST_F(PartQuarantineTest, KeepsAPartUntilTheNewOwnerHasDecided)
{
  m_quarantine.Apply(1, 7, { { kBad, HeldPart() } });
  m_quarantine.Apply(2, 1, {});
  EXPECT_EQ(Check(), Kind::Held);
  ASSERT_TRUE(m_quarantine.Carried().contains(kBad));
  m_quarantine.ConfirmCarried(2, 3);
  // This list left the owner before the report arrived there.
  m_quarantine.Apply(2, 2, {});
  EXPECT_EQ(Check(), Kind::Held);
  m_quarantine.Apply(2, 3, {});
  EXPECT_EQ(Check(), Kind::Free);
}

TEST_F(PartQuarantineTest, ActsOnOwnCrashesOnlyWhileNoOwnerAnswers)
{
  m_quarantine.RecordContact(m_now);
  m_quarantine.RecordCrash({ UpstreamId("e1"), m_now, { { kBad } } }, m_now);
  const TimePoint later = m_now + std::chrono::milliseconds(200);
  m_quarantine.RecordCrash({ UpstreamId("e2"), later, { { kBad } } }, later);
  EXPECT_EQ(Check(std::chrono::seconds(1)), Kind::Free);
  EXPECT_EQ(Check(std::chrono::seconds(3)), Kind::Held);
}

TEST(SoundPartsTest, ForgetsThePartUsedLeastRecently)
{
  SoundParts sound;
  const TimePoint now{ std::chrono::seconds(1000) };
  for (size_t i = 0; i <= SoundParts::kMaxParts; ++i) {
    sound.Record(PromptPartId("p" + std::to_string(i)), now);
    sound.Record(PromptPartId("p0"), now);
  }
  EXPECT_EQ(sound.Size(), SoundParts::kMaxParts);
  EXPECT_TRUE(sound.SoundAt(PromptPartId("p0")));
  EXPECT_FALSE(sound.SoundAt(PromptPartId("p1")));
}

} // namespace celeryspread::test
