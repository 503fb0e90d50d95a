#include <string>

#include <gtest/gtest.h>

#include "tests/support/gateway_fixture.h"

namespace celeryspread::test {

namespace {

enum class Carried
{
  Nothing,
  OtherCalls,
  ThisCall
};

enum class Id
{
  Own,
  /// Of a call that the connection has carried.
  Earlier,
  /// Of a call that it has not carried.
  Unknown,
  None
};

enum class Meaning
{
  /// The call has not run.
  Proof,
  /// Nothing; the call may have run.
  NoProof,
  /// The call's own answer is still to come.
  LateCopy
};

struct Case
{
  Carried m_carried;
  Id m_id;
  Meaning m_meaning;
};

constexpr Case kCases[] = {
  { Carried::Nothing, Id::Own, Meaning::Proof },
  { Carried::Nothing, Id::Unknown, Meaning::NoProof },
  { Carried::Nothing, Id::None, Meaning::Proof },
  { Carried::OtherCalls, Id::Own, Meaning::Proof },
  { Carried::OtherCalls, Id::Earlier, Meaning::LateCopy },
  { Carried::OtherCalls, Id::Unknown, Meaning::NoProof },
  { Carried::OtherCalls, Id::None, Meaning::NoProof },
  { Carried::ThisCall, Id::Own, Meaning::NoProof },
  { Carried::ThisCall, Id::Earlier, Meaning::LateCopy },
  { Carried::ThisCall, Id::Unknown, Meaning::NoProof },
  { Carried::ThisCall, Id::None, Meaning::NoProof },
};

constexpr int kRejections[] = { 503, 429, 421 };

std::string NameOf(const Case& aCase)
{
  return "carried " + std::to_string(static_cast<int>(aCase.m_carried)) +
         ", id " + std::to_string(static_cast<int>(aCase.m_id));
}

/// A call whose first attempt goes out on a connection with a history.
class RejectionProofTest : public GatewayFixture
{
protected:
  void Open(const std::string& aPath, const Case& aCase)
  {
    // Retries of earlier cases don't count any more.
    m_time.RunFor(std::chrono::seconds(1));
    m_access.RecordProof(Revision(3), m_clock.Now());
    m_caller = CallerRecord();
    m_client.m_attempts.clear();
    Call(aPath, { { "model", "m" } });
    FakeUpstreamClient::StartedAttempt& attempt = Attempt(0);
    attempt.m_isConnectionReused = aCase.m_carried != Carried::Nothing;
    if (attempt.m_isConnectionReused) {
      attempt.m_carried.insert("earlier");
    }
    if (aCase.m_carried == Carried::ThisCall) {
      attempt.m_carried.insert("a1");
    }
  }
  static HttpHeaders Headers(Id aId, HttpHeaders aHeaders)
  {
    if (aId != Id::None) {
      aHeaders.push_back({ "id",
                           aId == Id::Own       ? "a1"
                           : aId == Id::Earlier ? "earlier"
                                                : "unknown" });
    }
    return aHeaders;
  }
  /// Sends a rejection to the first attempt and, where a second one follows, a
  /// proved one to that.
  void RejectFirst(const Case& aCase, int aStatus)
  {
    Answer(0, aStatus, Headers(aCase.m_id, { { "not-run", "1" } }));
    if (!Attempt(0).m_isCancelled && Attempt(0).m_discardedAnswers == 0) {
      Attempt(0).m_observer->OnUpstreamEnd();
    }
    if (m_client.m_attempts.size() > 1) {
      Reject(1);
    }
  }
};

} // namespace

/// A caller was told "not run" on the ground of an answer that was not, or
/// might not have been, the rejection of this very call.
TEST_F(RejectionProofTest, OnlyARejectionOfThisCallProvesThatItHasNotRun)
{
  for (const char* path : { "/pay/1", "/look/1", "/chat/1", "/report/1" }) {
    const bool mayRepeat =
      std::string(path) == "/look/1" || std::string(path) == "/report/1";
    for (const Case& aCase : kCases) {
      for (const int status : kRejections) {
        const std::string name = std::string(path) + " " + NameOf(aCase) + " " +
                                 std::to_string(status);
        Open(path, aCase);
        RejectFirst(aCase, status);
        switch (aCase.m_meaning) {
          case Meaning::Proof:
            EXPECT_EQ(m_client.m_attempts.size(), 2U) << name;
            EXPECT_EQ(m_caller.m_status, 503) << name;
            break;
          case Meaning::NoProof:
            EXPECT_EQ(m_client.m_attempts.size(), mayRepeat ? 2U : 1U) << name;
            EXPECT_EQ(m_caller.m_status, 502) << name;
            break;
          case Meaning::LateCopy:
            EXPECT_EQ(m_client.m_attempts.size(), 1U) << name;
            EXPECT_EQ(m_caller.m_status, 0) << name;
            // The call's own answer follows.
            Answer(0, 200, m_good);
            Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
            Attempt(0).m_observer->OnUpstreamEnd();
            EXPECT_EQ(m_caller.m_status, 200) << name;
            break;
        }
      }
    }
  }
}

/// A connection that breaks after a copy of a rejection: the call may run.
TEST_F(RejectionProofTest, BrokenConnectionProvesNothing)
{
  for (const Case& aCase : kCases) {
    Open("/pay/1", aCase);
    if (aCase.m_meaning == Meaning::LateCopy) {
      RejectFirst(aCase, kRejections[0]);
    }
    LoseConnection(0);
    EXPECT_EQ(m_client.m_attempts.size(), 1U) << NameOf(aCase);
    EXPECT_EQ(m_caller.m_status, 502) << NameOf(aCase);
  }
}

/// The figures of an answer that might be a late copy were taken for the load
/// of the engine now.
TEST_F(RejectionProofTest, OnlyAnOwnAnswerTellsTheLoad)
{
  for (const Case& aCase : kCases) {
    for (const char* engine : { "e1", "e2" }) {
      m_table.RecordLoad(UpstreamId(engine), { 0, 0, 4 }, m_clock.Now());
    }
    Open("/pay/1", aCase);
    const UpstreamId engine(m_codec.m_lastFields.m_upstream);
    Answer(0, 503, Headers(aCase.m_id, { { "load", "3" } }));
    const bool isOwn = aCase.m_meaning == Meaning::Proof;
    EXPECT_EQ(m_table.Find(engine)->m_reading.m_running, isOwn ? 3U : 0U)
      << NameOf(aCase);
  }
}

/// An answer is the caller's only with the id of the call.
TEST_F(RejectionProofTest, AnswerNeedsTheIdOfTheCall)
{
  for (const Case& aCase : kCases) {
    Open("/pay/1", aCase);
    Answer(0, 200, Headers(aCase.m_id, { { "signed", "x" } }));
    const bool isOwn = aCase.m_id == Id::Own;
    if (isOwn) {
      Attempt(0).m_observer->OnUpstreamBody("paid");
      Attempt(0).m_observer->OnUpstreamEnd();
    }
    const int expected = isOwn                                  ? 200
                         : aCase.m_meaning == Meaning::LateCopy ? 0
                                                                : 502;
    EXPECT_EQ(m_caller.m_status, expected) << NameOf(aCase);
  }
}

} // namespace celeryspread::test
