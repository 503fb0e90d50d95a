#include <gtest/gtest.h>

#include "tests/support/gateway_fixture.h"

namespace celeryspread::test {

namespace {

/// What decides whether a call may run again.
struct RepeatCase
{
  CallKind m_kind = CallKind::NonIdempotent;
  bool m_isResumable = false;
  bool m_mayRunAgain = false;
};

constexpr RepeatCase kRepeatCases[] = {
  { CallKind::NonIdempotent, false, false },
  { CallKind::NonIdempotent, true, false },
  { CallKind::Idempotent, false, true },
  { CallKind::Idempotent, true, true },
  { CallKind::Stream, false, false },
  { CallKind::Stream, true, true },
};

std::string NameOf(const RepeatCase& aCase)
{
  static const char* const kKinds[] = { "stream",
                                        "idempotent",
                                        "non-idempotent" };
  return std::string(kKinds[static_cast<size_t>(aCase.m_kind)]) +
         (aCase.m_isResumable ? ", resumable" : "");
}

} // namespace

/// Plays each way in which an attempt fails, for each kind of route.
class RepeatRulesTest : public GatewayFixture
{
protected:
  /// One way in which an attempt ends without a usable answer.
  using Break = void (RepeatRulesTest::*)();
  struct BreakCase
  {
    const char* m_name;
    Break m_break;
    bool m_mayHaveRun;
  };

  void NotSent()
  {
    Attempt(0).m_observer->OnUpstreamFailed(
      { UpstreamFailureKind::ConnectFailed, false, "no connection" });
  }
  void Rejected() { Reject(0); }
  void LostBeforeTheAnswer() { LoseConnection(0); }
  void TimedOut()
  {
    Attempt(0).m_observer->OnUpstreamFailed(
      { UpstreamFailureKind::Timeout, true, "silent" });
  }
  void InvalidAnswer()
  {
    Attempt(0).m_observer->OnUpstreamFailed(
      { UpstreamFailureKind::InvalidResponse, true, "not HTTP", true });
  }
  void AnswerToAnotherCall()
  {
    Answer(0, 200, { { "id", "other" }, { "signed", "x" } });
  }
  void AnswerWithoutSignature()
  {
    Answer(0, 200, { { "id", "a1" } });
    End();
  }
  void UpstreamError()
  {
    Answer(0, 500, m_good);
    End();
  }
  void LostWithinTheAnswer()
  {
    Answer(0, 200, m_good);
    // From here on, the break is not taken for the end of the engine.
    m_time.RunFor(std::chrono::seconds(1));
    Attempt(0).m_observer->OnUpstreamBody("id: 1\ndata: x\n\nid: 2\nda");
    LoseConnection(0);
    m_time.RunFor(std::chrono::seconds(1));
  }
  void EndlessAnswer()
  {
    Answer(0, 200, m_good);
    const std::string bytes(1'000'000, 'x');
    for (int i = 0; i < 9 && !Attempt(0).m_isCancelled; ++i) {
      Attempt(0).m_observer->OnUpstreamBody(bytes);
    }
  }
  void End()
  {
    if (!Attempt(0).m_isCancelled) {
      Attempt(0).m_observer->OnUpstreamEnd();
    }
  }

  void StartCall(const RepeatCase& aCase)
  {
    Route route = MakeRoute("/work/", aCase.m_kind, 2);
    route.m_timeout = std::chrono::seconds(30);
    route.m_isResumable = aCase.m_isResumable;
    // Neither the failures nor the retries of the case before count.
    m_time.RunFor(std::chrono::minutes(1));
    m_table.KeepOnly({});
    m_table.Update(MakeEngine("e1", "here", "m"));
    m_table.Update(MakeEngine("e2", "far", "m"));
    SetRoutes(Revision(++m_version), { route });
    m_caller = CallerRecord();
    m_client.m_attempts.clear();
    Call("/work/1", { { "model", "m" } });
  }

  static constexpr BreakCase kBreaks[] = {
    { "not sent", &RepeatRulesTest::NotSent, false },
    { "rejected", &RepeatRulesTest::Rejected, false },
    { "lost before the answer", &RepeatRulesTest::LostBeforeTheAnswer, true },
    { "timed out", &RepeatRulesTest::TimedOut, true },
    { "invalid answer", &RepeatRulesTest::InvalidAnswer, true },
    { "other call's answer", &RepeatRulesTest::AnswerToAnotherCall, true },
    { "unsigned answer", &RepeatRulesTest::AnswerWithoutSignature, true },
    { "error", &RepeatRulesTest::UpstreamError, true },
    { "lost within the answer", &RepeatRulesTest::LostWithinTheAnswer, true },
    { "endless answer", &RepeatRulesTest::EndlessAnswer, true },
  };
  uint64_t m_version = 3;
};

// Guards against payments that ran twice after their answer was lost, because
// their route carried the flag that permits streams to be resumed.
TEST_F(RepeatRulesTest, OnlyIdempotentCallsAndResumableStreamsRunAgain)
{
  for (const RepeatCase& repeatCase : kRepeatCases) {
    for (const BreakCase& breakCase : kBreaks) {
      SCOPED_TRACE(NameOf(repeatCase) + ": " + breakCase.m_name);
      StartCall(repeatCase);
      ASSERT_EQ(m_client.m_attempts.size(), 1U);
      (this->*breakCase.m_break)();
      const bool isRepeated =
        !breakCase.m_mayHaveRun || repeatCase.m_mayRunAgain;
      EXPECT_EQ(m_client.m_attempts.size(), isRepeated ? 2U : 1U);
      const bool promisesNoRun = HttpStatus::PromisesNoRun(m_caller.m_status);
      EXPECT_FALSE(breakCase.m_mayHaveRun && promisesNoRun);
    }
  }
}

// Guards against a refusal, which promises that the call did not run, after an
// attempt that may have run and a second one that was turned away.
TEST_F(RepeatRulesTest, RefusalAfterAPossibleRunIsAFailure)
{
  for (const RepeatCase& repeatCase : kRepeatCases) {
    SCOPED_TRACE(NameOf(repeatCase));
    StartCall(repeatCase);
    LoseConnection(0);
    if (m_client.m_attempts.size() > 1) {
      Reject(1);
    }
    EXPECT_EQ(m_caller.m_status, 502);
  }
}

// Guards against events that reach the caller twice: a resumed stream began
// anew, or after an earlier event, because the last events had borne no id.
TEST_F(RepeatRulesTest, StreamGoesOnOnlyAfterAnEventWithAnId)
{
  struct EventCase
  {
    const char* m_events;
    bool m_isResumed;
  };
  for (const EventCase& events : { EventCase{ "", true },
                                   EventCase{ ": comment\n\n", true },
                                   EventCase{ "data: x\n\n", false },
                                   EventCase{ "id: 1\ndata: x\n\n", true },
                                   EventCase{ "id: 1\n\ndata: y\n\n", false },
                                   EventCase{ "data: x\n\nid: 2\n\n", true },
                                   EventCase{ "id: 1\n\n: more\n\n", true } }) {
    SCOPED_TRACE(events.m_events);
    StartCall({ CallKind::Stream, true, true });
    Answer(0, 200, m_good);
    m_time.RunFor(std::chrono::seconds(1));
    Attempt(0).m_observer->OnUpstreamBody(events.m_events);
    LoseConnection(0);
    m_time.RunFor(std::chrono::seconds(1));
    EXPECT_EQ(m_client.m_attempts.size(), events.m_isResumed ? 2U : 1U);
    EXPECT_EQ(m_caller.m_isAborted, !events.m_isResumed);
  }
}

} // namespace celeryspread::test
