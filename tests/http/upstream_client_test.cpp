#include <sys/socket.h>

#include <thread>

#include <algorithm>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include <event2/listener.h>

#include "core/socket_address.h"
#include "http/evhttp_upstream_client.h"
#include "tests/support/test_loop.h"

namespace celeryspread::test {

namespace {

/// Server that responds to every request with the same bytes.
class FixedResponseServer
{
public:
  FixedResponseServer(TestLoop& aLoop,
                      std::string aResponse,
                      bool aClosesAfterResponse)
    : m_response(std::move(aResponse))
    , m_closesAfterResponse(aClosesAfterResponse)
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
  ~FixedResponseServer()
  {
    evconnlistener_free(m_listener);
    for (bufferevent* bev : m_connections) {
      bufferevent_free(bev);
    }
  }
  FixedResponseServer(const FixedResponseServer&) = delete;
  FixedResponseServer& operator=(const FixedResponseServer&) = delete;

  [[nodiscard]] uint16_t Port() const
  {
    return BoundPort(evconnlistener_get_fd(m_listener));
  }
  [[nodiscard]] size_t ConnectionCount() const { return m_connections.size(); }
  /// Returns all bytes of the requests so far.
  [[nodiscard]] const std::string& Received() const { return m_received; }
  /// Answers nothing more on the open connections and doesn't close them, as if
  /// their bytes were lost on the way.
  void FallSilent()
  {
    for (bufferevent* bev : m_connections) {
      bufferevent_disable(bev, EV_READ);
    }
  }
  /// Sends the response once more on every connection.
  void SendAgain()
  {
    for (bufferevent* bev : m_connections) {
      bufferevent_write(bev, m_response.data(), m_response.size());
    }
  }

private:
  static void OnAccept(evconnlistener* aListener,
                       evutil_socket_t aFd,
                       sockaddr* /*aAddress*/,
                       int /*aLength*/,
                       void* aSelf)
  {
    auto* self = static_cast<FixedResponseServer*>(aSelf);
    bufferevent* bev = bufferevent_socket_new(
      evconnlistener_get_base(aListener), aFd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, nullptr, nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    self->m_connections.push_back(bev);
  }
  static void OnRead(bufferevent* aBev, void* aSelf)
  {
    auto* self = static_cast<FixedResponseServer*>(aSelf);
    evbuffer* input = bufferevent_get_input(aBev);
    const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
    if (end.pos < 0) {
      return;
    }
    std::string request(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, request.data(), request.size());
    self->m_received += request;
    bufferevent_write(aBev, self->m_response.data(), self->m_response.size());
    bufferevent_setcb(aBev, OnRead, OnWritten, nullptr, self);
  }
  static void OnWritten(bufferevent* aBev, void* aSelf)
  {
    if (static_cast<FixedResponseServer*>(aSelf)->m_closesAfterResponse) {
      shutdown(bufferevent_getfd(aBev), SHUT_WR);
    }
  }

  std::string m_response;
  bool m_closesAfterResponse;
  std::string m_received;
  evconnlistener* m_listener;
  std::vector<bufferevent*> m_connections;
};

/// Server in trouble that answers with a head and then with the same bytes
/// until the client closes the connection.
class EndlessServer
{
public:
  EndlessServer(TestLoop& aLoop, std::string aHead, std::string aRepeated)
    : m_head(std::move(aHead))
    , m_repeated(std::move(aRepeated))
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
  ~EndlessServer()
  {
    evconnlistener_free(m_listener);
    for (bufferevent* bev : m_connections) {
      bufferevent_free(bev);
    }
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] uint16_t Port() const
  {
    return BoundPort(evconnlistener_get_fd(m_listener));
  }
  [[nodiscard]] size_t SentBytes() const { return m_sentBytes; }
  [[nodiscard]] bool IsClosed() const { return m_isClosed; }

private:
  static void OnAccept(evconnlistener* aListener,
                       evutil_socket_t aFd,
                       sockaddr* /*aAddress*/,
                       int /*aLength*/,
                       void* aSelf)
  {
    auto* self = static_cast<EndlessServer*>(aSelf);
    bufferevent* bev = bufferevent_socket_new(
      evconnlistener_get_base(aListener), aFd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, nullptr, OnWritten, OnEvent, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_write(bev, self->m_head.data(), self->m_head.size());
    self->m_connections.push_back(bev);
  }
  static void OnWritten(bufferevent* aBev, void* aSelf)
  {
    auto* self = static_cast<EndlessServer*>(aSelf);
    bufferevent_write(aBev, self->m_repeated.data(), self->m_repeated.size());
    self->m_sentBytes += self->m_repeated.size();
  }
  static void OnEvent(bufferevent* aBev, short /*aWhat*/, void* aSelf)
  {
    bufferevent_disable(aBev, EV_READ | EV_WRITE);
    static_cast<EndlessServer*>(aSelf)->m_isClosed = true;
  }

  std::string m_head;
  std::string m_repeated;
  evconnlistener* m_listener;
  std::vector<bufferevent*> m_connections;
  size_t m_sentBytes = 0;
  bool m_isClosed = false;
};

/// Server that breaks off its answer after some bytes, with a reset or without.
class BreakingServer
{
public:
  BreakingServer(TestLoop& aLoop, std::string aSent, bool aResets)
    : m_sent(std::move(aSent))
    , m_resets(aResets)
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
  ~BreakingServer() { evconnlistener_free(m_listener); }
  BreakingServer(const BreakingServer&) = delete;
  BreakingServer& operator=(const BreakingServer&) = delete;

  [[nodiscard]] uint16_t Port() const
  {
    return BoundPort(evconnlistener_get_fd(m_listener));
  }

private:
  static void OnAccept(evconnlistener* aListener,
                       evutil_socket_t aFd,
                       sockaddr* /*aAddress*/,
                       int /*aLength*/,
                       void* aSelf)
  {
    bufferevent* bev = bufferevent_socket_new(
      evconnlistener_get_base(aListener), aFd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, nullptr, nullptr, aSelf);
    bufferevent_enable(bev, EV_READ);
  }
  static void OnRead(bufferevent* aBev, void* aSelf)
  {
    auto* self = static_cast<BreakingServer*>(aSelf);
    const evutil_socket_t fd = bufferevent_getfd(aBev);
    evbuffer* input = bufferevent_get_input(aBev);
    evbuffer_drain(input, evbuffer_get_length(input));
    EXPECT_EQ(send(fd, self->m_sent.data(), self->m_sent.size(), 0),
              static_cast<ssize_t>(self->m_sent.size()));
    if (self->m_resets) {
      // The bytes that were sent must arrive before the reset discards them.
      std::this_thread::sleep_for(std::chrono::microseconds(200));
      const linger noWait = { 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &noWait, sizeof noWait);
    }
    bufferevent_free(aBev);
  }

  std::string m_sent;
  bool m_resets;
  evconnlistener* m_listener;
};

size_t CountOf(const std::string& aText, const std::string& aSearched)
{
  size_t count = 0;
  for (size_t at = aText.find(aSearched); at != std::string::npos;
       at = aText.find(aSearched, at + 1)) {
    ++count;
  }
  return count;
}

/// Records the response to one call.
class ResponseRecorder : public UpstreamObserver
{
public:
  void OnUpstreamHeaders(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    m_status = aStatus;
  }
  void OnUpstreamBody(std::string_view aBytes) override { m_body += aBytes; }
  void OnUpstreamEnd() override { m_isComplete = true; }
  void OnUpstreamFailed(const UpstreamFailure& aFailure) override
  {
    m_hasFailed = true;
    m_failure = aFailure;
  }
  [[nodiscard]] bool HasEnded() const { return m_isComplete || m_hasFailed; }

  int m_status = 0;
  std::string m_body;
  bool m_isComplete = false;
  bool m_hasFailed = false;
  UpstreamFailure m_failure;
};

} // namespace

class UpstreamClientTest : public ::testing::Test
{
protected:
  template<typename Server>
  static UpstreamRequest Request(const Server& aServer,
                                 UpstreamRequest aRequest = {})
  {
    aRequest.m_address = { "127.0.0.1", aServer.Port() };
    if (aRequest.m_method.empty()) {
      aRequest.m_method = "GET";
    }
    aRequest.m_path = "/";
    aRequest.m_firstByteTimeout = std::chrono::seconds(30);
    aRequest.m_progressTimeout = std::chrono::seconds(30);
    return aRequest;
  }
  /// Calls aServer, then lets the loop run so that the connection is kept or
  /// freed.
  template<typename Server>
  ResponseRecorder Call(const Server& aServer, UpstreamRequest aRequest = {})
  {
    ResponseRecorder recorder;
    const auto call =
      m_client.Start(Request(aServer, std::move(aRequest)), recorder);
    EXPECT_TRUE(m_loop.RunUntil([&] { return recorder.HasEnded(); }));
    m_loop.RunFor(std::chrono::milliseconds(20));
    return recorder;
  }

  TestLoop m_loop;
  EvhttpUpstreamClient m_client{ m_loop.Base(), m_loop.GetClock() };
};

TEST_F(UpstreamClientTest, ReusesAConnectionThatEndedCleanly)
{
  FixedResponseServer server(
    m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.ConnectionCount(), 1U);
}

// Only the end of the connection marks the end of such a response.
TEST_F(UpstreamClientTest, NeverReusesAConnectionWhoseResponseHadNoLength)
{
  FixedResponseServer server(m_loop, "HTTP/1.1 200 OK\r\n\r\nbody", true);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(m_client.IdleConnectionCount(), 0U);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// The extra bytes would be read as the response to the next call.
TEST_F(UpstreamClientTest, NeverReusesAConnectionWithBytesAfterTheResponse)
{
  FixedResponseServer server(
    m_loop,
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
    false);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(m_client.IdleConnectionCount(), 0U);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// A second copy of a response that arrives late would be read as the response
// to the next call on the connection.
TEST_F(UpstreamClientTest, DropsAnIdleConnectionThatBringsALateCopy)
{
  FixedResponseServer server(
    m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(m_client.IdleConnectionCount(), 1U);
  server.SendAgain();
  m_loop.RunFor(std::chrono::milliseconds(20));
  EXPECT_EQ(m_client.IdleConnectionCount(), 0U);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// Guards against a kept connection that went silent without a reset and holds a
// call for longer than the call allows, or that fails the next call as well.
TEST_F(UpstreamClientTest, SilentIdleConnectionCostsOneCallItsTimeout)
{
  constexpr Duration kTimeout = std::chrono::milliseconds(300);
  constexpr Duration kMargin = std::chrono::milliseconds(500);
  FixedResponseServer server(
    m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false);
  EXPECT_EQ(Call(server).m_body, "body");
  ASSERT_EQ(m_client.IdleConnectionCount(), 1U);
  server.FallSilent();
  UpstreamRequest request = Request(server);
  request.m_firstByteTimeout = kTimeout;
  const TimePoint begin = m_loop.GetClock().Now();
  ResponseRecorder recorder;
  const auto call = m_client.Start(std::move(request), recorder);
  EXPECT_TRUE(call->IsConnectionReused());
  ASSERT_TRUE(m_loop.RunUntil([&] { return recorder.HasEnded(); }));
  EXPECT_LE(m_loop.GetClock().Now() - begin, kTimeout + kMargin);
  ASSERT_TRUE(recorder.m_hasFailed);
  EXPECT_EQ(recorder.m_failure.m_kind, UpstreamFailureKind::Timeout);
  EXPECT_TRUE(recorder.m_failure.m_mayHaveSentBytes);
  EXPECT_EQ(m_client.IdleConnectionCount(), 0U);
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

// With a Keep-Alive timeout of 1 s the client keeps the connection for 500 ms.
TEST_F(UpstreamClientTest, DropsAnIdleConnectionBeforeItsServerClosesIt)
{
  FixedResponseServer server(m_loop,
                             "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                             "Content-Length: 4\r\n\r\nbody",
                             false);
  EXPECT_EQ(Call(server).m_body, "body");
  m_loop.RunFor(std::chrono::milliseconds(600));
  EXPECT_EQ(Call(server).m_body, "body");
  EXPECT_EQ(server.ConnectionCount(), 2U);
}

/// Bytes that are no answer may come without end until the client closes. The
/// client held all of them in memory until the deadline of the call.
TEST_F(UpstreamClientTest, GivesUpOnBytesWithoutEnd)
{
  const std::string filler(65'536, 'x');
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Case
  {
    const char* m_name;
    std::string m_head;
    std::string m_repeated;
  };
  std::string interim;
  std::string field;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
    field += "Filler: " + std::string(50, 'y') + "\r\n";
  }
  const Case cases[] = {
    { "status line", "HTTP/1.1 200 ", filler },
    { "header line", "HTTP/1.1 200 OK\r\nFiller: ", filler },
    { "header fields", "HTTP/1.1 200 OK\r\n", field },
    { "interim answers", "", interim },
    { "chunk size", chunked, std::string(65'536, '0') },
    { "chunk extension", chunked + "5;", filler },
    { "chunk", chunked + "7fffffff\r\n", filler },
    { "trailer", chunked + "0\r\nFiller: ", filler },
  };
  constexpr size_t kMaxSentBytes = 32 * 1024 * 1024;
  for (const Case& endless : cases) {
    EndlessServer server(m_loop, endless.m_head, endless.m_repeated);
    EXPECT_TRUE(Call(server).m_hasFailed) << endless.m_name;
    EXPECT_LT(server.SentBytes(), kMaxSentBytes) << endless.m_name;
    EXPECT_TRUE(server.IsClosed()) << endless.m_name;
    EXPECT_EQ(m_client.IdleConnectionCount(), 0U) << endless.m_name;
  }
}

// Guards against a time that overflows: the connection was dropped at once, or
// the process ended where overflows are checked.
TEST_F(UpstreamClientTest, KeepsAConnectionThatMayStayOpenForVeryLong)
{
  for (const char* timeout : { "9223372036854775807", "99999999999999" }) {
    FixedResponseServer server(
      m_loop,
      std::string("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=") + timeout +
        "\r\nContent-Length: 4\r\n\r\nbody",
      false);
    EXPECT_EQ(Call(server).m_body, "body");
    EXPECT_EQ(Call(server).m_body, "body");
    EXPECT_EQ(server.ConnectionCount(), 1U) << timeout;
  }
}

// Guards against callers that get an answer with an invalid status or without a
// certain end: evhttp reads a status for as far as it is a number.
TEST_F(UpstreamClientTest, AnswerWithAnInvalidHeadIsNone)
{
  const std::string statuses[] = { "000", "0",    "2",    "20",   "2x0",
                                   "20x", "x00",  "-200", "+200", "001",
                                   "099", "600",  "999",  "101",  "102",
                                   "103", "1000", "2000", "0200", "2 00",
                                   "",    "100" };
  const std::string fields[] = { "Bad Name: x\r\n",
                                 ": x\r\n",
                                 "Content-Length: 5\r\n",
                                 "Content-Length: +4\r\n",
                                 "Transfer-Encoding: gzip, chunked\r\n" };
  std::vector<std::string> heads;
  for (const std::string& status : statuses) {
    heads.push_back("HTTP/1.1 " + status + " Text\r\n");
  }
  for (const std::string& field : fields) {
    heads.push_back("HTTP/1.1 200 OK\r\n" + field);
  }
  for (const std::string& head : heads) {
    FixedResponseServer server(
      m_loop, head + "Content-Length: 4\r\n\r\nbody", true);
    const ResponseRecorder recorder = Call(server);
    EXPECT_TRUE(recorder.m_hasFailed) << head;
    EXPECT_EQ(recorder.m_status, 0) << head;
    EXPECT_TRUE(recorder.m_failure.m_mayHaveSentBytes) << head;
    EXPECT_EQ(m_client.IdleConnectionCount(), 0U) << head;
  }
}

TEST_F(UpstreamClientTest, ReadsAnswersAfterInterimOnes)
{
  FixedResponseServer server(
    m_loop,
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 201 Made\r\nContent-Length: 4\r\n\r\nbody",
    false);
  const ResponseRecorder recorder = Call(server);
  EXPECT_EQ(recorder.m_status, 201);
  EXPECT_EQ(recorder.m_body, "body");
}

// Guards against work that grows with the square of the bytes: evhttp searches
// a line with the size of a chunk from its beginning after each read.
TEST_F(UpstreamClientTest, GivesUpOnALongLineWithTheSizeOfAChunk)
{
  constexpr size_t kPieceBytes = 512;
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  size_t held = 0;
  for (const char* begin : { "", "5;", "1\r\nx\r\n" }) {
    EndlessServer server(m_loop, head + begin, std::string(kPieceBytes, '0'));
    ResponseRecorder recorder;
    const auto call = m_client.Start(Request(server), recorder);
    EXPECT_TRUE(m_loop.RunUntil([&] {
      held = std::max(held, m_client.HeldBytes().Used());
      return recorder.m_hasFailed;
    }))
      << begin;
  }
  constexpr size_t kMaxHeldBytes = 65'536;
  EXPECT_LE(held, kMaxHeldBytes);
}

// A chunk that comes in full is read, however long it is.
TEST_F(UpstreamClientTest, ReadsALongChunk)
{
  const std::string bytes(300'000, 'x');
  FixedResponseServer server(
    m_loop,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + bytes +
      "\r\n0\r\n\r\n",
    false);
  EXPECT_EQ(Call(server).m_body, bytes);
}

// Guards against a process that many upstreams together make hold more bytes
// than it has memory: each response was bounded, their sum was not.
TEST_F(UpstreamClientTest, EndlessChunksOfManyUpstreamsAreBoundedTogether)
{
  constexpr size_t kLimit = 2'000'000;
  constexpr size_t kCalls = 20;
  EvhttpUpstreamClient client(m_loop.Base(), m_loop.GetClock(), kLimit);
  EndlessServer server(
    m_loop,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
    std::string(65'536, 'x'));
  std::vector<std::unique_ptr<ResponseRecorder>> recorders;
  std::vector<std::unique_ptr<UpstreamCall>> calls;
  for (size_t i = 0; i < kCalls; ++i) {
    UpstreamRequest request;
    request.m_address = { "127.0.0.1", server.Port() };
    request.m_method = "GET";
    request.m_path = "/";
    request.m_firstByteTimeout = std::chrono::seconds(30);
    request.m_progressTimeout = std::chrono::seconds(30);
    recorders.push_back(std::make_unique<ResponseRecorder>());
    calls.push_back(client.Start(std::move(request), *recorders.back()));
  }
  size_t most = 0;
  EXPECT_TRUE(m_loop.RunUntil([&] {
    most = std::max(most, client.HeldBytes().Used());
    return std::all_of(
      recorders.begin(), recorders.end(), [](const auto& aRecorder) {
        return aRecorder->m_hasFailed;
      });
  }));
  // One read per connection may come on top before the call is ended.
  constexpr size_t kReadBytes = 65'536;
  EXPECT_LE(most, kLimit + kCalls * kReadBytes);
  calls.clear();
  EXPECT_EQ(client.HeldBytes().Used(), 0U);
}

/// The body of a PATCH, DELETE, GET or OPTIONS request was sent without its
/// length, so the upstream ran it as a request that nobody had sent.
TEST_F(UpstreamClientTest, StatesTheLengthOfTheBodyForEveryMethod)
{
  FixedResponseServer server(
    m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
  const std::string body = "POST /pay HTTP/1.1\r\nHost: desk\r\n\r\n";
  for (const char* method :
       { "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH" }) {
    const size_t before = server.Received().size();
    UpstreamRequest request;
    request.m_method = method;
    request.m_body = body;
    EXPECT_TRUE(Call(server, request).m_isComplete) << method;
    const std::string sent = server.Received().substr(before);
    EXPECT_EQ(sent.find(method), 0U);
    EXPECT_EQ(CountOf(sent, "Content-Length: " + std::to_string(body.size())),
              1U)
      << sent;
    EXPECT_TRUE(sent.ends_with("\r\n\r\n" + body)) << sent;
  }
}

/// An engine may end at any byte of its answer. Whether its end is noticed, and
/// that an answer had begun, must not depend on where.
TEST_F(UpstreamClientTest, TellsAnAnswerThatBreaksOffAtAnyByte)
{
  const std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "d\r\nid: 1\ndata: x\n\r\n0\r\n\r\n";
  for (const bool resets : { false, true }) {
    for (size_t length = 0; length < answer.size(); ++length) {
      BreakingServer server(m_loop, answer.substr(0, length), resets);
      const ResponseRecorder recorder = Call(server);
      const std::string name =
        std::to_string(length) + (resets ? " reset" : " closed");
      EXPECT_TRUE(recorder.m_hasFailed) << name;
      EXPECT_EQ(recorder.m_failure.m_kind, UpstreamFailureKind::ConnectionLost)
        << name;
      EXPECT_TRUE(recorder.m_failure.m_mayHaveSentBytes) << name;
      if (!resets) {
        // A reset may discard bytes that were not read yet.
        EXPECT_EQ(recorder.m_failure.m_hasResponseBytes, length > 0) << name;
      }
    }
  }
}

/// Headers that contradict the body sent would let the upstream read a part of
/// it as another request, or wait for bytes that belong to the next one.
TEST_F(UpstreamClientTest, ReplacesFramingHeadersThatCameWithTheRequest)
{
  FixedResponseServer server(
    m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
  for (const char* method : { "GET", "POST", "PATCH" }) {
    const size_t before = server.Received().size();
    UpstreamRequest request;
    request.m_method = method;
    request.m_headers = { { "content-length", "2" },
                          { "Transfer-Encoding", "chunked" } };
    request.m_body = "three";
    Call(server, request);
    const std::string sent = server.Received().substr(before);
    EXPECT_EQ(CountOf(sent, "Content-Length: 5\r\n"), 1U) << sent;
    EXPECT_EQ(CountOf(sent, "content-length"), 0U) << sent;
    EXPECT_EQ(CountOf(sent, "Transfer-Encoding"), 0U) << sent;
  }
}

} // namespace celeryspread::test
