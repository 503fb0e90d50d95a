#include <gtest/gtest.h>

#include <event2/listener.h>

#include "core/socket_address.h"
#include "http/evhttp_upstream_client.h"
#include "tests/support/test_loop.h"

namespace celeryspread::test {

namespace {

/// Server that answers every request with the same bytes.
class ScriptedServer
{
public:
  ScriptedServer(TestLoop& aLoop, std::string aAnswer, bool aCloses)
    : m_answer(std::move(aAnswer))
    , m_closes(aCloses)
  {
    const auto address = MakeSocketAddress("127.0.0.1", 0);
    m_listener = evconnlistener_new_bind(aLoop.Base(),
                                         OnAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE,
                                         16,
                                         address->Get(),
                                         static_cast<int>(address->m_length));
  }
  ~ScriptedServer()
  {
    evconnlistener_free(m_listener);
    for (bufferevent* bev : m_open) {
      bufferevent_free(bev);
    }
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] uint16_t Port() const
  {
    return BoundPort(evconnlistener_get_fd(m_listener));
  }
  [[nodiscard]] size_t Connections() const { return m_open.size(); }

private:
  static void OnAccept(evconnlistener* aListener,
                       evutil_socket_t aFd,
                       sockaddr* /*aAddress*/,
                       int /*aLength*/,
                       void* aSelf)
  {
    auto* self = static_cast<ScriptedServer*>(aSelf);
    bufferevent* bev = bufferevent_socket_new(
      evconnlistener_get_base(aListener), aFd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, nullptr, nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    self->m_open.push_back(bev);
  }
  static void OnRead(bufferevent* aBev, void* aSelf)
  {
    auto* self = static_cast<ScriptedServer*>(aSelf);
    evbuffer* input = bufferevent_get_input(aBev);
    const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
    if (end.pos < 0) {
      return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_write(aBev, self->m_answer.data(), self->m_answer.size());
    bufferevent_setcb(aBev, OnRead, OnWritten, nullptr, self);
  }
  static void OnWritten(bufferevent* aBev, void* aSelf)
  {
    if (static_cast<ScriptedServer*>(aSelf)->m_closes) {
      shutdown(bufferevent_getfd(aBev), SHUT_WR);
    }
  }

  std::string m_answer;
  bool m_closes;
  evconnlistener* m_listener;
  std::vector<bufferevent*> m_open;
};

/// Keeps the answer to one call.
class AnswerKeeper : public UpstreamObserver
{
public:
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_status = aStatus;
  }
  void OnUpstreamBody(std::string_view aBytes) override { m_body += aBytes; }
  void OnUpstreamEnd() override { m_isWhole = true; }
  void OnUpstreamFailed(const UpstreamFailure& /*aFailure*/) override
  {
    m_hasFailed = true;
  }
  [[nodiscard]] bool IsOver() const { return m_isWhole || m_hasFailed; }

  int m_status = 0;
  std::string m_body;
  bool m_isWhole = false;
  bool m_hasFailed = false;
};

} // namespace

class UpstreamClientTest : public ::testing::Test
{
protected:
  AnswerKeeper Call(const ScriptedServer& aServer)
  {
    UpstreamRequest request;
    request.m_address = { "127.0.0.1", aServer.Port() };
    request.m_method = "GET";
    request.m_path = "/";
    request.m_firstByteTimeout = std::chrono::seconds(30);
    request.m_progressTimeout = std::chrono::seconds(30);
    AnswerKeeper keeper;
    const auto call = m_client.Start(std::move(request), keeper);
    EXPECT_TRUE(m_loop.RunUntil([&] { return keeper.IsOver(); }));
    m_loop.RunFor(std::chrono::milliseconds(20));
    return keeper;
  }

  TestLoop m_loop;
  EvhttpUpstreamClient m_client{ m_loop.Base(), m_loop.GetClock() };
};

TEST_F(UpstreamClientTest, ReusesAConnectionThatEndedCleanly)
{
  ScriptedServer server(
    m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.Connections(), 1U);
}

TEST_F(UpstreamClientTest, NeverReusesAConnectionWhoseAnswerHadNoLength)
{
  ScriptedServer server(m_loop, "HTTP/1.1 200 OK\r\n\r\nbody", true);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(m_client.IdleCount(), 0U);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.Connections(), 2U);
}

TEST_F(UpstreamClientTest, NeverReusesAConnectionWithBytesBehindTheAnswer)
{
  ScriptedServer server(m_loop,
                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
                        false);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(m_client.IdleCount(), 0U);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.Connections(), 2U);
}

TEST_F(UpstreamClientTest, LeavesAConnectionBeforeItsServerClosesIt)
{
  ScriptedServer server(m_loop,
                        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                        "Content-Length: 4\r\n\r\nbody",
                        false);
  EXPECT_EQ(Call(server).m_body, "body");
  m_loop.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.Connections(), 2U);
}

} // namespace celeryspread::test
