#include <functional>

#include <gtest/gtest.h>

#include "http/evhttp_upstream_client.h"
#include "tests/support/gateway_fixture.h"
#include "tests/support/scripted_server.h"

namespace celeryspread::test {

namespace {

const std::string kRejection = "HTTP/1.1 421 X\r\nid: a1\r\nnot-run: 1\r\n"
                               "Content-Length: 0\r\n\r\n";
const std::string kAnswer = "HTTP/1.1 200 X\r\nid: a1\r\nsigned: x\r\n"
                            "Content-Length: 4\r\n\r\npaid";

/// A gateway with the real HTTP client before an upstream that is listed under
/// two ids at one address, as after a restart.
class RepeatedRejectionTest : public GatewayFixture
{
protected:
  RepeatedRejectionTest()
  {
    m_serving.SetConfig(m_gateway.Config());
    for (const char* id : { "e1", "e2" }) {
      EngineRecord record = MakeEngine(id, "here", "m");
      record.m_address = { "127.0.0.1", m_server.Port() };
      m_table.Update(record);
    }
  }
  void CallAndWait(const std::string& aPath, const std::string& aId = "a1")
  {
    m_caller = CallerRecord();
    m_serving.OnCall(std::make_unique<FakeCallerCall>(
      m_caller,
      "GET",
      aPath,
      HttpHeaders{ { "Host", "shop.example" }, { "id", aId } },
      ""));
    EXPECT_TRUE(m_loop.RunUntil([&] { return m_caller.m_status != 0; }));
  }

  TestLoop m_loop;
  EvhttpUpstreamClient m_http{ m_loop.Base(), m_loop.GetClock() };
  std::function<std::string(const ScriptedServer::Request&)> m_script;
  ScriptedServer m_server{ m_loop,
                           [this](const ScriptedServer::Request& aRequest) {
                             return m_script(aRequest);
                           } };
  GatewayContext m_realContext{ m_clock,   m_timers,   m_http,    m_codec,
                                m_table,   m_selector, m_retries, m_prefill,
                                m_control, m_control,  m_crashes, m_rates,
                                m_access,  m_quota,    m_domain,  m_metrics,
                                m_log };
  Gateway m_serving{ m_realContext };
};

} // namespace

/// A call was tried again on the connection on which it had just been rejected.
/// The upstream wrote that rejection once more and ran the call; the caller was
/// told that it had not run.
TEST_F(RepeatedRejectionTest, CallDoesNotReturnToTheConnectionThatRejectedIt)
{
  int runs = 0;
  m_script = [&](const ScriptedServer::Request& aRequest) {
    if (m_server.Requests().size() == 1) {
      return kRejection;
    }
    ++runs;
    return aRequest.m_earlier > 0 ? kRejection + kAnswer : kAnswer;
  };
  CallAndWait("/pay/1");
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_caller.m_body, "paid");
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(m_server.ConnectionCount(), 2U);
}

/// The copy may come at any time, also while the call is on its second
/// connection.
TEST_F(RepeatedRejectionTest, CopyOnTheFirstConnectionEndsThatConnectionOnly)
{
  m_script = [&](const ScriptedServer::Request&) {
    if (m_server.Requests().size() == 1) {
      return kRejection;
    }
    m_server.Send(0, kRejection);
    return kAnswer;
  };
  CallAndWait("/pay/1");
  EXPECT_EQ(m_caller.m_status, 200);
  m_loop.RunFor(std::chrono::milliseconds(20));
  EXPECT_EQ(m_http.IdleConnectionCount(), 1U);
}

/// A caller that sends a call once more under the same id.
TEST_F(RepeatedRejectionTest, CallThatComesAgainTakesAnotherConnection)
{
  m_script = [&](const ScriptedServer::Request& aRequest) {
    return m_server.Requests().size() <= 2 ? kRejection
           : aRequest.m_earlier > 0        ? kRejection + kAnswer
                                           : kAnswer;
  };
  CallAndWait("/pay/1");
  EXPECT_EQ(m_caller.m_status, 503);
  CallAndWait("/pay/1");
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_server.Requests().size(), 3U);
}

/// A copy of another call's rejection came first on a connection that was used
/// again. The call failed although its own answer followed at once.
TEST_F(RepeatedRejectionTest, AnswerAfterACopyOfAnotherCallsRejectionIsRead)
{
  const std::string head = "HTTP/1.1 503 X\r\nid: a1\r\nnot-run: 1\r\n";
  const std::string copies[] = {
    head + "Content-Length: 0\r\n\r\n",
    head + "Content-Length: 4\r\n\r\nfull",
    head + "Content-Length: 0\r\n\r\n" + head + "Content-Length: 4\r\n\r\nfull",
    // A status without a body, whatever its length says.
    "HTTP/1.1 304 X\r\nid: a1\r\nContent-Length: 4\r\n\r\n",
    // Its bytes look like another answer.
    head + "Content-Length: " + std::to_string(kRejection.size()) + "\r\n\r\n" +
      kRejection,
  };
  for (const std::string& copy : copies) {
    const std::string id = "b" + std::to_string(m_server.Requests().size());
    const std::string answer = "HTTP/1.1 200 X\r\nid: " + id +
                               "\r\nsigned: x\r\nContent-Length: 4\r\n\r\n"
                               "paid";
    m_script = [&](const ScriptedServer::Request&) { return kAnswer; };
    CallAndWait("/pay/1", "a1");
    m_script = [&](const ScriptedServer::Request& aRequest) {
      return aRequest.m_earlier > 0 ? copy + answer : answer;
    };
    CallAndWait("/pay/1", id);
    EXPECT_EQ(m_caller.m_status, 200) << copy;
    EXPECT_EQ(m_caller.m_body, "paid") << copy;
    EXPECT_GT(m_server.Requests().back().m_earlier, 0U) << copy;
  }
}

/// The copy and the answer come in pieces.
TEST_F(RepeatedRejectionTest, CopyThatComesInPiecesIsDiscarded)
{
  const std::string copy = "HTTP/1.1 503 X\r\nid: a1\r\nnot-run: 1\r\n"
                           "Content-Length: 4\r\n\r\nfull";
  const std::string bytes = copy + "HTTP/1.1 200 X\r\nid: a2\r\nsigned: x\r\n"
                                   "Content-Length: 4\r\n\r\npaid";
  for (size_t split = 1; split < bytes.size(); split += 3) {
    m_script = [&](const ScriptedServer::Request&) { return kAnswer; };
    CallAndWait("/pay/1", "a1");
    std::unique_ptr<Timer> timer;
    m_script = [&](const ScriptedServer::Request& aRequest) {
      EXPECT_GT(aRequest.m_earlier, 0U);
      timer = m_loop.GetTimers().After(
        std::chrono::milliseconds(2), [this, &bytes, aRequest, split] {
          m_server.Send(aRequest.m_connection, bytes.substr(split));
        });
      return bytes.substr(0, split);
    };
    CallAndWait("/pay/1", "a2");
    EXPECT_EQ(m_caller.m_status, 200) << split;
    EXPECT_EQ(m_caller.m_body, "paid") << split;
    // The next call gets a connection that knows neither id.
    m_loop.RunFor(std::chrono::milliseconds(1));
  }
}

/// The upstream closes right behind the answer. What had arrived was dropped
/// with the end of the connection, and the call failed.
TEST_F(RepeatedRejectionTest, AnswerBetweenACopyAndTheEndIsRead)
{
  const std::string copy = "HTTP/1.1 503 X\r\nid: a1\r\nnot-run: 1\r\n"
                           "Content-Length: 0\r\n\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 X\r\nid: a2\r\nsigned: x\r\n"
                             "Connection: close\r\nContent-Length: 4\r\n\r\n"
                             "paid";
  m_script = [&](const ScriptedServer::Request&) { return kAnswer; };
  CallAndWait("/pay/1", "a1");
  m_server.CloseAfterAnswers();
  m_script = [&](const ScriptedServer::Request& aRequest) {
    return aRequest.m_earlier > 0 ? copy + answer : interim + answer;
  };
  for (int i = 0; i < 2; ++i) {
    CallAndWait("/pay/1", "a2");
    EXPECT_EQ(m_caller.m_status, 200) << i;
    EXPECT_EQ(m_caller.m_body, "paid") << i;
    m_loop.RunFor(std::chrono::milliseconds(2));
  }
}

/// Copies without end, or whose own end is not known, end the attempt.
TEST_F(RepeatedRejectionTest, CopiesThatCannotBeDiscardedEndTheAttempt)
{
  const std::string head = "HTTP/1.1 503 X\r\nid: a1\r\nnot-run: 1\r\n";
  std::string many;
  for (int i = 0; i < 20; ++i) {
    many += head + "Content-Length: 0\r\n\r\n";
  }
  const std::string copies[] = {
    many,
    head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    head + "Content-Length: 100000000\r\n\r\n",
  };
  for (const std::string& copy : copies) {
    m_script = [&](const ScriptedServer::Request&) { return kAnswer; };
    CallAndWait("/pay/1", "a1");
    m_script = [&](const ScriptedServer::Request&) { return copy; };
    CallAndWait("/pay/1", "a2");
    EXPECT_EQ(m_caller.m_status, 502) << copy.substr(0, 100);
    m_loop.RunFor(std::chrono::milliseconds(5));
    EXPECT_EQ(m_http.IdleConnectionCount(), 0U) << copy.substr(0, 100);
  }
}

} // namespace celeryspread::test
