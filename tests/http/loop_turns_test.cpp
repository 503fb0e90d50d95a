#include <thread>

#include <gtest/gtest.h>

#include "http/caller_server.h"
#include "http/evhttp_upstream_client.h"
#include "http/loop_turns.h"
#include "tests/support/test_loop.h"
#include "tools/simulated_time.h"

namespace celeryspread::test {

namespace {

constexpr auto kBusyTime = std::chrono::milliseconds(80);

/// Records the lines of the log.
class LineLog : public EventLog
{
public:
  void Write(EventId aId, std::string_view aDetail) override
  {
    m_ids.push_back(aId);
    m_lines.emplace_back(aDetail);
  }

  std::vector<EventId> m_ids;
  std::vector<std::string> m_lines;
};

/// Responds at once, after it has held up the loop if the path asks for it.
class BusyHandler : public CallHandler
{
public:
  void OnCall(std::unique_ptr<CallerCall> aCall) override
  {
    if (aCall->Path() == "/busy") {
      std::this_thread::sleep_for(kBusyTime);
    }
    aCall->Reply(200, {}, "done");
  }
};

} // namespace

// Guards against a loop that is held up without a trace of the connection whose
// bytes did it, which looks like a busy machine.
TEST(LoopTurnsTest, NamesTheConnectionThatHeldUpTheLoop)
{
  TestLoop loop;
  LineLog log;
  LoopTurns turns(loop.Base(), loop.GetClock(), log);
  BusyHandler handler;
  CallerServer server(
    loop.Base(), loop.GetClock(), {}, handler, nullptr, &turns);
  ASSERT_TRUE(server.Listen("127.0.0.1", 0));
  RawClient client(loop, server.Port());
  client.Send("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(loop.RunUntil([&] { return client.Has("done"); }));
  loop.RunFor(std::chrono::milliseconds(1));
  EXPECT_GE(turns.Longest(), kBusyTime);
  ASSERT_FALSE(log.m_lines.empty());
  EXPECT_EQ(log.m_ids.front(), EventId::LoopTurnLong);
  EXPECT_TRUE(log.m_lines.front().starts_with("peer=caller address=127.0.0.1:"))
    << log.m_lines.front();
}

// The time in which a loop waits belongs to nobody's turn.
TEST(LoopTurnsTest, WaitingIsNoTurn)
{
  TestLoop loop;
  LineLog log;
  SimulatedTime time;
  const SkewedClock clock(time, 0);
  LoopTurns turns(loop.Base(), clock, log);
  turns.Begin("upstream", -1);
  time.RunFor(std::chrono::milliseconds(10));
  event_base_loop(loop.Base(), EVLOOP_NONBLOCK);
  time.RunFor(std::chrono::seconds(5));
  turns.Begin("caller", -1);
  time.RunFor(std::chrono::milliseconds(20));
  turns.Begin("upstream", -1);
  time.RunFor(std::chrono::milliseconds(5));
  event_base_loop(loop.Base(), EVLOOP_NONBLOCK);
  EXPECT_EQ(turns.Longest(), std::chrono::milliseconds(20));
  EXPECT_TRUE(log.m_lines.empty());
}

} // namespace celeryspread::test
