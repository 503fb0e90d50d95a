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
  void CallAndWait(const std::string& aPath)
  {
    m_serving.OnCall(std::make_unique<FakeCallerCall>(
      m_caller,
      "GET",
      aPath,
      HttpHeaders{ { "Host", "shop.example" }, { "id", "a1" } },
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
  m_caller = CallerRecord();
  CallAndWait("/pay/1");
  EXPECT_EQ(m_caller.m_status, 200);
  EXPECT_EQ(m_server.Requests().size(), 3U);
}

} // namespace celeryspread::test
