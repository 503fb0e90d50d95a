#include <gtest/gtest.h>

#include "ledger/claim_ledger.h"

namespace celeryspread::test {

namespace {

constexpr Duration kNow = std::chrono::hours(1);
constexpr Duration kRetention = std::chrono::minutes(10);

ClaimRequest Request(const std::string& aAttempt, uint64_t aBody = 1)
{
  return { ServiceId("desk"), ClaimKey("k"), aBody, aAttempt, kRetention };
}

} // namespace

TEST(ClaimLedgerTest, OneAttemptHoldsAKey)
{
  ClaimLedger ledger;
  EXPECT_EQ(ledger.Claim(Request("a"), kNow).m_verdict, ClaimVerdict::Granted);
  EXPECT_EQ(ledger.Claim(Request("a"), kNow).m_verdict, ClaimVerdict::Granted);
  EXPECT_EQ(ledger.Claim(Request("b"), kNow).m_verdict, ClaimVerdict::Unknown);
  EXPECT_EQ(ledger.Claim(Request("b", 2), kNow).m_verdict,
            ClaimVerdict::Conflict);
}

TEST(ClaimLedgerTest, AnswerIsStoredOnce)
{
  ClaimLedger ledger;
  ledger.Claim(Request("a"), kNow);
  ledger.Close(Request("b"), ClaimOutcome::Answered, { 500, "", "no" }, kNow);
  ledger.Close(Request("a"), ClaimOutcome::Answered, { 200, "t", "yes" }, kNow);
  ledger.Close(Request("a"), ClaimOutcome::NotRun, {}, kNow);
  const ClaimReply reply = ledger.Claim(Request("b"), kNow);
  EXPECT_EQ(reply.m_verdict, ClaimVerdict::Answered);
  EXPECT_EQ(reply.m_answer.m_body, "yes");
}

TEST(ClaimLedgerTest, NotRunFreesTheKeyForAnotherAttemptOnly)
{
  ClaimLedger ledger;
  ledger.Claim(Request("a"), kNow);
  ledger.Close(Request("a"), ClaimOutcome::NotRun, {}, kNow);
  EXPECT_EQ(ledger.Claim(Request("a"), kNow).m_verdict,
            ClaimVerdict::Unavailable);
  EXPECT_EQ(ledger.Claim(Request("b"), kNow).m_verdict, ClaimVerdict::Granted);
}

TEST(ClaimLedgerTest, ClaimThatArrivesAfterItsEndStaysDead)
{
  ClaimLedger ledger;
  ledger.Close(Request("a"), ClaimOutcome::NotRun, {}, kNow);
  EXPECT_EQ(ledger.Claim(Request("a"), kNow).m_verdict,
            ClaimVerdict::Unavailable);
}

TEST(ClaimLedgerTest, KeyPastItsRetentionIsRefused)
{
  ClaimLedger ledger;
  ledger.Claim(Request("a"), kNow);
  ledger.Close(Request("a"), ClaimOutcome::Answered, { 200, "", "" }, kNow);
  const Duration later = kNow + kRetention + std::chrono::seconds(1);
  EXPECT_EQ(ledger.Claim(Request("b"), later).m_verdict, ClaimVerdict::Expired);
  EXPECT_EQ(ledger.Claim(Request("b", 2), later).m_verdict,
            ClaimVerdict::Expired);
}

TEST(ClaimLedgerTest, OperatorSettlesOnlyWhatIsUnknown)
{
  ClaimLedger ledger;
  const ClaimSettlement settlement{
    ServiceId("desk"), ClaimKey("k"), OperatorId("o"), "asked the bank", false
  };
  EXPECT_FALSE(ledger.Settle(settlement, kNow));
  ledger.Claim(Request("a"), kNow);
  ledger.Close(Request("a"), ClaimOutcome::Unknown, {}, kNow);
  EXPECT_EQ(ledger.Claim(Request("b"), kNow).m_verdict, ClaimVerdict::Unknown);
  EXPECT_TRUE(ledger.Settle(settlement, kNow));
  EXPECT_EQ(ledger.Records()[0].m_settledReason, "asked the bank");
  EXPECT_EQ(ledger.Claim(Request("b"), kNow).m_verdict, ClaimVerdict::Granted);
  ledger.Close(Request("b"), ClaimOutcome::Answered, { 200, "", "" }, kNow);
  EXPECT_FALSE(ledger.Settle(settlement, kNow));
}

TEST(ClaimLedgerTest, RestoredReplicaAnswersLikeTheOthers)
{
  constexpr int kKeys = 400;
  ClaimLedger ledger;
  const auto request = [](int aKey, const std::string& aAttempt) {
    return ClaimRequest{ ServiceId("desk"),
                         ClaimKey("k" + std::to_string(aKey)),
                         1,
                         aAttempt,
                         kRetention };
  };
  // Keys are claimed against their order, so that a sweep in order of time
  // and one in order of keys would reach them differently.
  for (int key = kKeys; key > 0; --key) {
    ledger.Claim(request(key, "a"), kNow);
    if (key % 2 == 0) {
      ledger.Close(request(key, "a"), ClaimOutcome::NotRun, {}, kNow);
    }
  }
  ClaimLedger restored;
  restored.Restore(ledger.Records());
  const Duration later = kNow + kRetention + std::chrono::seconds(1);
  for (int key = 1; key <= kKeys; ++key) {
    const ClaimVerdict expected =
      key % 2 == 0 ? ClaimVerdict::Granted : ClaimVerdict::Expired;
    EXPECT_EQ(ledger.Claim(request(key, "a"), later).m_verdict, expected);
    EXPECT_EQ(restored.Claim(request(key, "a"), later).m_verdict, expected);
  }
}

TEST(ClaimLedgerTest, RestoreKeepsEverything)
{
  ClaimLedger ledger;
  ledger.Claim(Request("a"), kNow);
  ClaimLedger copy;
  copy.Restore(ledger.Records());
  EXPECT_EQ(copy.Claim(Request("b"), kNow).m_verdict, ClaimVerdict::Unknown);
  const Duration later = kNow + kRetention + std::chrono::seconds(1);
  EXPECT_EQ(copy.Claim(Request("b"), later).m_verdict, ClaimVerdict::Expired);
}

} // namespace celeryspread::test
