#include "tests/support/gateway_fixture.h"

namespace celeryspread::test {

namespace {

constexpr Duration kSilence = std::chrono::seconds(1);
/// Time after the silence in which an engine must be used as before.
constexpr Duration kReturnTime = std::chrono::seconds(1);
constexpr size_t kMaxCalls = 1'000;
constexpr Duration kCallPeriod = std::chrono::milliseconds(20);
const std::string kSilentEngine = "e1";

} // namespace

/// Two engines, of which "e1", the nearer one, falls silent and goes on.
class SilentEngineTest : public GatewayFixture
{
protected:
  SilentEngineTest()
  {
    // The calls refer to their records.
    m_callers.reserve(kMaxCalls);
    EngineRecord silent = MakeEngine(kSilentEngine, "here", "m");
    silent.m_slots = 64;
    m_table.Update(silent);
  }
  /// Begins a call of its own caller. @return the index of its attempt.
  size_t Begin(const std::string& aPath, HttpHeaders aHeaders = {})
  {
    aHeaders.push_back({ "Host", "shop.example" });
    aHeaders.push_back({ "id", "a1" });
    aHeaders.push_back({ "model", "m" });
    m_gateway.OnCall(std::make_unique<FakeCallerCall>(
      m_callers.emplace_back(), "POST", aPath, std::move(aHeaders)));
    EXPECT_EQ(m_client.m_attempts.size(), m_callers.size())
      << "each call has one attempt";
    return m_client.m_attempts.size() - 1;
  }
  [[nodiscard]] std::string EngineOf(size_t aIndex)
  {
    for (const HttpHeader& header : Attempt(aIndex).m_request.m_headers) {
      if (header.m_name == "upstream") {
        return header.m_value;
      }
    }
    return "";
  }
  void AnswerWhole(size_t aIndex)
  {
    Answer(aIndex, 200, m_good);
    Attempt(aIndex).m_observer->OnUpstreamEnd();
  }
  /// Lets aTime pass with a short call every kCallPeriod, which sound engines
  /// answer at once. Calls to the silent engine stay open while aIsSilent.
  /// @return how many calls the engine got.
  size_t CallFor(Duration aTime, bool aIsSilent)
  {
    size_t count = 0;
    for (Duration passed{}; passed < aTime; passed += kCallPeriod) {
      const size_t index = Begin("/pay/1");
      const bool isSilentEngine = EngineOf(index) == kSilentEngine;
      count += isSilentEngine ? 1 : 0;
      if (isSilentEngine && aIsSilent) {
        m_open.push_back(index);
      } else {
        AnswerWhole(index);
      }
      m_time.RunFor(kCallPeriod);
    }
    return count;
  }
  /// Answers the calls that the silent engine held and that are still open.
  void GoOn()
  {
    for (const size_t index : m_open) {
      if (!Attempt(index).m_isCancelled) {
        AnswerWhole(index);
      }
    }
  }
  /// Lets two streams pause for the time of the silence, then go on and end.
  void PauseStreams()
  {
    const std::vector<size_t> streams = { Begin("/chat/1"),
                                          Begin("/report/1") };
    for (const size_t index : streams) {
      ASSERT_EQ(EngineOf(index), kSilentEngine);
      Answer(index, 200, m_good);
      Attempt(index).m_observer->OnUpstreamBody("id: 1\ndata: x\n\n");
    }
    CallFor(kSilence, true);
    for (const size_t index : streams) {
      ASSERT_FALSE(Attempt(index).m_isCancelled);
      Attempt(index).m_observer->OnUpstreamBody("id: 2\ndata: y\n\n");
      Attempt(index).m_observer->OnUpstreamEnd();
    }
    GoOn();
  }
  [[nodiscard]] size_t FailedCalls() const
  {
    size_t count = 0;
    for (const CallerRecord& record : m_callers) {
      count += record.m_status != 200 || !record.m_isEnded ? 1 : 0;
    }
    return count;
  }

  std::vector<size_t> m_open;
};

// Guards against an entry that fails calls because their engine, which is
// sound, was silent for a second, or that repeats them, or reports a crash.
TEST_F(SilentEngineTest, NoCallFailsAndTheEngineIsUsedAgain)
{
  EXPECT_GT(CallFor(kSilence, false), 0U);
  CallFor(kSilence, true);
  ASSERT_FALSE(m_open.empty());
  GoOn();
  EXPECT_GT(CallFor(kReturnTime, false), 0U);
  EXPECT_EQ(FailedCalls(), 0U);
  EXPECT_TRUE(m_reporter.m_crashes.empty());
}

// Guards against an entry that ends or moves a stream whose engine, which is
// sound, sent no event for a second.
TEST_F(SilentEngineTest, StreamsGoOnWhereTheyAre)
{
  PauseStreams();
  EXPECT_EQ(FailedCalls(), 0U);
  EXPECT_TRUE(m_reporter.m_crashes.empty());
}

// Guards against an engine that stays unused after it went on, as the one pause
// of its streams counts as the usual time between its events.
TEST_F(SilentEngineTest, EngineIsUsedAgainAfterItsStreamsPaused)
{
  PauseStreams();
  EXPECT_GT(CallFor(kReturnTime, false), 0U);
}

// Guards against an engine that stays unused for seconds after it went on, as
// calls with short deadlines ended during its silence and count as failures in
// a row.
TEST_F(SilentEngineTest, EngineIsUsedAgainAfterShortCallsTimedOut)
{
  constexpr size_t kShortCalls = 8;
  for (size_t i = 0; i < kShortCalls; ++i) {
    ASSERT_EQ(EngineOf(Begin("/pay/1", { { "left", "500" } })), kSilentEngine);
  }
  const size_t longCall = Begin("/pay/1");
  ASSERT_EQ(EngineOf(longCall), kSilentEngine);
  m_open.push_back(longCall);
  CallFor(kSilence, true);
  GoOn();
  EXPECT_GT(CallFor(kReturnTime, false), 0U);
  // Calls whose deadline lay within the silence can't be saved.
  EXPECT_EQ(FailedCalls(), kShortCalls);
  EXPECT_TRUE(m_reporter.m_crashes.empty());
}

} // namespace celeryspread::test
