#include <gtest/gtest.h>

#include "http/evhttp_upstream_client.h"
#include "tests/support/scripted_server.h"

namespace celeryspread::test {

namespace {

/// Observer of a call that waits for its end.
class EndRecorder : public UpstreamObserver
{
public:
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_status = aStatus;
  }
  void OnUpstreamBody(std::string_view /*aBytes*/) override {}
  void OnUpstreamEnd() override { m_hasEnded = true; }
  void OnUpstreamFailed(const UpstreamFailure& /*aFailure*/) override
  {
    m_status = 0;
    m_hasEnded = true;
  }

  int m_status = 0;
  bool m_hasEnded = false;
};

/// A server that answers with one status, and the client's pool before it.
class KeptConnectionTest : public ::testing::Test
{
protected:
  /// Calls and returns the status that the call got, 0 if it failed.
  int Call(const std::string& aExchange = "",
           const std::string& aMethod = "GET")
  {
    UpstreamRequest request;
    request.m_address = { "127.0.0.1", m_server.Port() };
    request.m_method = aMethod;
    request.m_path = "/";
    request.m_firstByteTimeout = std::chrono::seconds(30);
    request.m_progressTimeout = std::chrono::seconds(30);
    request.m_exchange = aExchange;
    EndRecorder recorder;
    const auto call = m_client.Start(std::move(request), recorder);
    EXPECT_TRUE(m_loop.RunUntil([&] { return recorder.m_hasEnded; }));
    return recorder.m_status;
  }
  [[nodiscard]] std::string AnswerOf(int aStatus) const
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " X\r\nContent-Length: 4\r\n\r\n" + m_body;
  }

  TestLoop m_loop;
  EvhttpUpstreamClient m_client{ m_loop.Base(), m_loop.GetClock() };
  int m_status = 200;
  std::string m_body = "body";
  ScriptedServer m_server{ m_loop, [this](const ScriptedServer::Request&) {
                            return AnswerOf(m_status);
                          } };
};

} // namespace

/// A late copy of the error was read as the answer to the next call: neither
/// bears an id.
TEST_F(KeptConnectionTest, ErrorWithoutAnIdEndsItsConnection)
{
  for (const int status : { 400, 404, 409, 412, 421, 429, 500, 503 }) {
    m_status = status;
    const size_t before = m_server.ConnectionCount();
    EXPECT_EQ(Call(), status);
    EXPECT_EQ(m_client.IdleConnectionCount(), 0U) << status;
    EXPECT_EQ(Call(), status);
    EXPECT_EQ(m_server.ConnectionCount(), before + 2) << status;
  }
}

/// Every call would need a new connection.
TEST_F(KeptConnectionTest, SuccessKeepsItsConnection)
{
  for (const int status : { 200, 202 }) {
    m_status = status;
    EXPECT_EQ(Call(), status);
    EXPECT_EQ(m_client.IdleConnectionCount(), 1U) << status;
  }
  EXPECT_EQ(m_server.ConnectionCount(), 1U);
}

/// Under overload engines refuse many calls, and each would cost a connection.
/// The id tells a copy there.
TEST_F(KeptConnectionTest, ErrorOfACallWithAnIdKeepsItsConnection)
{
  m_status = 503;
  EXPECT_EQ(Call("a1"), 503);
  EXPECT_EQ(m_client.IdleConnectionCount(), 1U);
  EXPECT_EQ(Call("a2"), 503);
  EXPECT_EQ(m_server.ConnectionCount(), 1U);
}

/// A copy of such an answer states a length, and what follows it would be
/// dropped as its body: the right answer.
TEST_F(KeptConnectionTest, AnswerToAHeadRequestEndsItsConnection)
{
  m_body.clear();
  EXPECT_EQ(Call("a1", "HEAD"), 200);
  EXPECT_EQ(m_client.IdleConnectionCount(), 0U);
}

} // namespace celeryspread::test
