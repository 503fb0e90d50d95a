#pragma once

#include <sys/socket.h>

#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "core/socket_address.h"
#include "tests/support/test_loop.h"

namespace celeryspread::test {

/// Server that answers each request with the bytes that a function returns for
/// it. Requests have no body.
class ScriptedServer
{
public:
  /// A request and its place: the number of its connection and of the earlier
  /// requests there.
  struct Request
  {
    size_t m_connection = 0;
    size_t m_earlier = 0;
    std::string m_head;
  };
  using Script = std::function<std::string(const Request&)>;

  ScriptedServer(TestLoop& aLoop, Script aScript)
    : m_script(std::move(aScript))
  {
    const auto address = MakeSocketAddress("127.0.0.1", 0);
    constexpr int kBacklog = 16;
    m_listener = evconnlistener_new_bind(aLoop.Base(),
                                         OnAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE,
                                         kBacklog,
                                         address->Get(),
                                         static_cast<int>(address->m_length));
  }
  ~ScriptedServer()
  {
    evconnlistener_free(m_listener);
    for (const Connection& connection : m_connections) {
      bufferevent_free(connection.m_bev);
    }
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] uint16_t Port() const
  {
    return BoundPort(evconnlistener_get_fd(m_listener));
  }
  [[nodiscard]] const std::vector<Request>& Requests() const
  {
    return m_requests;
  }
  [[nodiscard]] size_t ConnectionCount() const { return m_connections.size(); }
  /// Ends each connection right behind the next answer.
  void CloseAfterAnswers() { m_closes = true; }
  /// Writes bytes that answer no request.
  void Send(size_t aConnection, const std::string& aBytes)
  {
    if (m_closes) {
      // Past the buffer, so that bytes and end arrive together.
      const evutil_socket_t fd =
        bufferevent_getfd(m_connections.at(aConnection).m_bev);
      EXPECT_EQ(send(fd, aBytes.data(), aBytes.size(), 0),
                static_cast<ssize_t>(aBytes.size()));
      shutdown(fd, SHUT_WR);
      return;
    }
    bufferevent_write(
      m_connections.at(aConnection).m_bev, aBytes.data(), aBytes.size());
  }

private:
  struct Connection
  {
    bufferevent* m_bev = nullptr;
    size_t m_requests = 0;
  };

  static void OnAccept(evconnlistener* aListener,
                       evutil_socket_t aFd,
                       sockaddr* /*aAddress*/,
                       int /*aLength*/,
                       void* aSelf)
  {
    auto* self = static_cast<ScriptedServer*>(aSelf);
    bufferevent* bev = bufferevent_socket_new(
      evconnlistener_get_base(aListener), aFd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, nullptr, nullptr, aSelf);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    self->m_connections.push_back({ bev });
  }
  static void OnRead(bufferevent* aBev, void* aSelf)
  {
    auto* self = static_cast<ScriptedServer*>(aSelf);
    evbuffer* input = bufferevent_get_input(aBev);
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    for (size_t i = 0; i < self->m_connections.size(); ++i) {
      Connection& connection = self->m_connections[i];
      if (connection.m_bev != aBev) {
        continue;
      }
      const evbuffer_ptr end =
        evbuffer_search(input, kHeadEnd.data(), kHeadEnd.size(), nullptr);
      if (end.pos < 0) {
        return;
      }
      std::string head(static_cast<size_t>(end.pos) + kHeadEnd.size(), '\0');
      evbuffer_remove(input, head.data(), head.size());
      self->m_requests.push_back({ i, connection.m_requests++, head });
      self->Send(i, self->m_script(self->m_requests.back()));
    }
  }

  Script m_script;
  bool m_closes = false;
  std::vector<Request> m_requests;
  evconnlistener* m_listener;
  std::vector<Connection> m_connections;
};

} // namespace celeryspread::test
